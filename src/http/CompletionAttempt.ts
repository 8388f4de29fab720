/** Runs one try of a completion at one backend server, under watch for silence. */
import type {BackendServer} from '../blackboard/index.js';
import type {SilenceTimeouts} from '../controllers/retry/index.js';
import {AttemptError, type EngineClient, type EngineEvent} from '../engine/index.js';
import type {CompletionFormat} from '../engine/index.js';

/** Options of a `CompletionAttempt`. */
export interface CompletionAttemptOptions {
  readonly engine: EngineClient;
  readonly server: BackendServer;
  readonly format: CompletionFormat;
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly body: string;
  readonly timeouts: SilenceTimeouts;
  readonly getNowMs: () => number;
}

/** One try; it ends by itself, by silence, or by `cancel`. */
export class CompletionAttempt {
  /** Instant at which the try was sent. */
  readonly sentAtMs: number;
  private readonly options: CompletionAttemptOptions;
  private readonly cancelling = new AbortController();
  private silenceTimer: NodeJS.Timeout | undefined;
  private firstTokenAtMs: number | undefined;
  private lastTokenAtMs: number | undefined;
  private tokenCount = 0;

  constructor(options: CompletionAttemptOptions) {
    this.options = options;
    this.sentAtMs = options.getNowMs();
  }

  /**
   * Runs the try until the engine ends the stream.
   * @param onEvent - Called with each event.
   * @throws AttemptError where the try ended otherwise.
   */
  async run(onEvent: (event: EngineEvent) => void): Promise<void> {
    const {engine, server, format, requestId, attemptId, workspace, body, timeouts} = this.options;
    const {signal} = this.cancelling;
    this.expectWithin(timeouts.firstTokenMs);
    try {
      const call = {server, format, requestId, attemptId, workspace, body, signal};
      for await (const event of engine.streamCompletion(call)) {
        if (signal.aborted) throw signal.reason;
        if (event.kind === 'token') this.noteToken();
        onEvent(event);
      }
    } catch (error) {
      throw signal.aborted ? signal.reason : error;
    } finally {
      clearTimeout(this.silenceTimer);
      this.cancelling.abort();
    }
  }

  /**
   * Ends the try: its connection is closed, which cancels it at the engine.
   * @param reason - Error that `run` throws.
   */
  cancel(reason: AttemptError): void {
    this.cancelling.abort(reason);
  }

  /** Returns the time from sending to the first token; undefined before it. */
  getFirstTokenMs(): number | undefined {
    return this.firstTokenAtMs === undefined ? undefined : this.firstTokenAtMs - this.sentAtMs;
  }

  /** Returns the mean time between tokens; undefined before the second. */
  getInterTokenMs(): number | undefined {
    const {firstTokenAtMs, lastTokenAtMs, tokenCount} = this;
    if (firstTokenAtMs === undefined || lastTokenAtMs === undefined || tokenCount < 2) {
      return undefined;
    }
    return (lastTokenAtMs - firstTokenAtMs) / (tokenCount - 1);
  }

  private noteToken(): void {
    const nowMs = this.options.getNowMs();
    this.firstTokenAtMs ??= nowMs;
    this.lastTokenAtMs = nowMs;
    this.tokenCount += 1;
    this.expectWithin(this.options.timeouts.interTokenMs);
  }

  private expectWithin(timeoutMs: number): void {
    if (this.silenceTimer) {
      // A timer that fires early looks at the last token and waits on; renewing it costs less than a new one a token.
      this.silenceTimer.refresh();
      if (this.tokenCount > 1) return;
      clearTimeout(this.silenceTimer);
    }
    this.silenceTimer = setTimeout(() => this.cancel(this.createSilence(timeoutMs)), timeoutMs);
  }

  private createSilence(timeoutMs: number): AttemptError {
    const {instanceId} = this.options.server;
    return new AttemptError(`backend server ${instanceId} was silent for ${timeoutMs} ms`, {
      kind: 'backend-timeout',
      failure: 'silent',
    });
  }
}
