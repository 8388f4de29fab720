/** All events that a gateway logs. `npm run docs:events` generates docs/LOG-EVENTS.md from this list. */

/** Severity of a gateway event. */
export type LogLevel = 'info' | 'warn' | 'error';

/** Severity, meaning, fields and rate limit of an event. */
export interface EventDescription {
  readonly level: LogLevel;
  /** Description for the documentation page: when the event is logged. */
  readonly meaning: string;
  /** Field names, in the order of the documentation page; a line omits the fields that don't apply. */
  readonly fields: readonly string[];
  /** Maximum number of lines per second; the next line reports the number of omitted ones as `leftOut`. */
  readonly maxPerSecond: number;
}

/** Rate limit of events that are logged for each request. */
const REQUEST_EVENTS_PER_SECOND = 300;
/** Callers of a gateway that is cut off are few after a second. */
const FORWARDED_EVENTS_PER_SECOND = 100;
/** Links that are probed three times a second can't change more often. */
const LINK_CHANGES_PER_SECOND = 3;
/** Rate limit of events that are caused by changes of the deployment. */
const STATE_CHANGES_PER_SECOND = 50;
/** Rate limit of events that occur once in the life of a process. */
const LIFE_EVENTS_PER_SECOND = 1;
/** What servers say of themselves when they refuse requests. */
const HINTS_PER_SECOND = 5;
/** A hostile crowd causes thousands; the counter has their number. */
const CALLER_REFUSALS_PER_SECOND = 5;
/** All connections of a pool may go silent at once; the first ones tell it. */
const STALLS_PER_SECOND = 2;
/** Steps of roll-outs, of which a gateway sees a few per service. */
const ROLLOUT_EVENTS_PER_SECOND = 5;
/** Rate limit of events that repeat while a fault persists. */
const ERRORS_PER_SECOND = 10;

