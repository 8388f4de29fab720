/** Flags and environment variables of `buckthorn-standin`. */
import {
  createDefineSetting,
  parseHttpUrl,
  parseIpAddress,
  parsePort,
  parseNonEmptyString,
  createIntegerParser,
  type SettingDefinition,
} from '../../src/settings/index.js';

const MAX_COUNT = Number.MAX_SAFE_INTEGER;
const define = createDefineSetting('BUCKTHORN_STANDIN');

function defineNumber(
  flag: string,
  description: string,
  defaultValue: number,
  min = 0,
): SettingDefinition<number> {
  return define(flag, description, createIntegerParser(min, MAX_COUNT), String(defaultValue));
}

function definePort(flag: string, description: string): SettingDefinition<number> {
  return define(flag, `${description}; 0 for a free port`, parsePort, '0');
}

function parseYesOrNo(value: string): boolean {
  if (value !== 'yes' && value !== 'no') throw new Error('is neither "yes" nor "no"');
  return value === 'yes';
}

function parseMarket(value: string): 'reclaimable' | 'on-demand' {
  if (value !== 'reclaimable' && value !== 'on-demand') {
    throw new Error('is neither "reclaimable" nor "on-demand"');
  }
  return value;
}

function parseOptionalText(value: string): string | undefined {
  return value === '' ? undefined : value;
}

function parseOptionalUrl(value: string): string | undefined {
  return value === '' ? undefined : parseHttpUrl(value);
}

const commonSettings = {
  address: define('address', 'IP address to listen on', parseIpAddress, '127.0.0.1'),
  seed: defineNumber(
    'seed',
    'Seed of the random numbers that decide which calls a fault affects',
    1,
  ),
};

/** Settings of `platform`. */
export const platformSettings = {
  ...commonSettings,
  logPort: definePort('log-port', 'Port of the log service'),
  cloudPort: definePort('cloud-port', 'Port of the cloud API'),
  listPort: definePort('list-port', 'Port of the instance list'),
  weightsPort: definePort('weights-port', 'Port of the weight store'),
  maxAppendsPerSecond: defineNumber(
    'max-appends-per-second',
    'Appends that the log accepts per second',
    300,
    1,
  ),
  retentionMs: defineNumber(
    'retention-ms',
    'Age in milliseconds at which the log drops a record',
    3_600_000,
    1,
  ),
  listLagMs: defineNumber('list-lag-ms', 'Lag of the instance list in milliseconds', 1_000),
  startDelayMs: defineNumber(
    'start-delay-ms',
    'Milliseconds until a started instance is live',
    1_000,
  ),
  weightBytesPerSecond: defineNumber(
    'weight-bytes-per-second',
    'Weight store throughput in bytes per second',
    1e9,
    1,
  ),
  weightVersionBytes: defineNumber(
    'weight-version-bytes',
    'Weight size of a version in bytes',
    2e9,
    1,
  ),
  failureDomains: define(
    'failure-domains',
    'Failure domains on offer, comma-separated',
    parseNonEmptyString,
    'a,b,c,d',
  ),
  machineClasses: define(
    'machine-classes',
    'Machine classes on offer, comma-separated',
    parseNonEmptyString,
    'standard,large',
  ),
  plainServices: define(
    'plain-services',
    'Services started as plain services instead of engines, comma-separated',
    parseNonEmptyString,
    'booking,field-app',
  ),
  timeScale: defineNumber('time-scale', 'Speed of the engines relative to real ones', 1, 1),
  ledgerFolder: define(
    'ledger-folder',
    'Folder for the ledgers of the backend servers that the platform starts',
    parseOptionalText,
    '',
  ),
};

const backendSettings = {
  ...commonSettings,
  port: definePort('port', 'Port to listen on'),
  listUrl: define(
    'list-url',
    'Base URL of the instance list to register with',
    parseOptionalUrl,
    '',
  ),
  ledgerPath: define('ledger-path', 'File that also receives the ledger', parseOptionalText, ''),
  instanceId: define('instance-id', 'Id of the instance', parseNonEmptyString),
  service: define('service', 'Service that the backend server serves', parseNonEmptyString),
  version: define('version', 'Version that the backend server serves', parseNonEmptyString, 'v1'),
  failureDomain: define(
    'failure-domain',
    'Failure domain of the instance',
    parseNonEmptyString,
    'a',
  ),
  machineClass: define(
    'machine-class',
    'Machine class of the instance',
    parseNonEmptyString,
    'standard',
  ),
  market: define(
    'market',
    'Market of the instance: reclaimable or on-demand',
    parseMarket,
    'reclaimable',
  ),
};

/** Settings of `engine`. */
export const engineSettings = {
  ...backendSettings,
  cold: define('cold', 'Whether the engine starts cold', parseYesOrNo, 'no'),
  honoursFencing: define(
    'honours-fencing',
    'Whether orders with an outdated fencing token are rejected',
    parseYesOrNo,
    'yes',
  ),
  exportsKv: define('exports-kv', 'Whether the KV cache can be exported', parseYesOrNo, 'yes'),
  timeScale: defineNumber('time-scale', 'Speed relative to a real engine', 1, 1),
  loadLagMs: defineNumber(
    'load-lag-ms',
    'Interval in milliseconds between updates of the load report',
    500,
    1,
  ),
  cacheEventDelayMs: defineNumber(
    'cache-event-delay-ms',
    'Milliseconds until a cache event is published',
    500,
  ),
  loadVersionMs: defineNumber(
    'load-version-ms',
    'Milliseconds that loading a version takes',
    1_000,
  ),
  prefillTokensPerSecond: defineNumber(
    'prefill-tokens-per-second',
    'Prompt tokens computed per second',
    8_000,
    1,
  ),
  decodeStepMs: defineNumber(
    'decode-step-ms',
    'Milliseconds of a decode step with one request',
    20,
    1,
  ),
  maxBatchRequests: defineNumber(
    'max-batch-requests',
    'Maximum number of requests in a batch',
    32,
    1,
  ),
  cacheTokens: defineNumber('cache-tokens', 'Capacity of the prefix cache in tokens', 65_536, 16),
  coldMaxRequests: defineNumber(
    'cold-max-requests',
    'Maximum number of open requests of a cold engine; above it, the engine crashes',
    4,
    1,
  ),
  warmAfterRequests: defineNumber(
    'warm-after-requests',
    'Finished requests after which a cold engine is warm',
    8,
    1,
  ),
};

/** Settings of `plain`. */
export const plainSettings = {
  ...backendSettings,
  serviceTimeMs: defineNumber('service-time-ms', 'Milliseconds that a call takes', 5),
};
