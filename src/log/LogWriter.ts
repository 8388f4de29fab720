/** Writes records so that repeated appends are harmless and verdicts come from reading back. */
import {ServingError} from '../errors/index.js';
import type {LogAccess} from './LogClient.js';
import {encodeRecord, type LogBody, type LogStream, type PlacedRecord} from '../records/index.js';
import {systemSleep, type Sleep} from './Sleep.js';

/** Options of a `LogWriter`. */
export interface LogWriterOptions {
  readonly stream: LogStream;
  readonly log: LogAccess;
  /** Incarnation of this process; unique among all that ever wrote to the stream. */
  readonly writer: string;
  /** Time after which a proposal that was not read back is given up. */
  readonly timeoutMs: number;
  readonly retryDelayMs?: number;
  /** Waits for a time; the system's timer where absent. */
  readonly sleep?: Sleep;
}

const DEFAULT_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

interface PendingProposal {
  readonly sequence: number;
  readonly resolve: (placed: PlacedRecord) => void;
}

/**
 * Proposes records one at a time. Since the next record goes out only after the last one was read back or given up,
 * a writer's sequence numbers stand in the log in order, and readers may drop any that doesn't exceed the last.
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
   * Appends a record and waits until it was read back.
   * @param body - What the record says.
   * @returns The record with its offset; whether it holds is the fold's to say.
   * @throws ServingError of kind `log-unavailable` where it wasn't read back in time; it may stand in the log all the same.
   */
  propose(body: LogBody): Promise<PlacedRecord> {
    return this.proposeAll([body]);
  }

  /**
   * Appends records as one batch and waits until the last one was read back.
   * @param bodies - What the records say; at least one.
   * @returns The last record with its offset.
   * @throws ServingError of kind `log-unavailable` where it wasn't read back in time; they may stand in the log all the same.
   */
  proposeAll(bodies: readonly LogBody[]): Promise<PlacedRecord> {
    const proposal = this.queue.then(() => this.proposeNext(bodies));
    this.queue = proposal.catch(() => undefined);
    return proposal;
  }

  /** Tells the writer of a record that was read; called by the tailer for each one, after its fold. */
  observe(placed: PlacedRecord): void {
    const {pending} = this;
    if (!pending || placed.record.writer !== this.options.writer) return;
    if (placed.record.sequence === pending.sequence) pending.resolve(placed);
  }

  private async proposeNext(bodies: readonly LogBody[]): Promise<PlacedRecord> {
    const {stream, writer, timeoutMs} = this.options;
    const payloads = bodies.map(body =>
      encodeRecord({writer, sequence: this.nextSequence++, body}),
    );
    const sequence = this.nextSequence - 1;
    const giveUp = new AbortController();
    const readBack = new Promise<PlacedRecord>(resolve => {
      this.pending = {sequence, resolve};
    });
    try {
      void this.appendUntilStopped(payloads, giveUp.signal);
      return await Promise.race([readBack, this.failAfter(timeoutMs, stream, giveUp.signal)]);
    } finally {
      giveUp.abort();
      this.pending = undefined;
    }
  }

  private async appendUntilStopped(
    payloads: readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
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

  private async failAfter(
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
