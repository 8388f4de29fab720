/** Limits the time that the process spends in one turn of the event loop on bodies that arrive in very many chunks. */

/** A connection whose reading can be stopped for a while. */
export interface PacedReader {
  pause(): void;
  resume(): void;
}

/** Chunks that are handled in one turn of the event loop: about 10 ms of work on a fast core. */
const MAX_CHUNKS_PER_TURN = 4_096;

/**
 * Stops reading all bodies once a turn of the event loop has handled very many chunks, and resumes
 * them one after the other, each in a turn of its own. Requests that arrive in few chunks are read in between.
 */
export class ReadPacer<Reader extends PacedReader> {
  private readonly scheduleTurn: (callback: () => void) => void;
  private readonly waiting = new Set<Reader>();
  private chunks = 0;
  private isTurnScheduled = false;

  /** @param scheduleTurn - Calls back in the next turn of the event loop. */
  constructor(scheduleTurn: (callback: () => void) => void) {
    this.scheduleTurn = scheduleTurn;
  }

  /**
   * Counts a chunk.
   * @param reader - Connection on which it arrived.
   * @param getReaders - Returns all connections on which bodies arrive; called once per turn, after too many chunks.
   */
  addChunk(reader: Reader, getReaders: () => Iterable<Reader>): void {
    this.chunks += 1;
    if (!this.isTurnScheduled) this.schedule();
    if (this.chunks < MAX_CHUNKS_PER_TURN) return;
    this.stop(reader);
    if (this.chunks > MAX_CHUNKS_PER_TURN) return;
    for (const other of getReaders()) this.stop(other);
  }

  /** Returns whether a connection must not be read in this turn. */
  isWaiting(reader: Reader): boolean {
    return this.waiting.has(reader);
  }

  /** Removes a connection that is closed or won't be read on, without resuming it. */
  remove(reader: Reader): void {
    this.waiting.delete(reader);
  }

  private stop(reader: Reader): void {
    if (this.waiting.has(reader)) return;
    this.waiting.add(reader);
    reader.pause();
  }

  private schedule(): void {
    this.isTurnScheduled = true;
    this.scheduleTurn(() => this.beginTurn());
  }

  private beginTurn(): void {
    this.chunks = 0;
    this.isTurnScheduled = false;
    for (const reader of this.waiting) {
      this.waiting.delete(reader);
      reader.resume();
      break;
    }
    if (this.waiting.size > 0) this.schedule();
  }
}
