/** All events that a gateway logs. docs/LOG-EVENTS.md is made from this list. */

/** Severity of a log line. */
export type LogLevel = 'info' | 'warn' | 'error';

/** What a log event says. */
export interface EventDescription {
  readonly level: LogLevel;
  /** When it is logged. */
  readonly meaning: string;
  /** Names of its fields, in the order of the page; those that don't apply are left out of a line. */
  readonly fields: readonly string[];
  /** Lines a second; what is more is counted in the next line's `leftOut`. */
  readonly maxPerSecond: number;
}

/** Events that come with the traffic. */
const TRAFFIC_RATE = 300;
/** Events that come with changes of the deployment. */
const CHANGE_RATE = 50;
/** Events that repeat while something is wrong. */
const TROUBLE_RATE = 10;

/** Every event by its name, which is the message of its lines. */
export const GATEWAY_EVENTS = {
  started: {
    level: 'info',
    meaning: 'The process listens for callers.',
    fields: ['startMs', 'rssMb'],
    maxPerSecond: CHANGE_RATE,
  },
  stopping: {
    level: 'info',
    meaning: 'SIGTERM came: no new callers, open requests go on.',
    fields: ['openRequests'],
    maxPerSecond: CHANGE_RATE,
  },
  stopped: {
    level: 'info',
    meaning: 'The process ends.',
    fields: ['openRequests'],
    maxPerSecond: CHANGE_RATE,
  },
  'settings reloaded': {
    level: 'info',
    meaning: 'The settings file has changed: what was applied, and what a restart needs.',
    fields: ['applied', 'needRestart'],
    maxPerSecond: CHANGE_RATE,
  },
  'settings rejected': {
    level: 'error',
    meaning: 'The settings file has changed and is not valid; the former settings stay in force.',
    fields: ['error'],
    maxPerSecond: TROUBLE_RATE,
  },
  request: {
    level: 'info',
    meaning: 'A request that was admitted has ended.',
    fields: [
      'request',
      'route',
      'workspace',
      'outcome',
      'status',
      'refusal',
      'attempts',
      'server',
      'firstEventMs',
      'totalMs',
      'detail',
    ],
    maxPerSecond: TRAFFIC_RATE,
  },
  'request refused': {
    level: 'info',
    meaning: 'A request was refused before a backend server was chosen.',
    fields: ['request', 'path', 'workspace', 'refusal', 'version', 'configurationAgeMs'],
    maxPerSecond: TRAFFIC_RATE,
  },
  'configuration in force': {
    level: 'info',
    meaning: 'A newer configuration is applied from now on.',
    fields: ['version'],
    maxPerSecond: CHANGE_RATE,
  },
  'unreadable configuration': {
    level: 'warn',
    meaning: 'A configuration record was ignored.',
    fields: ['bytes'],
    maxPerSecond: TROUBLE_RATE,
  },
  evacuation: {
    level: 'info',
    meaning: 'An operator evacuated a failure domain or took it back.',
    fields: ['failureDomain', 'isEvacuated'],
    maxPerSecond: CHANGE_RATE,
  },
  'roll-out ordered': {
    level: 'info',
    meaning: 'An operator ordered a version of a service or withdrew the order.',
    fields: ['service', 'targetVersion'],
    maxPerSecond: CHANGE_RATE,
  },
  'backend server': {
    level: 'info',
    meaning: 'A registration was added, changed or removed, or its server leaves.',
    fields: ['server', 'change', 'service', 'failureDomain', 'toldBy'],
    maxPerSecond: 4 * CHANGE_RATE,
  },
  'unreadable registration': {
    level: 'warn',
    meaning: 'A registration was ignored.',
    fields: ['server', 'bytes'],
    maxPerSecond: TROUBLE_RATE,
  },
  'store lost': {
    level: 'warn',
    meaning: 'A read of a topic failed after one that worked.',
    fields: ['topic', 'message'],
    maxPerSecond: TROUBLE_RATE,
  },
  'store regained': {
    level: 'info',
    meaning: 'A read of a topic worked after failures.',
    fields: ['topic', 'awayMs'],
    maxPerSecond: TROUBLE_RATE,
  },
  'append refused': {
    level: 'warn',
    meaning: 'The store refused to append a record.',
    fields: ['status', 'body'],
    maxPerSecond: TROUBLE_RATE,
  },
  'duties claimed': {
    level: 'info',
    meaning: 'This gateway holds the duties from now on.',
    fields: ['token'],
    maxPerSecond: CHANGE_RATE,
  },
  'duties not claimed': {
    level: 'info',
    meaning: 'A claim failed: another gateway was first, or the store did not answer.',
    fields: ['token', 'newest'],
    maxPerSecond: CHANGE_RATE,
  },
  'duties lost': {
    level: 'info',
    meaning: 'This gateway holds the duties no longer.',
    fields: ['token', 'newest', 'reason'],
    maxPerSecond: CHANGE_RATE,
  },
  'duties failed': {
    level: 'error',
    meaning: 'Performing the duties ended with an error that was not expected.',
    fields: ['error'],
    maxPerSecond: TROUBLE_RATE,
  },
  'server order': {
    level: 'info',
    meaning: 'The holder ordered backend servers.',
    fields: ['service', 'failureDomain', 'isReclaimable', 'present', 'count', 'result', 'token'],
    maxPerSecond: CHANGE_RATE,
  },
  usage: {
    level: 'info',
    meaning: 'The holder reported a window of usage.',
    fields: ['window', 'total', 'result', 'token'],
    maxPerSecond: CHANGE_RATE,
  },
  'duty call failed': {
    level: 'warn',
    meaning: 'A call of the duties got no answer.',
    fields: ['path', 'error'],
    maxPerSecond: TROUBLE_RATE,
  },
  'duty call refused': {
    level: 'warn',
    meaning: 'A call of the duties was refused.',
    fields: ['path', 'status'],
    maxPerSecond: TROUBLE_RATE,
  },
  'gossip socket failed': {
    level: 'warn',
    meaning: 'The socket to the other gateways reported an error.',
    fields: ['error'],
    maxPerSecond: TROUBLE_RATE,
  },
  'gossip not sent': {
    level: 'warn',
    meaning: 'A datagram to another gateway could not be sent.',
    fields: ['error', 'address'],
    maxPerSecond: TROUBLE_RATE,
  },
  'unreadable gossip datagram': {
    level: 'warn',
    meaning: 'A datagram was ignored.',
    fields: ['bytes'],
    maxPerSecond: TROUBLE_RATE,
  },
  'connection not closed': {
    level: 'warn',
    meaning: 'A connection to a backend server that is gone could not be closed.',
    fields: ['error'],
    maxPerSecond: TROUBLE_RATE,
  },
  'caller socket failed': {
    level: 'error',
    meaning: 'The server for callers reported an error.',
    fields: ['error'],
    maxPerSecond: TROUBLE_RATE,
  },
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of an event. */
export type GatewayEvent = keyof typeof GATEWAY_EVENTS;
