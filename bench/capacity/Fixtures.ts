/** States of a chosen size for the measurements. */
import {createHash} from 'node:crypto';
import type {BackendServer, Instance, Member} from '../../src/blackboard/index.js';
import type {Configuration} from '../../src/configuration/index.js';
import type {LogRecord} from '../../src/records/index.js';

const NOW_MS = 1_800_000_000_000;
const DOMAINS = 12;
const SERVICES = 40;
const BLOCK_TOKENS_PER_SERVER = 8_000;

/** Returns an address that differs from those of other indices. */
export function createAddress(index: number): string {
  return `10.${(index >> 16) & 255}.${(index >> 8) & 255}.${index & 255}`;
}

/** Returns a configuration of 40 services in 12 failure domains with a number of workspaces. */
export function createConfiguration(workspaceCount: number): Configuration {
  return {
    deployment: 'target',
    failureDomains: Array.from({length: DOMAINS}, (_, index) => ({
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
    services: Array.from({length: SERVICES}, (_, index) => ({
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

/** Returns a configuration record of a writer of its own, as each run of the operators' client has. */
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

/** Returns a backend server. */
export function createBackendServer(index: number): BackendServer {
  return {
    instanceId: `backend-${String(index).padStart(8, '0')}`,
    service: `service-${index % SERVICES}`,
    version: 'v1',
    address: createAddress(index),
    port: 8_000,
    failureDomain: `domain-${index % DOMAINS}`,
    state: 'live',
    warmth: 'warm',
    load: {
      runningRequests: index % 8,
      queuedRequests: 0,
      queuedPrefillTokens: 0,
      prefillTokensPerSecond: BLOCK_TOKENS_PER_SERVER,
      decodeTokensPerSecond: 900,
      cachedTokens: 100_000,
      reportedAtMs: NOW_MS,
    },
  };
}

/** Returns an instance of the platform's list. */
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

/** Returns a member of the deployment. */
export function createMember(index: number): Member {
  return {
    instanceId: `entry-${String(index).padStart(6, '0')}`,
    state: 'alive',
    incarnation: NOW_MS + index,
    address: createAddress(index),
    peerPort: 7_100,
    callersPort: 7_000,
    failureDomain: `domain-${index % DOMAINS}`,
    configurationRevision: 1,
    changedAtMs: NOW_MS,
  };
}

/** Instant at which the measured states stand. */
export const FIXTURE_NOW_MS = NOW_MS;
