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

/** A fold that can take over the state of a daemon that has read further. */
export interface RelayedFold extends SnapshotFold {
  /**
   * Takes over another daemon's state.
   * @param body - Its snapshot; one of another stream is left.
   */
  restoreSnapshot(body: LogBody): void;
}

/** The newest record of a writer. */
export interface WriterMark {
  readonly writer: string;
  readonly sequence: number;
  readonly offset: number;
}

/** Options of a `RepeatFilter`. */
export interface RepeatFilterOptions {
  /** Records after which a writer that wrote none of them is forgotten; every reader of a deployment uses the same. */
  readonly keepRecords: number;
}

/** Default of `RepeatFilterOptions.keepRecords`: at the log's highest rate still minutes, far longer than an append is repeated. */
export const DEFAULT_KEEP_RECORDS = 50_000;

/**
 * Recognises repeated appends: a writer's records stand in order, so a sequence that doesn't grow is a repeat. Writers
 * are forgotten by offset, which every reader sees alike, and a mark keeps its offset through a snapshot.
 */
export class RepeatFilter {
  private readonly keepRecords: number;
  /** Marks in the order of their offsets, so the old ones come first. */
  private readonly marks = new Map<string, WriterMark>();

  constructor(options: RepeatFilterOptions = {keepRecords: DEFAULT_KEEP_RECORDS}) {
    this.keepRecords = options.keepRecords;
  }

  /**
   * Notes a record and says whether it repeats an earlier one.
   * @param placed - The record.
   */
  isRepeat({record, offset}: PlacedRecord): boolean {
    this.forgetOldWriters(offset);
    const {writer, sequence} = record;
    const last = this.marks.get(writer);
    if (last && sequence <= last.sequence) return true;
    this.marks.delete(writer);
    this.marks.set(writer, {writer, sequence, offset});
    return false;
  }

  /** Returns the newest record of each writer, the oldest first, for a snapshot. */
  getMarks(): readonly WriterMark[] {
    return [...this.marks.values()];
  }

  /**
   * Takes over the state of a snapshot.
   * @param marks - The newest record of each writer, the oldest first.
   */
  restore(marks: readonly WriterMark[]): void {
    this.marks.clear();
    for (const mark of marks) this.marks.set(mark.writer, mark);
  }

  private forgetOldWriters(offset: number): void {
    for (const mark of this.marks.values()) {
      if (mark.offset >= offset - this.keepRecords) return;
      this.marks.delete(mark.writer);
    }
  }
}
