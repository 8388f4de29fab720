/** Interfaces of the folds, which compute states from streams of the log, and a filter for duplicate appends. */
import type {LogBody, PlacedRecord} from '../records/index.js';

/**
 * Computes a state from the records of one stream. Readers that have applied the same records must have the same state,
 * so `applyRecord` may not read a clock or any other input.
 */
export interface Fold {
  /** Applies the next record of the stream. */
  applyRecord(placed: PlacedRecord): void;
}

/** A fold whose state can be written back to its stream as snapshots, so that retention may drop older records. */
export interface SnapshotFold extends Fold {
  /**
   * Marks the state incomplete: the log dropped records before they were read.
   * @param earliestOffset - Offset of the first record after the gap.
   */
  markIncomplete(earliestOffset: number): void;

  /** Returns whether the state covers every record of the stream that still has an effect. */
  isComplete(): boolean;

  /**
   * Returns the state as the bodies of snapshot records; an empty list if there is nothing to keep.
   * @param coversOffset - Offset of the newest record that was applied.
   */
  createSnapshot(coversOffset: number): readonly LogBody[];
}

/** A fold that can adopt the state of another daemon that has read further. */
export interface RelayedFold extends SnapshotFold {
  /**
   * Replaces the state by another daemon's.
   * @param body - The other daemon's snapshot; a body of another kind is ignored.
   */
  restoreSnapshot(body: LogBody): void;
}

/** Position of a writer's newest record. */
export interface WriterPosition {
  readonly writer: string;
  readonly sequence: number;
  readonly offset: number;
}

/** Options of a `DuplicateFilter`. */
export interface DuplicateFilterOptions {
  /**
   * A writer is forgotten after this many records of the stream without one of its own. Must be the same in every
   * reader of a deployment.
   */
  readonly keepRecords: number;
}

/**
 * Default of `DuplicateFilterOptions.keepRecords`. At the log's highest append rate this many records span minutes, far
 * longer than a writer keeps retrying an append.
 */
export const DEFAULT_KEEP_RECORDS = 50_000;

/**
 * Detects duplicate appends. A writer's records are in the log in order of their sequence numbers, so a record whose
 * number doesn't exceed the writer's last one is a duplicate. Writers are forgotten by offset, and snapshots preserve
 * these offsets, so every reader forgets the same writers.
 */
export class DuplicateFilter {
  private readonly keepRecords: number;
  /** Positions by writer, in order of their offsets. */
  private readonly positions = new Map<string, WriterPosition>();

  constructor(options: DuplicateFilterOptions = {keepRecords: DEFAULT_KEEP_RECORDS}) {
    this.keepRecords = options.keepRecords;
  }

  /** Returns whether a record is a duplicate; if not, records it as the newest of its writer. */
  isDuplicate({record, offset}: PlacedRecord): boolean {
    this.forgetOldWriters(offset);
    const {writer, sequence} = record;
    const lastPosition = this.positions.get(writer);
    if (lastPosition && sequence <= lastPosition.sequence) return true;
    this.positions.delete(writer);
    this.positions.set(writer, {writer, sequence, offset});
    return false;
  }

  /** Returns the position of each remembered writer in order of offset, for a snapshot. */
  getPositions(): readonly WriterPosition[] {
    return [...this.positions.values()];
  }

  /**
   * Replaces the state by that of a snapshot.
   * @param positions - Position of each remembered writer, in order of offset.
   */
  restore(positions: readonly WriterPosition[]): void {
    this.positions.clear();
    for (const position of positions) this.positions.set(position.writer, position);
  }

  private forgetOldWriters(offset: number): void {
    for (const position of this.positions.values()) {
      if (position.offset >= offset - this.keepRecords) return;
      this.positions.delete(position.writer);
    }
  }
}
