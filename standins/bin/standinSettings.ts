/** Settings of the stand-ins' binary. */
import {
  parseHttpUrl,
  parseIpNumber,
  parsePort,
  parseText,
  parseWholeNumber,
  type SettingDefinition,
} from '../../src/settings/index.js';

const MAX_COUNT = Number.MAX_SAFE_INTEGER;

function number(
  flag: string,
  description: string,
  defaultValue: number,
  min = 0,
): SettingDefinition<number> {
  return {
    flag,
    variable: getVariable(flag),
    description,
    parse: parseWholeNumber(min, MAX_COUNT),
    defaultText: String(defaultValue),
  };
}

function port(flag: string, description: string): SettingDefinition<number> {
  return {
    flag,
    variable: getVariable(flag),
    description: `${description}; 0 for one that the kernel gives`,
    parse: parsePort,
    defaultText: '0',
  };
}

function text(flag: string, description: string, defaultText?: string): SettingDefinition<string> {
  return {flag, variable: getVariable(flag), description, parse: parseText, defaultText};
}

function yesOrNo(
  flag: string,
  description: string,
  defaultText: string,
): SettingDefinition<boolean> {
  return {flag, variable: getVariable(flag), description, parse: parseYesOrNo, defaultText};
}

function getVariable(flag: string): string {
  return `BUCKTHORN_STANDIN_${flag.toUpperCase().replaceAll('-', '_')}`;
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
  address: {
    flag: 'address',
    variable: getVariable('address'),
    description: 'IP number to listen on',
    parse: parseIpNumber,
    defaultText: '127.0.0.1',
  } satisfies SettingDefinition<string>,
  seed: number('seed', 'Seed of the random choices of faults', 1),
};

/** Settings of `platform`. */
export const platformSettings = {
  ...commonSettings,
  logPort: port('log-port', 'Port of the log service'),
  cloudPort: port('cloud-port', 'Port of the cloud API'),
  listPort: port('list-port', 'Port of the instance list'),
  weightsPort: port('weights-port', 'Port of the weight store'),
  maxAppendsPerSecond: number('max-appends-per-second', 'Appends that the log takes', 300, 1),
  retentionMs: number('retention-ms', 'Age at which the log drops a record', 3_600_000, 1),
  listLagMs: number('list-lag-ms', 'How far the instance list lags behind', 1_000),
  startDelayMs: number('start-delay-ms', 'Time until a started instance is live', 1_000),
  weightBytesPerSecond: number('weight-bytes-per-second', 'Rate of the weight store', 1e9, 1),
  weightVersionBytes: number('weight-version-bytes', 'Size of a version', 2e9, 1),
  failureDomains: text('failure-domains', 'Failure domains with prices', 'a,b,c,d'),
  machineClasses: text('machine-classes', 'Machine classes with prices', 'standard,large'),
  plainServices: text('plain-services', 'Plain services that it can start', 'booking,field-app'),
  timeScale: number('time-scale', 'How many times faster than real engines run', 1, 1),
  ledgerFolder: {
    flag: 'ledger-folder',
    variable: getVariable('ledger-folder'),
    description: 'Folder that gets a ledger of each backend server that it starts',
    parse: parseOptionalText,
    defaultText: '',
  } satisfies SettingDefinition<string | undefined>,
};

const backendSettings = {
  ...commonSettings,
  port: port('port', 'Port to listen on'),
  listUrl: {
    flag: 'list-url',
    variable: getVariable('list-url'),
    description: 'Instance list to register at',
    parse: parseOptionalUrl,
    defaultText: '',
  } satisfies SettingDefinition<string | undefined>,
  ledgerPath: {
    flag: 'ledger-path',
    variable: getVariable('ledger-path'),
    description: 'File that the ledger is written to as well',
    parse: parseOptionalText,
    defaultText: '',
  } satisfies SettingDefinition<string | undefined>,
  instanceId: text('instance-id', 'Id of the instance'),
  service: text('service', 'Service that the backend server belongs to'),
  version: text('version', 'Version that it serves', 'v1'),
  failureDomain: text('failure-domain', 'Failure domain of the instance', 'a'),
  machineClass: text('machine-class', 'Machine class of the instance', 'standard'),
  market: {
    flag: 'market',
    variable: getVariable('market'),
    description: 'Market of the instance: reclaimable or on-demand',
    parse: parseMarket,
    defaultText: 'reclaimable',
  } satisfies SettingDefinition<'reclaimable' | 'on-demand'>,
};

/** Settings of `engine`. */
export const engineSettings = {
  ...backendSettings,
  cold: yesOrNo('cold', 'Whether the engine starts cold', 'no'),
  honoursFencing: yesOrNo('honours-fencing', 'Whether old fencing tokens are refused', 'yes'),
  timeScale: number('time-scale', 'How many times faster than a real engine it runs', 1, 1),
  loadLagMs: number('load-lag-ms', 'Age that a load report reaches', 500, 1),
  cacheEventDelayMs: number('cache-event-delay-ms', 'Age at which a cache event shows', 500),
  loadVersionMs: number('load-version-ms', 'Time that loading a version takes', 1_000),
  prefillTokensPerSecond: number('prefill-tokens-per-second', 'Prompt tokens computed', 8_000, 1),
  decodeStepMs: number('decode-step-ms', 'Time of a decode step with one request', 20, 1),
  maxBatchRequests: number('max-batch-requests', 'Requests that run together', 32, 1),
  cacheTokens: number('cache-tokens', 'Tokens that the prefix cache holds', 65_536, 16),
  coldMaxRequests: number('cold-max-requests', 'Open requests a cold engine bears', 4, 1),
  warmAfterRequests: number('warm-after-requests', 'Requests until it is warm', 8, 1),
};

/** Settings of `plain`. */
export const plainSettings = {
  ...backendSettings,
  serviceTimeMs: number('service-time-ms', 'Time that a call takes', 5),
};
