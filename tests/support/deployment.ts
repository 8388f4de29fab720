/** Fixtures of a small deployment for tests of controllers. */
import type {BackendServer, Member} from '../../src/blackboard/index.js';
import type {Configuration, Service} from '../../src/configuration/index.js';

/** A model service with one version. */
export const GUIDANCE: Service = {
  name: 'guidance',
  kind: 'model',
  versions: [{name: 'v1', sharePercent: 100}],
  routes: [],
  targetReplicas: 4,
  maxConcurrentRequests: 16,
  coldConcurrentRequests: 2,
  requestTimeoutMs: 60_000,
  honoursFencingTokens: true,
};

/** A configuration with two failure domains, two workspaces and two request classes. */
export const CONFIGURATION: Configuration = {
  deployment: 'norden',
  failureDomains: [
    {name: 'oslo-a', region: 'ostlandet'},
    {name: 'oslo-b', region: 'ostlandet'},
  ],
  workspaces: [
    {name: 'large', keys: [], shareWeight: 1, maxOpenRequests: 100},
    {name: 'small', keys: [], shareWeight: 1, maxOpenRequests: 100},
  ],
  requestClasses: [
    {
      name: 'chat',
      priority: 0,
      maxPromptTokens: 2_000,
      firstTokenTargetMs: 1_300,
      interTokenTargetMs: 52,
    },
    {
      name: 'review',
      priority: 5,
      maxPromptTokens: 100_000,
      firstTokenTargetMs: 20_000,
      interTokenTargetMs: 100,
    },
  ],
  services: [GUIDANCE],
  priceLimits: [],
  staleConfigurationGraceMs: 60_000,
};

/**
 * Returns a warm and live backend server of the model service.
 * @param changes - Fields that override the defaults.
 */
export function createServer(
  instanceId: string,
  changes: Partial<BackendServer> = {},
): BackendServer {
  return {
    instanceId,
    service: 'guidance',
    version: 'v1',
    address: '127.0.0.1',
    port: 1,
    failureDomain: 'oslo-a',
    state: 'live',
    warmth: 'warm',
    ...changes,
  };
}

/**
 * Returns the membership view of an entry in state `alive`.
 * @param changes - Fields that override the defaults.
 */
export function createEntry(instanceId: string, changes: Partial<Member> = {}): Member {
  return {
    instanceId,
    state: 'alive',
    incarnation: 1,
    address: '127.0.0.1',
    peerPort: 1,
    callersPort: 2,
    failureDomain: 'oslo-a',
    configurationRevision: 1,
    changedAtMs: 0,
    ...changes,
  };
}
