/** Settings of the stand-ins' binary. */
import {
  createDefineSetting,
  parseHttpUrl,
  parseIpNumber,
  parsePort,
  parseText,
  parseWholeNumber,
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
  return define(flag, description, parseWholeNumber(min, MAX_COUNT), String(defaultValue));
}

function definePort(flag: string, description: string): SettingDefinition<number> {
  return define(flag, `${description}; 0 for one that the kernel gives`, parsePort, '0');
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
  address: define('address', 'IP number to listen on', parseIpNumber, '127.0.0.1'),
  seed: defineNumber('seed', 'Seed of the random choices of faults', 1),
};

/** Settings of `platform`. */
export const platformSettings = {
  ...commonSettings,
  logPort: definePort('log-port', 'Port of the log service'),
  cloudPort: definePort('cloud-port', 'Port of the cloud API'),
  listPort: definePort('list-port', 'Port of the instance list'),
  weightsPort: definePort('weights-port', 'Port of the weight store'),
  maxAppendsPerSecond: defineNumber('max-appends-per-second', 'Appends the log takes', 300, 1),
  retentionMs: defineNumber('retention-ms', 'Age at which the log drops a record', 3_600_000, 1),
  listLagMs: defineNumber('list-lag-ms', 'How far the instance list lags behind', 1_000),
  startDelayMs: defineNumber('start-delay-ms', 'Time until a started instance is live', 1_000),
  weightBytesPerSecond: defineNumber('weight-bytes-per-second', 'Weight store rate', 1e9, 1),
  weightVersionBytes: defineNumber('weight-version-bytes', 'Size of a version', 2e9, 1),
  failureDomains: define('failure-domains', 'Failure domains with prices', parseText, 'a,b,c,d'),
  machineClasses: define(
    'machine-classes',
    'Machine classes with prices',
    parseText,
    'standard,large',
  ),
  plainServices: define(
    'plain-services',
    'Plain services that it can start',
    parseText,
    'booking,field-app',
  ),
  timeScale: defineNumber('time-scale', 'How many times faster than real engines run', 1, 1),
  ledgerFolder: define(
    'ledger-folder',
    'Folder for the ledgers of backend servers that it starts',
    parseOptionalText,
    '',
  ),
};

const backendSettings = {
  ...commonSettings,
  port: definePort('port', 'Port to listen on'),
  listUrl: define('list-url', 'Instance list to register at', parseOptionalUrl, ''),
  ledgerPath: define(
    'ledger-path',
    'File that the ledger is written to as well',
    parseOptionalText,
    '',
  ),
  instanceId: define('instance-id', 'Id of the instance', parseText),
  service: define('service', 'Service that the backend server belongs to', parseText),
  version: define('version', 'Version that it serves', parseText, 'v1'),
  failureDomain: define('failure-domain', 'Failure domain of the instance', parseText, 'a'),
  machineClass: define('machine-class', 'Machine class of the instance', parseText, 'standard'),
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
    'Whether old fencing tokens are refused',
    parseYesOrNo,
    'yes',
  ),
  exportsKv: define('exports-kv', 'Whether KV cache can be exported', parseYesOrNo, 'yes'),
  timeScale: defineNumber('time-scale', 'How many times faster than a real engine it runs', 1, 1),
  loadLagMs: defineNumber('load-lag-ms', 'Age that a load report reaches', 500, 1),
  cacheEventDelayMs: defineNumber('cache-event-delay-ms', 'Age at which a cache event shows', 500),
  loadVersionMs: defineNumber('load-version-ms', 'Time that loading a version takes', 1_000),
  prefillTokensPerSecond: defineNumber(
    'prefill-tokens-per-second',
    'Prompt tokens computed',
    8_000,
    1,
  ),
  decodeStepMs: defineNumber('decode-step-ms', 'Time of a decode step with one request', 20, 1),
  maxBatchRequests: defineNumber('max-batch-requests', 'Requests that run together', 32, 1),
  cacheTokens: defineNumber('cache-tokens', 'Tokens that the prefix cache holds', 65_536, 16),
  coldMaxRequests: defineNumber('cold-max-requests', 'Open requests a cold engine bears', 4, 1),
  warmAfterRequests: defineNumber('warm-after-requests', 'Requests until it is warm', 8, 1),
};

/** Settings of `plain`. */
export const plainSettings = {
  ...backendSettings,
  serviceTimeMs: defineNumber('service-time-ms', 'Time that a call takes', 5),
};
