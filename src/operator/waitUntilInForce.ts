/** Polls the entries until a configuration revision is in force on all of them. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {EntryStatus} from './DaemonsClient.js';

/** Number of entries on which a revision, or a later one, is in force. */
export interface InForceCount {
  readonly entriesInForce: number;
  /** Number of all queried entries. */
  readonly entries: number;
  /** Entries that have an older revision or did not respond. */
  readonly missingEntries: readonly EntryStatus[];
}

/** Options of `waitUntilInForce`. */
export interface InForceWaitOptions {
  /** Revision that the entries must have reached. */
  readonly revision: number;
  readonly getEntryStatuses: () => Promise<readonly EntryStatus[]>;
  /** Returns Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** The entries are queried at least once, even if this is 0. */
  readonly timeoutMs: number;
  /** Called with the first count and whenever a count differs from the previous one. */
  readonly onCount: (count: InForceCount) => void;
}

const POLL_MS = 200;

/** Counts the entries on which a revision, or a later one, is in force. */
export function countInForce(revision: number, statuses: readonly EntryStatus[]): InForceCount {
  const missingEntries = statuses.filter(status => (status.configurationRevision ?? -1) < revision);
  return {
    entriesInForce: statuses.length - missingEntries.length,
    entries: statuses.length,
    missingEntries,
  };
}

/**
 * Polls the entries until the revision is in force on all of them or `timeoutMs` has passed. An empty list of entries
 * doesn't end the wait.
 * @returns The last count.
 * @throws The error of `getEntryStatuses` if its last call fails; earlier failures are ignored.
 */
export async function waitUntilInForce(options: InForceWaitOptions): Promise<InForceCount> {
  const {revision, getEntryStatuses, getNowMs, timeoutMs, onCount} = options;
  const timeoutAtMs = getNowMs() + timeoutMs;
  let lastCount: InForceCount | undefined;
  for (;;) {
    const hasTimedOut = getNowMs() >= timeoutAtMs;
    const statuses = await getEntryStatuses().catch(rethrowIf(hasTimedOut));
    const count = statuses && countInForce(revision, statuses);
    if (count && !isSameCount(lastCount, count)) onCount(count);
    lastCount = count ?? lastCount;
    const isInForceOnAll = count && count.entries > 0 && count.missingEntries.length === 0;
    if (count && (isInForceOnAll || hasTimedOut)) return count;
    await sleep(POLL_MS);
  }
}

function isSameCount(a: InForceCount | undefined, b: InForceCount): boolean {
  return a?.entriesInForce === b.entriesInForce && a.entries === b.entries;
}

/** The platform's instance list may be unavailable for a moment, so errors before the timeout are ignored. */
function rethrowIf(hasTimedOut: boolean): (error: unknown) => undefined {
  return error => {
    if (hasTimedOut) throw error;
    return undefined;
  };
}
