/** Fixtures of services and moves for tests of the fleet controllers. */
import type {Move} from '../../src/blackboard/index.js';
import type {Service} from '../../src/configuration/index.js';

/** Returns a model service `guidance` whose traffic all goes to v1. */
export function createService(changes: Partial<Service> = {}): Service {
  return {
    name: 'guidance',
    kind: 'model',
    versions: [{name: 'v1', sharePercent: 100}],
    routes: [],
    targetReplicas: 8,
    maxConcurrentRequests: 8,
    coldConcurrentRequests: 2,
    requestTimeoutMs: 30_000,
    honoursFencingTokens: true,
    ...changes,
  };
}

/** Returns a move of `guidance` from v1 to v2 that started at time 0 and has no traffic share yet. */
export function createMove(changes: Partial<Move> = {}): Move {
  return {
    moveId: 'm1',
    service: 'guidance',
    fromVersion: 'v1',
    toVersion: 'v2',
    phase: 'running',
    sharePercent: 0,
    startedAtMs: 0,
    deadlineAtMs: 600_000,
    changedAtMs: 0,
    ...changes,
  };
}
