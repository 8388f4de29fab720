/** Schedule of load report requests: frequent for backend servers that this entry uses, infrequent for others. */

/** State of one backend server that determines whether its next report is due. */
export interface ReportState {
  /** Time of the last report request; undefined before the first. */
  readonly lastRequestedAtMs: number | undefined;
  /** Time at which this entry last had an open request at the backend server; undefined if never. */
  readonly lastUsedAtMs: number | undefined;
  /** Polling interval while the backend server is in use. */
  readonly activeIntervalMs: number;
}

/** Minimum polling interval of an unused backend server; one that is leaving must be detected within 5 s. */
const MIN_IDLE_INTERVAL_MS = 2_000;
/** A backend server counts as in use for this long after its last open request. */
const IN_USE_WINDOW_MS = 3_000;

/**
 * Returns whether a load report of a backend server is due.
 * @param nowMs - Current time, by the same clock as the times in `reportState`.
 */
export function isReportDue(reportState: ReportState, nowMs: number): boolean {
  const {lastRequestedAtMs, lastUsedAtMs, activeIntervalMs} = reportState;
  if (lastRequestedAtMs === undefined) return true;
  const isInUse = lastUsedAtMs !== undefined && nowMs - lastUsedAtMs <= IN_USE_WINDOW_MS;
  const intervalMs = isInUse ? activeIntervalMs : Math.max(activeIntervalMs, MIN_IDLE_INTERVAL_MS);
  // Timers fire slightly early or late, so a report is due at the tick that is nearest to its scheduled time.
  return nowMs - lastRequestedAtMs >= intervalMs - activeIntervalMs / 2;
}
