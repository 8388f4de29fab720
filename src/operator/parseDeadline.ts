/** Parses the value of `--deadline`. */
import {ServingError} from '../errors/index.js';

const UNIT_MS: Readonly<Record<string, number>> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/**
 * Returns a deadline as Unix time in milliseconds.
 * @param text - A duration from now in s, m, h or d, such as `45m`, or a timestamp such as `2027-01-31T18:00Z`.
 * @param nowMs - Current Unix time in milliseconds.
 * @throws ServingError of kind `invalid-settings` if the text is neither, or the deadline has passed.
 */
export function parseDeadline(text: string, nowMs: number): number {
  const [, amount, unit = ''] = /^(\d+(?:\.\d+)?)([smhd])$/.exec(text) ?? [];
  const deadlineMs =
    amount === undefined ? Date.parse(text) : nowMs + Number(amount) * (UNIT_MS[unit] ?? 0);
  if (Number.isNaN(deadlineMs)) {
    throw createDeadlineError(
      text,
      'is neither a duration such as 45m nor a timestamp such as 2027-01-31T18:00Z',
    );
  }
  if (deadlineMs <= nowMs) throw createDeadlineError(text, 'has passed');
  return Math.round(deadlineMs);
}

function createDeadlineError(text: string, reason: string): ServingError {
  return new ServingError(`--deadline (BUCKTHORN_DEADLINE): "${text}" ${reason}`, {
    kind: 'invalid-settings',
  });
}
