/** Tells the life of one request from the logs of all gateways. */
import {GatewayBeliefs} from './GatewayBeliefs.js';
import type {LoggedEvent} from './LoggedEvent.js';

/** Other failures at the same server within this time point to the server. */
const NEAR_MS = 2_000;

/**
 * Returns the request's lines in order, each with what its gateway believed then and what it knew of the backend server.
 * @param events - Lines of all gateways, in the order of their times.
 * @param requestId - The request.
 */
export function explainRequest(
  events: readonly LoggedEvent[],
  requestId: string,
): readonly string[] {
  const beliefs = new Map<string, GatewayBeliefs>();
  const lines: string[] = [];
  for (const line of events) {
    const known = beliefs.get(line.gatewayId) ?? new GatewayBeliefs();
    beliefs.set(line.gatewayId, known);
    known.apply(line);
    if (line.fields.request === requestId) lines.push(...explainLine(events, line, known));
  }
  return lines;
}

function explainLine(
  events: readonly LoggedEvent[],
  line: LoggedEvent,
  beliefs: GatewayBeliefs,
): readonly string[] {
  const {atMs, gatewayId, event, text} = line;
  return [
    `${formatTime(atMs)} ${gatewayId} ${event}: ${text}`,
    `  believed: ${beliefs.describe(atMs)}`,
    ...explainServer(events, line, beliefs),
  ];
}

function explainServer(
  events: readonly LoggedEvent[],
  {atMs, fields}: LoggedEvent,
  beliefs: GatewayBeliefs,
): readonly string[] {
  const {server} = fields;
  if (server === undefined) return [];
  const changes = beliefs
    .getChanges(server)
    .map(
      ({atMs: changedAtMs, change, toldBy}) =>
        `${change} ${atMs - changedAtMs} ms before${toldBy === undefined ? '' : `, told by ${toldBy}`}`,
    );
  const near = events.filter(
    other =>
      other.fields.server === server &&
      other.event === 'request' &&
      other.fields.request !== fields.request &&
      Math.abs(other.atMs - atMs) <= NEAR_MS,
  );
  const failed = near.filter(other => other.fields.outcome !== 'answered');
  return [
    `  ${server}: ${changes.join('; ') || 'no change logged'}`,
    `  ${server}: ${failed.length} of ${near.length} other requests within ${NEAR_MS} ms failed`,
  ];
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
