/** Deadlines as operators type them. */
import {ServingError} from '../errors/index.js';

const UNIT_MS: Readonly<Record<string, number>> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/**
 * Returns the instant that a text means.
 * @param text - A time from now such as `45m`, or an instant such as `2027-01-31T18:00Z`.
 * @param nowMs - The present time.
 * @throws ServingError of kind `invalid-settings` where it is neither, or has passed.
 */
export function parseDeadline(text: string, nowMs: number): number {
  const [, amount, unit = ''] = /^(\d+(?:\.\d+)?)([smhd])$/.exec(text) ?? [];
  const atMs =
    amount === undefined ? Date.parse(text) : nowMs + Number(amount) * (UNIT_MS[unit] ?? 0);
  if (Number.isNaN(atMs)) {
    throw fail(text, 'is neither a time such as 45m nor an instant such as 2027-01-31T18:00Z');
  }
  if (atMs <= nowMs) throw fail(text, 'has passed');
  return Math.round(atMs);
}

function fail(text: string, reason: string): ServingError {
  return new ServingError(`--deadline (BUCKTHORN_DEADLINE): "${text}" ${reason}`, {
    kind: 'invalid-settings',
  });
}
