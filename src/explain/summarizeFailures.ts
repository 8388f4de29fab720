/** Groups failed requests by what decided their end. */
import type {LoggedEvent} from './LoggedEvent.js';

/** Requests that failed for one cause. */
export interface FailureGroup {
  /** How the request ended, the kind of refusal, and the detail without ids. */
  readonly cause: string;
  readonly requests: number;
  readonly gateways: number;
  readonly servers: number;
  readonly firstAtMs: number;
  readonly lastAtMs: number;
  /** One of the requests. */
  readonly exampleId: string;
}

/** Parts of a detail that differ from request to request. */
const VARIABLE_PARTS = /\b[\da-f]{6,}\b|\d+(\.\d+)*(:\d+)?/g;

/**
 * Returns the groups, largest first.
 * @param events - Lines of all gateways, in the order of their times.
 */
export function summarizeFailures(events: readonly LoggedEvent[]): readonly FailureGroup[] {
  const byCause = new Map<string, LoggedEvent[]>();
  for (const line of events) {
    const cause = getCause(line);
    if (cause === undefined) continue;
    byCause.set(cause, [...(byCause.get(cause) ?? []), line]);
  }
  return [...byCause]
    .map(([cause, lines]) => toGroup(cause, lines))
    .sort((a, b) => b.requests - a.requests);
}

/** Returns undefined for lines that tell of no failed request. */
function getCause({event, fields}: LoggedEvent): string | undefined {
  const {outcome, refusal, detail} = fields;
  if (event === 'request refused') return `refused before placing: ${refusal}`;
  if (event !== 'request' || outcome === undefined || outcome === 'answered') return undefined;
  const reason = refusal === undefined ? '' : `: ${refusal}`;
  const text = detail === undefined ? '' : ` (${detail.replace(VARIABLE_PARTS, '*')})`;
  return `${outcome}${reason}${text}`;
}

function toGroup(cause: string, lines: readonly LoggedEvent[]): FailureGroup {
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

/**
 * Returns a group as a line.
 * @param group - The group.
 */
export function formatFailureGroup(group: FailureGroup): string {
  const {cause, requests, gateways, servers, firstAtMs, lastAtMs, exampleId} = group;
  const span = `${new Date(firstAtMs).toISOString()} to ${new Date(lastAtMs).toISOString()}`;
  return `${requests} ${cause}; ${gateways} gateways, ${servers} servers, ${span}, such as ${exampleId}`;
}
