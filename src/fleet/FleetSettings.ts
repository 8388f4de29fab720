/** Settings of `buckthorn-fleet`: flags, environment variables, bounds and defaults. */
import {
  createDefineSetting,
  parseHttpUrl,
  parseIpAddress,
  parseLogLevel,
  parseOptionalIpAddress,
  parsePort,
  parseNonEmptyString,
  createIntegerParser,
  type LogLevel,
  type SettingDefinitions,
} from '../settings/index.js';

/** Parsed settings of a fleet daemon. */
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
  /** Maximum time between two snapshots of a stream by the lease holder. */
  readonly snapshotIntervalMs: number;
}

const define = createDefineSetting('BUCKTHORN');
const MIN_LEASE_TERM_MS = 500;
const MAX_LEASE_TERM_MS = 120_000;
const MIN_SNAPSHOT_INTERVAL_MS = 1_000;
const MAX_SNAPSHOT_INTERVAL_MS = 86_400_000;

/** Flag, environment variable, parser and default of each setting. */
export const fleetSettings: SettingDefinitions<FleetSettings> = {
  instanceId: define('instance-id', 'Id of this instance on the platform', parseNonEmptyString),
  address: define('address', 'IP address of this instance', parseIpAddress),
  failureDomain: define('failure-domain', 'Failure domain of this instance', parseNonEmptyString),
  logUrl: define('log-url', "URL of the platform's log service", parseHttpUrl),
  cloudUrl: define('cloud-url', "URL of the platform's cloud API", parseHttpUrl),
  listUrl: define('list-url', "URL of the platform's instance list", parseHttpUrl),
  weightsUrl: define('weights-url', "URL of the platform's weight store", parseHttpUrl),
  deploymentKey: {
    flag: 'deployment-key',
    variable: 'BUCKTHORN_DEPLOYMENT_KEY',
    description: "Bearer key among the deployment's own daemons",
    parse: parseNonEmptyString,
    isSecret: true,
  },
  statsdAddress: define(
    'statsd-address',
    'IP address of the StatsD server',
    parseOptionalIpAddress,
    '',
  ),
  statsdPort: define('statsd-port', 'UDP port of the StatsD server', parsePort, '8125'),
  logLevel: define(
    'log-level',
    'Least severity that is logged: debug, info, warn or error',
    parseLogLevel,
    'info',
  ),
  leaseTermMs: define(
    'lease-term-ms',
    "Term of the fleet holder's lease",
    createIntegerParser(MIN_LEASE_TERM_MS, MAX_LEASE_TERM_MS),
    '6000',
  ),
  snapshotIntervalMs: define(
    'snapshot-interval-ms',
    "Longest time without a snapshot in a stream; well below the log's retention",
    createIntegerParser(MIN_SNAPSHOT_INTERVAL_MS, MAX_SNAPSHOT_INTERVAL_MS),
    '300000',
  ),
};
