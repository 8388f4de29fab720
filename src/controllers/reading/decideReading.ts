/** Decides which gateway reads a shared log for all of them, and when one of the others reads for itself. */
import {rankByRendezvous} from '../../utils/index.js';

/** A gateway that could read for the others. */
export interface ReadingCandidate {
  readonly id: string;
  readonly failureDomain: string;
}

/** What a gateway knows of a log. */
export interface ReadingView {
  /** Place of this gateway in the order of the readers; the first one reads for all. */
  readonly rank: number;
  /** Offset up to which the log is known here. */
  readonly knownOffset: number;
  /** Highest offset that another gateway told. */
  readonly toldOffset: number;
  /** Age of the newest proof that all records are known, own or told. */
  readonly ageMs: number;
  /** Time since the last own reading ended. */
  readonly sinceReadMs: number;
}

/** Times of a log. */
export interface ReadingTimes {
  /** Pause between two readings of the first reader. */
  readonly intervalMs: number;
  /** Age of its knowledge at which the second reader reads; those behind it wait longer. */
  readonly maxRelayedAgeMs: number;
  /** Whether news from others has to be read here; otherwise it comes with what they tell. */
  readonly readsToldNews: boolean;
}

/** The third reader waits this much longer than the second, and all others as much longer than the third. */
const RANK_DELAY_MS = 150;
const RANKS_WITH_DELAY = 2;
const RANKING_KEY = 'readers';

/**
 * Returns a gateway's place in the order of the readers. All gateways with the same view agree, and the first places are
 * in different failure domains.
 * @param ownId - The gateway.
 * @param candidates - All gateways that reach the log, itself included.
 */
export function getReaderRank(ownId: string, candidates: readonly ReadingCandidate[]): number {
  const ranked = rankByRendezvous(RANKING_KEY, candidates, ({id}) => id);
  const seen = new Set<string>();
  const first: ReadingCandidate[] = [];
  const others: ReadingCandidate[] = [];
  for (const candidate of ranked) {
    (seen.has(candidate.failureDomain) ? others : first).push(candidate);
    seen.add(candidate.failureDomain);
  }
  return [...first, ...others].findIndex(({id}) => id === ownId);
}

/**
 * Returns the time until the log is read next; 0 for now.
 * @param view - What is known.
 * @param times - Times of the log.
 */
export function getReadingDelayMs(view: ReadingView, times: ReadingTimes): number {
  const {rank, knownOffset, toldOffset, ageMs, sinceReadMs} = view;
  const {intervalMs, maxRelayedAgeMs, readsToldNews} = times;
  if (readsToldNews && toldOffset > knownOffset) return 0;
  const intervalLeftMs = Math.max(0, intervalMs - sinceReadMs);
  if (rank === 0) return intervalLeftMs;
  const maxAgeMs = maxRelayedAgeMs + RANK_DELAY_MS * Math.min(rank - 1, RANKS_WITH_DELAY);
  return Math.max(intervalLeftMs, maxAgeMs - ageMs);
}
