/** Settings of the entry daemon: their flags, environment variables, defaults and checks. */
import {ServingError} from '../errors/index.js';
import {
  LOG_LEVELS,
  createDefineSetting,
  parseHttpUrl,
  parseIpAddress,
  createListParser,
  parseLogLevel,
  parseOptionalIpAddress,
  parsePort,
  parseNonEmptyString,
  createIntegerParser,
  type LogLevel,
  type SettingDefinitions,
} from '../settings/index.js';

/** Settings of an entry, fixed at its start; see `ENTRY_SETTINGS` for their meaning. */
export interface EntrySettings {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly port: number;
  readonly peerPort: number;
  readonly logUrl: string;
  readonly listUrl: string;
  readonly deploymentKeys: readonly string[];
  readonly statsdAddress: string | undefined;
  readonly statsdPort: number;
  readonly logLevel: LogLevel;
  readonly listIntervalMs: number;
  readonly reportIntervalMs: number;
  readonly drainTimeoutMs: number;
  /** Interval of the claims and configuration snapshots in the log. */
  readonly snapshotIntervalMs: number;
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
  readonly maxRunningRequests: number;
  readonly maxQueuedRequests: number;
}

const define = createDefineSetting('BUCKTHORN');
const MAX_INTERVAL_MS = 60_000;
const MAX_DRAIN_TIMEOUT_MS = 600_000;
const MIN_SNAPSHOT_INTERVAL_MS = 1_000;
const MAX_SNAPSHOT_INTERVAL_MS = 86_400_000;
const MAX_BODY_BYTES = 64_000_000;
const MAX_REQUESTS = 1_000_000;
const MIN_KEY_LENGTH = 16;

/** Flag, environment variable, help text, parser and default of each setting. */
export const ENTRY_SETTINGS: SettingDefinitions<EntrySettings> = {
  instanceId: define(
    'instance-id',
    'Id of this instance, as the platform lists it',
    parseNonEmptyString,
  ),
  failureDomain: define(
    'failure-domain',
    'Failure domain that this instance is in',
    parseNonEmptyString,
  ),
  address: define(
    'address',
    'IP address to listen on and to announce to callers',
    parseIpAddress,
    '127.0.0.1',
  ),
  port: define('port', 'Port for callers; 0 for any free port', parsePort, '8080'),
  peerPort: define(
    'peer-port',
    "Port for the deployment's other daemons; 0 for any free port",
    parsePort,
    '8081',
  ),
  logUrl: define('log-url', "URL of the platform's log service, with an IP address", parseHttpUrl),
  listUrl: define(
    'list-url',
    "URL of the platform's instance list, with an IP address",
    parseHttpUrl,
  ),
  deploymentKeys: {
    ...define(
      'deployment-keys',
      'Deployment keys, separated by commas; two during a key rotation',
      createListParser(parseDeploymentKey),
    ),
    isSecret: true,
  },
  statsdAddress: define(
    'statsd-address',
    'IP address of a StatsD server for metrics; none if empty',
    parseOptionalIpAddress,
    '',
  ),
  statsdPort: define('statsd-port', 'UDP port of the StatsD server', parsePort, '8125'),
  logLevel: define(
    'log-level',
    `Minimum level of log messages: ${LOG_LEVELS.join(', ')}`,
    parseLogLevel,
    'info',
  ),
  listIntervalMs: define(
    'list-interval-ms',
    'Interval of reads of the instance list',
    createIntegerParser(10, MAX_INTERVAL_MS),
    '1000',
  ),
  reportIntervalMs: define(
    'report-interval-ms',
    'Interval of load report requests to a backend server in use',
    createIntegerParser(10, MAX_INTERVAL_MS),
    '500',
  ),
  drainTimeoutMs: define(
    'drain-timeout-ms',
    'Maximum time that a planned stop waits for open requests',
    createIntegerParser(0, MAX_DRAIN_TIMEOUT_MS),
    '20000',
  ),
  snapshotIntervalMs: define(
    'snapshot-interval-ms',
    "Interval of snapshots in the log; must be well below the log's retention",
    createIntegerParser(MIN_SNAPSHOT_INTERVAL_MS, MAX_SNAPSHOT_INTERVAL_MS),
    '900000',
  ),
  maxBodyBytes: define(
    'max-body-bytes',
    'Maximum size of a request body in bytes',
    createIntegerParser(1, MAX_BODY_BYTES),
    '4000000',
  ),
  bodyTimeoutMs: define(
    'body-timeout-ms',
    'Maximum time for receiving a request body',
    createIntegerParser(1, MAX_INTERVAL_MS),
    '10000',
  ),
  maxRunningRequests: define(
    'max-running-requests',
    'Maximum number of requests running at this entry',
    createIntegerParser(1, MAX_REQUESTS),
    '1000',
  ),
  maxQueuedRequests: define(
    'max-queued-requests',
    'Maximum number of requests queued at this entry',
    createIntegerParser(0, MAX_REQUESTS),
    '2000',
  ),
};

/**
 * Checks constraints that the parsers of single settings can't check.
 * @throws ServingError of kind `invalid-settings` if both ports are the same or there is no deployment key.
 */
export function checkEntrySettings(settings: EntrySettings): void {
  const {port, peerPort, deploymentKeys} = settings;
  if (port === peerPort && port !== 0) {
    throw new ServingError(
      `--port (BUCKTHORN_PORT) and --peer-port (BUCKTHORN_PEER_PORT) are both ${port}`,
      {kind: 'invalid-settings'},
    );
  }
  if (deploymentKeys.length === 0) {
    throw new ServingError('--deployment-keys (BUCKTHORN_DEPLOYMENT_KEYS) contains no key', {
      kind: 'invalid-settings',
    });
  }
}

function parseDeploymentKey(text: string): string {
  if (text.length < MIN_KEY_LENGTH) {
    throw new Error(`has a key of fewer than ${MIN_KEY_LENGTH} characters`);
  }
  return text;
}