/** All events by name; the name is the message of the log line. */
export const GATEWAY_EVENTS = {
  started: {
    level: 'info',
    meaning: 'The gateway has started and accepts requests.',
    fields: ['startMs', 'rssMb'],
    maxPerSecond: LIFE_EVENTS_PER_SECOND,
  },
  stopping: {
    level: 'info',
    meaning: 'SIGTERM was received: new requests are refused, open ones continue.',
    fields: ['openRequests'],
    maxPerSecond: LIFE_EVENTS_PER_SECOND,
  },
  stopped: {
    level: 'info',
    meaning: 'The gateway has shut down, and the process exits.',
    fields: ['openRequests'],
    maxPerSecond: LIFE_EVENTS_PER_SECOND,
  },
  'settings reloaded': {
    level: 'info',
    meaning:
      'The settings file has changed. Lists the settings that were applied and those that need a restart.',
    fields: ['applied', 'needRestart'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'settings rejected': {
    level: 'error',
    meaning: 'The settings file has changed but is invalid; the previous settings stay in force.',
    fields: ['error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  request: {
    level: 'info',
    meaning: 'An admitted request has ended.',
    fields: [
      'request',
      'route',
      'workspace',
      'outcome',
      'status',
      'refusal',
      'attempts',
      'server',
      'softwareVersion',
      'firstEventMs',
      'totalMs',
      'detail',
    ],
    maxPerSecond: REQUEST_EVENTS_PER_SECOND,
  },
  'request forwarded': {
    level: 'info',
    meaning:
      'A request was passed on to another gateway, since this one has lost its links to most backend servers, and has ended.',
    fields: ['request', 'gateway', 'outcome', 'status', 'totalMs', 'detail'],
    maxPerSecond: FORWARDED_EVENTS_PER_SECOND,
  },
  'servers out of reach': {
    level: 'warn',
    meaning:
      'Probes show that this gateway has lost its links to most backend servers. It passes requests on to other gateways.',
    fields: ['reached', 'unreached'],
    maxPerSecond: LINK_CHANGES_PER_SECOND,
  },
  'links not examined': {
    level: 'error',
    meaning: 'Finding out whether the backend servers are in reach failed.',
    fields: ['error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'servers back in reach': {
    level: 'info',
    meaning: 'This gateway reaches the backend servers again, and serves requests itself.',
    fields: ['reached', 'unreached', 'cutOffMs'],
    maxPerSecond: LINK_CHANGES_PER_SECOND,
  },
  'request refused': {
    level: 'info',
    meaning: 'A request was refused before a backend server was chosen.',
    fields: ['request', 'path', 'workspace', 'refusal', 'version', 'configurationAgeMs'],
    maxPerSecond: REQUEST_EVENTS_PER_SECOND,
  },
  'caller refused': {
    level: 'warn',
    meaning:
      'A request was refused or a connection closed before the gateway got to decide, because its caller (`source`) exceeded a bound, or most of what all callers held. `reason` is listed in docs/OPERATIONS.md.',
    fields: ['reason', 'source'],
    maxPerSecond: CALLER_REFUSALS_PER_SECOND,
  },
  'attempt overdue': {
    level: 'info',
    meaning:
      'An attempt has had no response for unusually long. If it was sent on a kept connection, that may have gone silent.',
    fields: ['request', 'server', 'service', 'stallMs'],
    maxPerSecond: STALLS_PER_SECOND,
  },
  'kept connections closed': {
    level: 'info',
    meaning:
      'Idle connections to backend servers were closed: they were opened before an attempt that is overdue on a kept connection.',
    fields: ['closed'],
    maxPerSecond: STALLS_PER_SECOND,
  },
  'attempt lost': {
    level: 'info',
    meaning:
      'The connection of an attempt that may have run ended before its response was complete. Prompt parts that are lost with several backend servers, and with no other request between, point to the cause.',
    fields: [
      'request',
      'server',
      'service',
      'sinceSentMs',
      'sinceFirstEventMs',
      'promptParts',
      'message',
    ],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'server crashed': {
    level: 'warn',
    meaning:
      'Attempts were lost on a backend server and nothing listens at its address any more. Lists the keys of what the requests contained whose responses it was about to begin, without those that were answered a short time before (`cleared`).',
    fields: ['server', 'failureDomain', 'suspects', 'cleared'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'server not checked': {
    level: 'warn',
    meaning: 'It could not be found out whether a backend server has crashed.',
    fields: ['server', 'error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'quarantine begun': {
    level: 'warn',
    meaning:
      'Requests with a prompt part, or one whole request, are refused because servers crash on them.',
    fields: ['suspect', 'crashes', 'lengthMs'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'quarantine trial': {
    level: 'info',
    meaning: 'After the end of a quarantine this gateway lets one request run.',
    fields: ['suspect'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'quarantine ended': {
    level: 'info',
    meaning: 'A quarantined prompt part or request was answered, or others explain the crashes.',
    fields: ['suspect'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'configuration in force': {
    level: 'info',
    meaning: 'A newer configuration has come into force.',
    fields: ['version'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'unreadable configuration': {
    level: 'warn',
    meaning: 'A configuration record was ignored because it is invalid.',
    fields: ['bytes'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  evacuation: {
    level: 'info',
    meaning: 'An operator evacuated a failure domain or ended its evacuation.',
    fields: ['failureDomain', 'isEvacuated'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'roll-out ordered': {
    level: 'info',
    meaning: 'An operator ordered the roll-out of a service version or withdrew the order.',
    fields: ['service', 'targetVersion'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'brittle server': {
    level: 'info',
    meaning:
      'A backend server says that it crashes if it has to refuse more requests per second, or no longer says so.',
    fields: ['server', 'service', 'refusalsPerSecond'],
    maxPerSecond: HINTS_PER_SECOND,
  },
  'server paused': {
    level: 'info',
    meaning: 'A backend server refused a request and wants none from this gateway for some time.',
    fields: ['server', 'service', 'pauseMs'],
    maxPerSecond: HINTS_PER_SECOND,
  },
  'server pause not usable': {
    level: 'warn',
    meaning: 'A time that a refusing server named is no number of seconds, or is cut to an hour.',
    fields: ['server', 'text'],
    maxPerSecond: HINTS_PER_SECOND,
  },
  'server speed': {
    level: 'info',
    meaning:
      'The work factor in percent that this gateway believes a backend server to have for long has changed by more than half, by its reports or by its responses.',
    fields: ['server', 'service', 'before', 'after'],
    maxPerSecond: HINTS_PER_SECOND,
  },
  'roll-out step': {
    level: 'info',
    meaning:
      'The share of requests that a roll-out may move has changed, or the roll-out has ended.',
    fields: ['service', 'targetVersion', 'phase', 'sharePercent', 'token'],
    maxPerSecond: ROLLOUT_EVENTS_PER_SECOND,
  },
  'roll-out decided': {
    level: 'info',
    meaning:
      'This gateway, as the duty holder, has decided a step of a roll-out, by these results of all gateways.',
    fields: [
      'service',
      'targetVersion',
      'phase',
      'sharePercent',
      'reason',
      'targetResults',
      'allResults',
      'sinceStartMs',
      'token',
    ],
    maxPerSecond: ROLLOUT_EVENTS_PER_SECOND,
  },
  'roll-out written': {
    level: 'info',
    meaning:
      'This gateway, as the duty holder, has written the state of a roll-out for the operators.',
    fields: ['service', 'targetVersion', 'phase', 'result', 'token'],
    maxPerSecond: ROLLOUT_EVENTS_PER_SECOND,
  },
  'unreadable roll-out': {
    level: 'warn',
    meaning: 'A roll-out order was ignored because it is invalid.',
    fields: ['service', 'bytes'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'backend server': {
    level: 'info',
    meaning:
      'The registration of a backend server was added, changed or removed, or the server is draining.',
    fields: ['server', 'change', 'service', 'failureDomain', 'toldBy'],
    maxPerSecond: 4 * STATE_CHANGES_PER_SECOND,
  },
  'unreadable registration': {
    level: 'warn',
    meaning: 'The registration of a backend server was ignored because it is invalid.',
    fields: ['server', 'bytes'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'store lost': {
    level: 'warn',
    meaning: 'A read of a topic failed after a successful one.',
    fields: ['topic', 'message'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'store restored': {
    level: 'warn',
    meaning: 'The store has come back from an older copy and lost the records after it.',
    fields: ['era', 'known'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'store regained': {
    level: 'info',
    meaning: 'A read of a topic succeeded after failures.',
    fields: ['topic', 'awayMs'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'append refused': {
    level: 'warn',
    meaning: 'The store refused to append a record.',
    fields: ['status', 'body'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'duties claimed': {
    level: 'info',
    meaning: 'This gateway has become the duty holder.',
    fields: ['token'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'duties not claimed': {
    level: 'info',
    meaning:
      'A claim of the duties failed: another gateway was first, or the store did not respond.',
    fields: ['token', 'newest'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'duties lost': {
    level: 'info',
    meaning: 'This gateway is no longer the duty holder.',
    fields: ['token', 'newest', 'reason'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'duties failed': {
    level: 'error',
    meaning: 'The duties ended with an unexpected error.',
    fields: ['error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'server order': {
    level: 'info',
    meaning: 'The duty holder ordered backend servers.',
    fields: ['service', 'failureDomain', 'isReclaimable', 'present', 'count', 'result', 'token'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  usage: {
    level: 'info',
    meaning: 'The duty holder reported the usage of a time window.',
    fields: ['window', 'total', 'result', 'token'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'duty call failed': {
    level: 'warn',
    meaning: 'A call by the duty holder to the platform got no response.',
    fields: ['path', 'error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'duty call refused': {
    level: 'warn',
    meaning: 'A call by the duty holder was refused by the platform.',
    fields: ['path', 'status'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'server limit': {
    level: 'info',
    meaning:
      'A response of a backend server named another limit of requests per second than the previous one that this gateway got from it, or none any more.',
    fields: ['server', 'service', 'perSecond', 'sinceChangeMs'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'attempt at cold server': {
    level: 'info',
    meaning:
      'An attempt was sent to a cold backend server, with the number of gateways among which its rate limit is divided.',
    fields: ['request', 'server', 'coldMs', 'gateways'],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  gossip: {
    level: 'info',
    meaning:
      'Gossip traffic since the previous line, and how recent and complete the gossiped state is.',
    fields: [
      'intervalMs',
      'sentDatagrams',
      'sentBytes',
      'receivedDatagrams',
      'receivedBytes',
      'groups',
      'heard',
      'known',
      'registrationsAgeMs',
      'configurationAgeMs',
    ],
    maxPerSecond: STATE_CHANGES_PER_SECOND,
  },
  'gossip socket failed': {
    level: 'warn',
    meaning: 'The UDP socket for gossip reported an error.',
    fields: ['error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'gossip not sent': {
    level: 'warn',
    meaning: 'A gossip datagram could not be sent to another gateway.',
    fields: ['error', 'address'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'unreadable gossip datagram': {
    level: 'warn',
    meaning: 'A gossip datagram was ignored because it is invalid.',
    fields: ['bytes'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'connection not closed': {
    level: 'warn',
    meaning: 'A connection to a removed backend server could not be closed.',
    fields: ['error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
  'caller socket failed': {
    level: 'error',
    meaning: 'The HTTP server for callers reported an error.',
    fields: ['error'],
    maxPerSecond: ERRORS_PER_SECOND,
  },
} as const satisfies Readonly<Record<string, EventDescription>>;

/** Name of an event that a gateway logs. */
export type GatewayEvent = keyof typeof GATEWAY_EVENTS;
