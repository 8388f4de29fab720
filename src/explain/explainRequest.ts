/** Reconstructs the history of a request from the logs of all gateways. */
import {ReconstructedGatewayState} from './ReconstructedGatewayState.js';
import type {LoggedEvent} from './LoggedEvent.js';

/** Failures of other requests at the same server within this time suggest a fault of the server. */
const RELATED_FAILURE_WINDOW_MS = 2_000;

/**
 * Returns the events of a request as lines of text, each with the state of its gateway and of the backend server then.
 * @param events - Events of all gateways, in chronological order.
 * @param requestId - Id of the request, as in the `request` field of the log.
 */
export function explainRequest(
  events: readonly LoggedEvent[],
  requestId: string,
): readonly string[] {
  const stateByGateway = new Map<string, ReconstructedGatewayState>();
  const lines: string[] = [];
  for (const line of events) {
    const state = stateByGateway.get(line.gatewayId) ?? new ReconstructedGatewayState();
    stateByGateway.set(line.gatewayId, state);
    state.apply(line);
    if (line.fields.request === requestId) lines.push(...formatEvent(events, line, state));
  }
  return lines;
}

function formatEvent(
  events: readonly LoggedEvent[],
  line: LoggedEvent,
  state: ReconstructedGatewayState,
): readonly string[] {
  const {atMs, gatewayId, event, text} = line;
  return [
    `${formatTime(atMs)} ${gatewayId} ${event}: ${text}`,
    `  gateway state: ${state.formatState(atMs)}`,
    ...formatServerContext(events, line, state),
  ];
}

function formatServerContext(
  events: readonly LoggedEvent[],
  {atMs, fields}: LoggedEvent,
  state: ReconstructedGatewayState,
): readonly string[] {
  const {server} = fields;
  if (server === undefined) return [];
  const changes = state
    .getChanges(server)
    .map(
      ({atMs: changedAtMs, change, reportedBy}) =>
        `${change} ${atMs - changedAtMs} ms before${reportedBy === undefined ? '' : `, reported by ${reportedBy}`}`,
    );
  const otherRequests = events.filter(
    other =>
      other.fields.server === server &&
      other.event === 'request' &&
      other.fields.request !== fields.request &&
      Math.abs(other.atMs - atMs) <= RELATED_FAILURE_WINDOW_MS,
  );
  const failed = otherRequests.filter(other => other.fields.outcome !== 'answered');
  return [
    `  ${server}: ${changes.join('; ') || 'no change logged'}`,
    `  ${server}: ${failed.length} of ${otherRequests.length} other requests within ${RELATED_FAILURE_WINDOW_MS} ms failed`,
  ];
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
