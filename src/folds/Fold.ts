/** What all folds of the log share: dropping repeated appends, and the rules of a deterministic reader. */
import type {LogBody, PlacedRecord} from '../records/index.js';

/**
 * Computes a state from the records of one stream. Every reader that has applied the same records has the same state,
 * so `applyRecord` reads no clock and no other input.
 */
export interface Fold {
  /**
   * Applies the next record of the stream.
   * @param placed - The record with its offset.
   */
  applyRecord(placed: PlacedRecord): void;
}

/** A fold whose state can be published again as snapshot records, so that old records may go. */
export interface SnapshotFold extends Fold {
  /**
   * Notes that records were dropped before they were read.
   * @param earliestOffset - Offset of the first record after those.
   */
  markIncomplete(earliestOffset: number): void;

  /** Tells whether the state covers every record of the stream that still matters. */
  isComplete(): boolean;

  /**
   * Returns the state as the bodies of snapshot records; none where there is nothing to keep.
   * @param coversOffset - Offset of the newest record that was applied.
   */
  createSnapshot(coversOffset: number): readonly LogBody[];
}

/** Recognises repeated appends: a writer's records stand in order, so a sequence that doesn't grow is a repeat. */
export class RepeatFilter {
  private readonly lastSequences = new Map<string, number>();

  /**
   * Notes a record and says whether it repeats an earlier one.
   * @param placed - The record.
   */
  isRepeat({record}: PlacedRecord): boolean {
    const last = this.lastSequences.get(record.writer) ?? 0;
    if (record.sequence <= last) return true;
    this.lastSequences.set(record.writer, record.sequence);
    return false;
  }

  /** Returns the last sequence of each writer, for a snapshot. */
  getLastSequences(): ReadonlyMap<string, number> {
    return this.lastSequences;
  }

  /**
   * Takes over the state of a snapshot.
   * @param lastSequences - The last sequence of each writer.
   */
  restore(lastSequences: ReadonlyMap<string, number>): void {
    this.lastSequences.clear();
    for (const [writer, sequence] of lastSequences) this.lastSequences.set(writer, sequence);
  }
}
