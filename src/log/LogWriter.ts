/** Appends records with retries, and confirms each by reading it back from the stream. */
import {ServingError} from '../errors/index.js';
import type {LogAccess} from './LogClient.js';
import {encodeRecord, type LogBody, type LogStream, type PlacedRecord} from '../records/index.js';
import {systemSleep, type Sleep} from './Sleep.js';

/** Options of a `LogWriter`. */
export interface LogWriterOptions {
  readonly stream: LogStream;
  readonly log: LogAccess;
  /** Id of this process; unique among all processes that ever write to the stream. */
  readonly writer: string;
  /** How long a record may take to be read back before `propose` rejects. */
  readonly timeoutMs: number;
  /** Pause before the first retry of an append, 100 ms if undefined; doubles with each retry, up to 1 s. */
  readonly retryDelayMs?: number;
  /** Replaces the system timer in tests. */
  readonly sleep?: Sleep;
}

const DEFAULT_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** The batch that was sent and not read back yet. */
interface PendingProposal {
  /** Sequence number of the batch's last record. */
  readonly sequence: number;
  readonly resolve: (placed: PlacedRecord) => void;
}

/**
 * Appends one batch at a time: the next is sent only after the previous one was read back or timed out. So a writer's
 * sequence numbers increase within the stream, and readers may drop a record whose number doesn't exceed the last.
 */
export class LogWriter {
  private readonly options: LogWriterOptions;
  private nextSequence = 1;
  private pending: PendingProposal | undefined;
  private queue: Promise<unknown> = Promise.resolve();

  constructor(options: LogWriterOptions) {
    this.options = options;
  }

  /**
   * Appends a record and waits until it has been read back.
   * @returns The record with its offset; the stream's fold decides whether it is accepted.
   * @throws ServingError of kind `log-unavailable` if it isn't read back in time; it may still be in the log, or get
   *     there later.
   */
  propose(body: LogBody): Promise<PlacedRecord> {
    return this.proposeAll([body]);
  }

  /**
   * Appends records as one batch and waits until the last one has been read back.
   * @param bodies - Bodies of the records; at least one.
   * @returns The last record with its offset.
   * @throws ServingError of kind `log-unavailable` if it isn't read back in time; the records may still be in the log,
   *     or get there later.
   */
  proposeAll(bodies: readonly LogBody[]): Promise<PlacedRecord> {
    const proposal = this.queue.then(() => this.appendAndConfirm(bodies));
    this.queue = proposal.catch(() => undefined);
    return proposal;
  }

  /** Confirms the pending proposal if the record is its last one. Must be called for each record, after the fold. */
  observe(placed: PlacedRecord): void {
    const {pending} = this;
    if (!pending || placed.record.writer !== this.options.writer) return;
    if (placed.record.sequence === pending.sequence) pending.resolve(placed);
  }

  private async appendAndConfirm(bodies: readonly LogBody[]): Promise<PlacedRecord> {
    const {stream, writer, timeoutMs} = this.options;
    const payloads = bodies.map(body =>
      encodeRecord({writer, sequence: this.nextSequence++, body}),
    );
    const sequence = this.nextSequence - 1;
    const finished = new AbortController();
    const readBack = new Promise<PlacedRecord>(resolve => {
      this.pending = {sequence, resolve};
    });
    try {
      void this.appendWithRetries(payloads, finished.signal);
      return await Promise.race([readBack, this.rejectAfter(timeoutMs, stream, finished.signal)]);
    } finally {
      finished.abort();
      this.pending = undefined;
    }
  }

  private async appendWithRetries(payloads: readonly string[], signal: AbortSignal): Promise<void> {
    const {stream, log, retryDelayMs = DEFAULT_RETRY_DELAY_MS, sleep = systemSleep} = this.options;
    let delayMs = retryDelayMs;
    while (!signal.aborted) {
      try {
        await log.append(stream, payloads);
        return;
      } catch {
        await sleep(delayMs, signal);
        delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
      }
    }
  }

  private async rejectAfter(
    timeoutMs: number,
    stream: LogStream,
    signal: AbortSignal,
  ): Promise<never> {
    const {sleep = systemSleep} = this.options;
    await sleep(timeoutMs, signal);
    throw new ServingError(`record of stream ${stream} was not read back within ${timeoutMs} ms`, {
      kind: 'log-unavailable',
    });
  }
}
