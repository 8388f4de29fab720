/** Groups failed requests by cause. */
import type {LoggedEvent} from './LoggedEvent.js';

/** Failed requests with the same cause. */
export interface FailureGroup {
  /** Outcome, kind of refusal, and detail in which ids and numbers are replaced by `*`. */
  readonly cause: string;
  readonly requests: number;
  /** Number of distinct gateways that logged the failures. */
  readonly gateways: number;
  /** Number of distinct backend servers; 0 if the requests were refused before one was chosen. */
  readonly servers: number;
  readonly firstAtMs: number;
  readonly lastAtMs: number;
  /** Id of the earliest of these requests. */
  readonly exampleId: string;
}

/** Ids, numbers and addresses, which differ between requests with the same cause. */
const VARIABLE_PARTS = /\b[\da-f]{6,}\b|\d+(\.\d+)*(:\d+)?/g;

/**
 * Returns the groups of failed requests, largest first.
 * @param events - Events of all gateways, in chronological order.
 */
export function summarizeFailures(events: readonly LoggedEvent[]): readonly FailureGroup[] {
  const byCause = new Map<string, LoggedEvent[]>();
  for (const line of events) {
    const cause = getCause(line);
    if (cause === undefined) continue;
    byCause.set(cause, [...(byCause.get(cause) ?? []), line]);
  }
  return [...byCause]
    .map(([cause, lines]) => createGroup(cause, lines))
    .sort((a, b) => b.requests - a.requests);
}

/** Returns undefined unless the event is a failed or refused request. */
function getCause({event, fields}: LoggedEvent): string | undefined {
  const {outcome, refusal, detail} = fields;
  if (event === 'request refused') return `refused before a backend server was chosen: ${refusal}`;
  if (event !== 'request' || outcome === undefined || outcome === 'answered') return undefined;
  const reason = refusal === undefined ? '' : `: ${refusal}`;
  const text = detail === undefined ? '' : ` (${detail.replace(VARIABLE_PARTS, '*')})`;
  return `${outcome}${reason}${text}`;
}

function createGroup(cause: string, lines: readonly LoggedEvent[]): FailureGroup {
  const servers = lines.map(({fields}) => fields.server).filter(server => server !== undefined);
  return {
    cause,
    requests: lines.length,
    gateways: new Set(lines.map(({gatewayId}) => gatewayId)).size,
    servers: new Set(servers).size,
    firstAtMs: lines[0].atMs,
    lastAtMs: lines[lines.length - 1].atMs,
    exampleId: lines[0].fields.request ?? '',
  };
}

/** Formats a group as one line of text. */
export function formatFailureGroup(group: FailureGroup): string {
  const {cause, requests, gateways, servers, firstAtMs, lastAtMs, exampleId} = group;
  const span = `${new Date(firstAtMs).toISOString()} to ${new Date(lastAtMs).toISOString()}`;
  return `${requests} ${cause}; ${gateways} gateways, ${servers} servers, ${span}, for example ${exampleId}`;
}
