/**
 * Decides when a gateway reads a shared log. Usually a designated gateway reads it and reports its state to the others
 * over gossip. The others read for themselves only when a reported offset requires it or when their state becomes too
 * old.
 */
import {rankByRendezvous} from '../../utils/index.js';
import {comparePositions, type LogPosition} from './LogPosition.js';

/** A gateway that reaches the log and may become the designated reader. */
export interface ReaderCandidate {
  readonly id: string;
  readonly failureDomain: string;
}

/** A gateway's replicated state of a log and its rank among the readers. */
export interface ReadView {
  /** Rank of this gateway among the readers; rank 0 is the designated reader. */
  readonly rank: number;
  /** Position up to which this gateway has the log's records, whether read or relayed. */
  readonly knownPosition: LogPosition;
  /** Latest position that another gateway has reported. */
  readonly reportedPosition: LogPosition;
  /** Time since this gateway's state was last confirmed to be up to date, by a read here or at another gateway. */
  readonly ageMs: number;
  /** Time since this gateway's last read of the log ended. */
  readonly sinceReadMs: number;
}

/** Read intervals of a log. */
export interface ReadIntervals {
  /** Pause between two reads by the designated reader. */
  readonly intervalMs: number;
  /** Age of its state at which the second reader reads the log; lower ranks wait longer. */
  readonly maxRelayedAgeMs: number;
  /**
   * Whether a later position reported by another gateway triggers a read; false if gossip relays the records themselves.
   */
  readonly readsReportedRecords: boolean;
}

/** The third reader waits this much longer than the second, and the fourth as much longer than the third. */
const RANK_DELAY_MS = 150;
const MAX_DELAYED_RANKS = 2;
/** Each lower rank waits this much longer, up to a limit, so that a large fleet doesn't read all at once. */
const LOWER_RANK_DELAY_MS = 20;
const MAX_LOWER_RANKS_DELAY_MS = 600;
const RANKING_KEY = 'readers';

/**
 * Returns a gateway's rank among the readers, from 0. All gateways with the same candidates compute the same ranks. The
 * first ranks are in different failure domains, so that the loss of one domain leaves a reader.
 * @param ownId - Gateway to rank.
 * @param candidates - All gateways that reach the log, including `ownId`.
 */
export function getReaderRank(ownId: string, candidates: readonly ReaderCandidate[]): number {
  const ranked = rankByRendezvous(RANKING_KEY, candidates, ({id}) => id);
  const seenDomains = new Set<string>();
  const firstOfDomain: ReaderCandidate[] = [];
  const others: ReaderCandidate[] = [];
  for (const candidate of ranked) {
    (seenDomains.has(candidate.failureDomain) ? others : firstOfDomain).push(candidate);
    seenDomains.add(candidate.failureDomain);
  }
  return [...firstOfDomain, ...others].findIndex(({id}) => id === ownId);
}

/**
 * Returns the time in milliseconds until this gateway reads the log next; 0 to read it now.
 * @param view - Rank and replicated state of this gateway.
 * @param times - Read intervals of the log.
 */
export function getReadDelayMs(view: ReadView, times: ReadIntervals): number {
  const {rank, knownPosition, reportedPosition, ageMs, sinceReadMs} = view;
  const {intervalMs, maxRelayedAgeMs, readsReportedRecords} = times;
  const isBehind = comparePositions(reportedPosition, knownPosition) > 0;
  if (readsReportedRecords && isBehind) return 0;
  const intervalLeftMs = Math.max(0, intervalMs - sinceReadMs);
  if (rank === 0) return intervalLeftMs;
  const lowerRanks = Math.max(0, rank - 1 - MAX_DELAYED_RANKS);
  const maxAgeMs =
    maxRelayedAgeMs +
    RANK_DELAY_MS * Math.min(rank - 1, MAX_DELAYED_RANKS) +
    Math.min(LOWER_RANK_DELAY_MS * lowerRanks, MAX_LOWER_RANKS_DELAY_MS);
  return Math.max(intervalLeftMs, maxAgeMs - ageMs);
}
