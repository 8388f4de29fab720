/** Waits until a configuration revision is in force on all entries. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {EntryStatus} from './DaemonsClient.js';

/** Which entries have a revision in force. */
export interface InForceCount {
  readonly entriesInForce: number;
  readonly entries: number;
  /** Entries that lag or gave no answer. */
  readonly missing: readonly EntryStatus[];
}

/** Options of `waitUntilInForce`. */
export interface InForceWaitOptions {
  readonly revision: number;
  readonly getEntryStatuses: () => Promise<readonly EntryStatus[]>;
  readonly getNowMs: () => number;
  readonly timeoutMs: number;
  /** Called with each count that differs from the one before. */
  readonly onCount: (count: InForceCount) => void;
}

const POLL_MS = 200;

/** Counts the entries that have a revision or a later one in force. */
export function countInForce(revision: number, statuses: readonly EntryStatus[]): InForceCount {
  const missing = statuses.filter(status => (status.configurationRevision ?? -1) < revision);
  return {entriesInForce: statuses.length - missing.length, entries: statuses.length, missing};
}

/**
 * Asks the entries until all have the revision in force or the time is over.
 * @param options - The revision, and whom to ask.
 * @returns The last count.
 */
export async function waitUntilInForce(options: InForceWaitOptions): Promise<InForceCount> {
  const {revision, getEntryStatuses, getNowMs, timeoutMs, onCount} = options;
  const giveUpAtMs = getNowMs() + timeoutMs;
  let last: InForceCount | undefined;
  for (;;) {
    const isLate = getNowMs() >= giveUpAtMs;
    const statuses = await getEntryStatuses().catch(rethrowWhen(isLate));
    const count = statuses && countInForce(revision, statuses);
    if (count && !isSameCount(last, count)) onCount(count);
    last = count ?? last;
    const isEverywhere = count && count.entries > 0 && count.missing.length === 0;
    if (count && (isEverywhere || isLate)) return count;
    await sleep(POLL_MS);
  }
}

function isSameCount(a: InForceCount | undefined, b: InForceCount): boolean {
  return a?.entriesInForce === b.entriesInForce && a.entries === b.entries;
}

/** The platform's list may be out for a moment; its error counts only once the time is over. */
function rethrowWhen(isLate: boolean): (error: unknown) => undefined {
  return error => {
    if (isLate) throw error;
    return undefined;
  };
}
