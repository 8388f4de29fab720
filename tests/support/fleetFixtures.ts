/** Services, moves and other inputs of the fleet's decisions for tests. */
import type {Move} from '../../src/blackboard/index.js';
import type {Service} from '../../src/configuration/index.js';

/** Returns a model service `guidance` with all work on v1. */
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

/** Returns a move of `guidance` from v1 to v2 that just started. */
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
