/** Settings of `buckthorn-fleet`. */
import {
  parseHttpUrl,
  parseIpNumber,
  parsePort,
  parseText,
  parseWholeNumber,
  type SettingDefinitions,
} from '../settings/index.js';

/** Values of the settings. */
export interface FleetSettings {
  readonly instanceId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly logUrl: string;
  readonly cloudUrl: string;
  readonly listUrl: string;
  readonly weightsUrl: string;
  readonly deploymentKey: string;
  readonly statsdAddress: string | undefined;
  readonly statsdPort: number;
  readonly logLevel: LogLevel;
  readonly leaseTermMs: number;
}

/** Least severity that is logged. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const LOG_LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];
const MIN_LEASE_TERM_MS = 500;
const MAX_LEASE_TERM_MS = 120_000;

/** Definitions of the settings. */
export const fleetSettings: SettingDefinitions<FleetSettings> = {
  instanceId: {
    flag: 'instance-id',
    variable: 'BUCKTHORN_INSTANCE_ID',
    description: 'Id of this instance on the platform',
    parse: parseText,
  },
  address: {
    flag: 'address',
    variable: 'BUCKTHORN_ADDRESS',
    description: 'IP number of this instance',
    parse: parseIpNumber,
  },
  failureDomain: {
    flag: 'failure-domain',
    variable: 'BUCKTHORN_FAILURE_DOMAIN',
    description: 'Failure domain of this instance',
    parse: parseText,
  },
  logUrl: {
    flag: 'log-url',
    variable: 'BUCKTHORN_LOG_URL',
    description: "URL of the platform's log service",
    parse: parseHttpUrl,
  },
  cloudUrl: {
    flag: 'cloud-url',
    variable: 'BUCKTHORN_CLOUD_URL',
    description: "URL of the platform's cloud API",
    parse: parseHttpUrl,
  },
  listUrl: {
    flag: 'list-url',
    variable: 'BUCKTHORN_LIST_URL',
    description: "URL of the platform's instance list",
    parse: parseHttpUrl,
  },
  weightsUrl: {
    flag: 'weights-url',
    variable: 'BUCKTHORN_WEIGHTS_URL',
    description: "URL of the platform's weight store",
    parse: parseHttpUrl,
  },
  deploymentKey: {
    flag: 'deployment-key',
    variable: 'BUCKTHORN_DEPLOYMENT_KEY',
    description: "Bearer key among the deployment's own daemons",
    parse: parseText,
    isSecret: true,
  },
  statsdAddress: {
    flag: 'statsd-address',
    variable: 'BUCKTHORN_STATSD_ADDRESS',
    description: 'IP number of the StatsD server',
    parse: text => (text === '' ? undefined : parseIpNumber(text)),
    defaultText: '',
  },
  statsdPort: {
    flag: 'statsd-port',
    variable: 'BUCKTHORN_STATSD_PORT',
    description: 'UDP port of the StatsD server',
    parse: parsePort,
    defaultText: '8125',
  },
  logLevel: {
    flag: 'log-level',
    variable: 'BUCKTHORN_LOG_LEVEL',
    description: 'Least severity that is logged: debug, info, warn or error',
    parse: parseLogLevel,
    defaultText: 'info',
  },
  leaseTermMs: {
    flag: 'lease-term-ms',
    variable: 'BUCKTHORN_LEASE_TERM_MS',
    description: "Term of the fleet holder's lease",
    parse: parseWholeNumber(MIN_LEASE_TERM_MS, MAX_LEASE_TERM_MS),
    defaultText: '6000',
  },
};

function parseLogLevel(text: string): LogLevel {
  const level = LOG_LEVELS.find(one => one === text);
  if (!level) throw new Error(`is none of ${LOG_LEVELS.join(', ')}`);
  return level;
}
