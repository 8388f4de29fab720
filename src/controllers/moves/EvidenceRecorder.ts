/** Aggregates an entry's finished attempts into time windows of evidence, by which versions are compared. */
import type {LoadBand, PrefillBand, VersionEvidence} from '../../blackboard/index.js';
import {addDuration, NO_DURATIONS} from './DurationMoments.js';

/** Length of an evidence window. */
export const EVIDENCE_WINDOW_MS = 2_000;
/** Time for which an entry keeps its evidence windows. */
export const EVIDENCE_RETENTION_MS = 120_000;

/** Utilization of a backend server from which its load band is `medium` or `high`. */
const MEDIUM_LOAD_UTILIZATION = 0.4;
const HIGH_LOAD_UTILIZATION = 0.75;
/** Minimum number of uncached prompt tokens of each prefill band, largest first; fewer tokens are `tiny`. */
const PREFILL_BANDS: ReadonlyArray<{readonly band: PrefillBand; readonly fromTokens: number}> = [
  {band: 'huge', fromTokens: 4_096},
  {band: 'long', fromTokens: 1_024},
  {band: 'short', fromTokens: 256},
];

/** A finished attempt as measured by an entry. */
export interface AttemptSample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly requestClass: string;
  readonly loadBand: LoadBand;
  readonly prefillBand: PrefillBand;
  readonly hasFailed: boolean;
  /**
   * Time to the first token, or to the response of a plain service. Undefined if none was received, or if the backend
   * server wasn't warm when the attempt was sent.
   */
  readonly firstTokenMs?: number;
  /** Mean time between tokens; undefined if fewer than two tokens were received. */
  readonly interTokenMs?: number;
}

/**
 * Returns the load band of a backend server.
 * @param openRequests - Requests that are running or queued there.
 * @param maxConcurrentRequests - Requests that a warm server processes concurrently.
 */
export function getLoadBand(openRequests: number, maxConcurrentRequests: number): LoadBand {
  const utilization = openRequests / maxConcurrentRequests;
  if (utilization < MEDIUM_LOAD_UTILIZATION) return 'low';
  return utilization < HIGH_LOAD_UTILIZATION ? 'medium' : 'high';
}

/**
 * Returns the prefill band of a prompt.
 * @param uncachedTokens - Predicted number of prompt tokens that aren't in the server's prefix cache; 0 for plain
 * services.
 */
export function getPrefillBand(uncachedTokens: number): PrefillBand {
  return PREFILL_BANDS.find(({fromTokens}) => uncachedTokens >= fromTokens)?.band ?? 'tiny';
}

/** Evidence windows of one entry from the last minutes. */
export class EvidenceRecorder {
  private readonly windows = new Map<string, VersionEvidence>();

  /**
   * Adds a finished attempt to its window.
   * @param sample - Measurements of the attempt.
   * @param nowMs - Current wall clock time in milliseconds, which selects the window.
   */
  addAttempt(sample: AttemptSample, nowMs: number): void {
    const windowStartMs = nowMs - (nowMs % EVIDENCE_WINDOW_MS);
    const {service, version, route, requestClass, loadBand, prefillBand} = sample;
    const subject = {service, version, route, requestClass, loadBand, prefillBand, windowStartMs};
    const key = Object.values(subject).join(' ');
    const existing = this.windows.get(key);
    if (!existing) this.removeOld(nowMs);
    this.windows.set(key, {
      ...subject,
      requests: (existing?.requests ?? 0) + 1,
      errors: (existing?.errors ?? 0) + (sample.hasFailed ? 1 : 0),
      firstToken: addDuration(existing?.firstToken ?? NO_DURATIONS, sample.firstTokenMs),
      interToken: addDuration(existing?.interToken ?? NO_DURATIONS, sample.interTokenMs),
    });
  }

  /**
   * Returns all windows that start at or after a time, including the current, incomplete one.
   * @param fromMs - Wall clock time in milliseconds; 0 for all windows.
   */
  getEvidence(fromMs: number): readonly VersionEvidence[] {
    return [...this.windows.values()].filter(window => window.windowStartMs >= fromMs);
  }

  private removeOld(nowMs: number): void {
    for (const [key, {windowStartMs}] of this.windows) {
      if (windowStartMs >= nowMs - EVIDENCE_RETENTION_MS) return;
      this.windows.delete(key);
    }
  }
}
