/** Gathers ended tries into windows of evidence. */
import type {
  DurationMoments,
  LoadBand,
  PrefillBand,
  VersionEvidence,
} from '../../blackboard/index.js';

/** Length of a window of evidence. */
export const EVIDENCE_WINDOW_MS = 2_000;
/** Time for which an entry keeps its windows. */
export const EVIDENCE_KEPT_MS = 120_000;

const MEDIUM_LOAD_PART = 0.4;
const HIGH_LOAD_PART = 0.75;
/** Least uncached tokens of each band, largest first. */
const PREFILL_BANDS: ReadonlyArray<{readonly band: PrefillBand; readonly fromTokens: number}> = [
  {band: 'huge', fromTokens: 4_096},
  {band: 'long', fromTokens: 1_024},
  {band: 'short', fromTokens: 256},
];
const LEAST_DURATION_MS = 0.1;
const NO_DURATIONS: DurationMoments = {count: 0, sumLogMs: 0, sumSquaredLogMs: 0};

/** An ended try as an entry saw it. */
export interface TrySample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly requestClass: string;
  readonly loadBand: LoadBand;
  readonly prefillBand: PrefillBand;
  readonly hasFailed: boolean;
  /** Absent where no token or answer came, or the backend server wasn't warm when the try was sent. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens; absent where fewer than two tokens came. */
  readonly interTokenMs?: number;
}

/**
 * Returns the load band of a backend server.
 * @param openRequests - Requests that run or wait there.
 * @param maxConcurrentRequests - Requests that a warm one takes at a time.
 */
export function getLoadBand(openRequests: number, maxConcurrentRequests: number): LoadBand {
  const loadPart = openRequests / maxConcurrentRequests;
  if (loadPart < MEDIUM_LOAD_PART) return 'low';
  return loadPart < HIGH_LOAD_PART ? 'medium' : 'high';
}

/**
 * Returns the band of a prompt.
 * @param uncachedTokens - Tokens that have to be computed, by the prediction; 0 for plain services.
 */
export function getPrefillBand(uncachedTokens: number): PrefillBand {
  return PREFILL_BANDS.find(({fromTokens}) => uncachedTokens >= fromTokens)?.band ?? 'tiny';
}

/** Keeps the evidence of the last minutes of one entry. */
export class EvidenceRecorder {
  private readonly windows = new Map<string, VersionEvidence>();

  /**
   * Adds an ended try.
   * @param sample - The try.
   * @param nowMs - Present time by the wall clock.
   */
  addTry(sample: TrySample, nowMs: number): void {
    const windowStartMs = nowMs - (nowMs % EVIDENCE_WINDOW_MS);
    const {service, version, route, requestClass, loadBand, prefillBand} = sample;
    const subject = {service, version, route, requestClass, loadBand, prefillBand, windowStartMs};
    const key = Object.values(subject).join(' ');
    const known = this.windows.get(key);
    if (!known) this.removeOld(nowMs);
    this.windows.set(key, {
      ...subject,
      requests: (known?.requests ?? 0) + 1,
      errors: (known?.errors ?? 0) + (sample.hasFailed ? 1 : 0),
      firstToken: addDuration(known?.firstToken ?? NO_DURATIONS, sample.firstTokenMs),
      interToken: addDuration(known?.interToken ?? NO_DURATIONS, sample.interTokenMs),
    });
  }

  /**
   * Returns windows, open ones included.
   * @param fromMs - Least start of a window.
   */
  getEvidence(fromMs: number): readonly VersionEvidence[] {
    return [...this.windows.values()].filter(window => window.windowStartMs >= fromMs);
  }

  private removeOld(nowMs: number): void {
    for (const [key, {windowStartMs}] of this.windows) {
      if (windowStartMs >= nowMs - EVIDENCE_KEPT_MS) return;
      this.windows.delete(key);
    }
  }
}

function addDuration(moments: DurationMoments, durationMs: number | undefined): DurationMoments {
  if (durationMs === undefined) return moments;
  const logMs = Math.log(Math.max(durationMs, LEAST_DURATION_MS));
  return {
    count: moments.count + 1,
    sumLogMs: moments.sumLogMs + logMs,
    sumSquaredLogMs: moments.sumSquaredLogMs + logMs * logMs,
  };
}
