/** When a backend server is asked for its load: often while this entry uses it, seldom otherwise. */

/** What is known of a backend server. */
export interface ReportView {
  /** Instant of the last question; undefined before the first. */
  readonly askedAtMs: number | undefined;
  /** Instant at which a request of this entry was last open there; undefined for never. */
  readonly usedAtMs: number | undefined;
  /** Interval while the backend server is in use. */
  readonly activeIntervalMs: number;
}

/** Interval while this entry doesn't use a backend server; a leaving one must be noticed within 5 s. */
const IDLE_INTERVAL_MS = 2_000;
/** Time after its last request for which a backend server counts as in use. */
const USED_FOR_MS = 3_000;

/**
 * Returns whether a backend server is asked now.
 * @param view - What is known of it.
 * @param nowMs - Present time.
 */
export function isReportDue(view: ReportView, nowMs: number): boolean {
  const {askedAtMs, usedAtMs, activeIntervalMs} = view;
  if (askedAtMs === undefined) return true;
  const isInUse = usedAtMs !== undefined && nowMs - usedAtMs <= USED_FOR_MS;
  const intervalMs = isInUse ? activeIntervalMs : Math.max(activeIntervalMs, IDLE_INTERVAL_MS);
  // Timers fire a little early or late; half an interval decides to which tick a question belongs.
  return nowMs - askedAtMs >= intervalMs - activeIntervalMs / 2;
}
