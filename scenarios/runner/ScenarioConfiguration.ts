/** Configuration derived from a scenario's topology. */
import {createHash} from 'node:crypto';
import {configurationSchema, type Configuration} from '../../src/configuration/index.js';
import type {Scenario, ServicePlan} from '../language/index.js';

/** Bearer keys by workspace; `other` is the workspace that tries to read responses of `large`. */
export const WORKSPACE_KEYS = {
  large: 'scenario-key-large',
  small: 'scenario-key-small',
  other: 'scenario-key-other',
} as const;

const REGION = 'region';
const MAX_OPEN_REQUESTS = 1_000;
const LARGE_SHARE_WEIGHT = 3;

/** Returns the configuration that serves the services of a topology. */
export function createConfiguration({topology}: Scenario): Configuration {
  return configurationSchema.parse({
    deployment: 'scenario',
    failureDomains: topology.failureDomains.map(name => ({name, region: REGION})),
    workspaces: Object.entries(WORKSPACE_KEYS).map(([name, key]) => ({
      name,
      keys: [{sha256: createHash('sha256').update(key).digest('hex')}],
      shareWeight: name === 'large' ? LARGE_SHARE_WEIGHT : 1,
      maxOpenRequests: MAX_OPEN_REQUESTS,
    })),
    requestClasses: [
      createClass('chat', 0, 4_000, 1_300, 52),
      createClass('review', 1, 64_000, 15_000, 150),
    ],
    services: topology.services.map(createService),
    priceLimits: [],
    staleConfigurationGraceMs: topology.staleConfigurationGraceMs,
  });
}

function createClass(
  name: string,
  priority: number,
  maxPromptTokens: number,
  firstTokenTargetMs: number,
  interTokenTargetMs: number,
) {
  return {name, priority, maxPromptTokens, firstTokenTargetMs, interTokenTargetMs};
}

function createService(plan: ServicePlan) {
  return {
    name: plan.name,
    kind: plan.kind === 'engine' ? 'model' : 'plain',
    versions: [{name: plan.version, sharePercent: 100}],
    routes:
      plan.kind === 'engine'
        ? []
        : [
            {methods: ['POST'], pathPrefix: '/bookings', isIdempotent: false},
            {methods: ['GET'], pathPrefix: '/', isIdempotent: true},
          ],
    targetReplicas: plan.replicas,
    maxConcurrentRequests: plan.maxConcurrentRequests,
    coldConcurrentRequests: plan.coldConcurrentRequests,
    requestTimeoutMs: plan.requestTimeoutMs,
    honoursFencingTokens: true,
  };
}
