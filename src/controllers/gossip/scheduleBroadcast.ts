/**
 * When gateways broadcast their states. All gateways of a group do so at the same moment, so that the datagrams of an
 * interval arrive together and wake a process up once, not once for each of them. Heads follow after the gateways that
 * they represent, so that the states which they pass on are those of the same interval.
 */

/** Interval between two broadcasts of a gateway. */
export const BROADCAST_INTERVAL_MS = 250;
/** Time by which the head of a group follows the other gateways of the group. */
const LEVEL_OFFSET_MS = 70;
/** Latest offset, for the heads of the highest levels. */
const MAX_OFFSET_MS = 140;
/** Broadcasts are spread over this time, so that a link doesn't get all datagrams at once. */
const SPREAD_MS = 8;

/**
 * Returns the time until the next broadcast of a gateway.
 * @param level - Highest level of its groups; 0 for a gateway that is no head.
 * @param wallMs - Unix time in milliseconds, the same at all gateways.
 * @param random - Returns a random number from 0 to less than 1.
 */
export function getBroadcastDelayMs(level: number, wallMs: number, random: () => number): number {
  const offsetMs = Math.min(MAX_OFFSET_MS, level * LEVEL_OFFSET_MS);
  const sinceLastMs = (wallMs - offsetMs) % BROADCAST_INTERVAL_MS;
  const delayMs = BROADCAST_INTERVAL_MS - sinceLastMs;
  // A timer that is called early must not lead to two broadcasts for one moment.
  const isSameMoment = delayMs < BROADCAST_INTERVAL_MS / 2;
  return delayMs + (isSameMoment ? BROADCAST_INTERVAL_MS : 0) + random() * SPREAD_MS;
}
