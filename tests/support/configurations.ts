/** Configuration fixture for tests of publishing and following the configuration stream. */
import type {Configuration} from '../../src/configuration/index.js';

/**
 * Returns a small valid configuration.
 * @param deployment - Deployment name; tests use it to tell configurations apart.
 */
export function createConfiguration(deployment: string): Configuration {
  return {
    deployment,
    failureDomains: [{name: 'fd-a', region: 'region-a'}],
    workspaces: [
      {name: 'w', keys: [{sha256: 'a'.repeat(64)}], shareWeight: 1, maxOpenRequests: 10},
    ],
    requestClasses: [
      {
        name: 'chat',
        priority: 0,
        maxPromptTokens: 1_000,
        firstTokenTargetMs: 1_300,
        interTokenTargetMs: 52,
      },
    ],
    services: [
      {
        name: 'guidance',
        kind: 'model',
        versions: [{name: 'v1', sharePercent: 100}],
        routes: [],
        targetReplicas: 1,
        maxConcurrentRequests: 8,
        coldConcurrentRequests: 1,
        requestTimeoutMs: 60_000,
        honoursFencingTokens: true,
      },
    ],
    priceLimits: [],
    staleConfigurationGraceMs: 30_000,
  };
}
