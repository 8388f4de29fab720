/** Generators of configurations, instances, members and backend servers for the measurements. */
import {createHash} from 'node:crypto';
import type {BackendServer, Instance, Member} from '../../src/blackboard/index.js';
import type {Configuration} from '../../src/configuration/index.js';
import type {LogRecord} from '../../src/records/index.js';

const NOW_MS = 1_800_000_000_000;
const FAILURE_DOMAIN_COUNT = 12;
const SERVICE_COUNT = 40;
const PREFILL_TOKENS_PER_SECOND = 8_000;

/** Returns an address in 10.0.0.0/8 that is unique for indices below 2^24. */
export function createAddress(index: number): string {
  return `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}`;
}

/** Returns a configuration with 40 services, 12 failure domains and the given number of workspaces. */
export function createConfiguration(workspaceCount: number): Configuration {
  return {
    deployment: 'target',
    failureDomains: Array.from({length: FAILURE_DOMAIN_COUNT}, (_, index) => ({
      name: `domain-${index}`,
      region: `region-${index % 4}`,
    })),
    workspaces: Array.from({length: workspaceCount}, (_, index) => ({
      name: `workspace-${index}`,
      keys: [{sha256: createHash('sha256').update(String(index)).digest('hex')}],
      shareWeight: 1,
      maxOpenRequests: 64,
    })),
    requestClasses: ['chat', 'summary', 'review'].map((name, priority) => ({
      name,
      priority,
      maxPromptTokens: 8_000,
      firstTokenTargetMs: 1_300,
      interTokenTargetMs: 52,
    })),
    services: Array.from({length: SERVICE_COUNT}, (_, index) => ({
      name: `service-${index}`,
      kind: 'model' as const,
      versions: [{name: 'v1', sharePercent: 100}],
      routes: [],
      targetReplicas: 250,
      maxConcurrentRequests: 16,
      coldConcurrentRequests: 2,
      requestTimeoutMs: 300_000,
      honoursFencingTokens: true,
    })),
    priceLimits: [{machineClass: 'gpu-large', maxPriceUsdPerHour: 3}],
    staleConfigurationGraceMs: 10_000,
  };
}

/** Returns a configuration record with a unique writer, as each run of the operators' client creates. */
export function createConfigurationRecord(
  configuration: Configuration,
  replacesRevision: number,
): LogRecord {
  return {
    writer: `buckthornctl-00000000-0000-4000-8000-${String(replacesRevision).padStart(12, '0')}`,
    sequence: 1,
    body: {kind: 'configuration', replacesRevision, publishedBy: 'operator', configuration},
  };
}

/** Returns a warm, live backend server with a load report; services and failure domains take turns. */
export function createBackendServer(index: number): BackendServer {
  return {
    instanceId: `backend-${String(index).padStart(8, '0')}`,
    service: `service-${index % SERVICE_COUNT}`,
    version: 'v1',
    address: createAddress(index),
    port: 8_000,
    failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
    state: 'live',
    warmth: 'warm',
    load: {
      runningRequests: index % 8,
      queuedRequests: 0,
      queuedPrefillTokens: 0,
      prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
      decodeTokensPerSecond: 900,
      cachedTokens: 100_000,
      reportedAtMs: NOW_MS,
    },
  };
}

/** Returns the backend server of this index as the platform's list holds it. */
export function createInstance(index: number): Instance {
  const {instanceId, service, version, address, port, failureDomain} = createBackendServer(index);
  return {
    instanceId,
    role: 'backend',
    address,
    port,
    failureDomain,
    machineClass: 'gpu-large',
    market: 'reclaimable',
    state: 'live',
    service,
    version,
  };
}

/** Returns an alive entry as a member of the gossip group. */
export function createMember(index: number): Member {
  return {
    instanceId: `entry-${String(index).padStart(6, '0')}`,
    state: 'alive',
    incarnation: NOW_MS + index,
    address: createAddress(index),
    peerPort: 7_100,
    callersPort: 7_000,
    failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
    configurationRevision: 1,
    changedAtMs: NOW_MS,
  };
}

/** Unix time in milliseconds of all fixtures. */
export const FIXTURE_NOW_MS = NOW_MS;
