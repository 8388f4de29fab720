/** One attempt of a completion at one backend server, cancelled when the server stalls. */
import type {BackendServer} from '../blackboard/index.js';
import type {StallTimeouts} from '../controllers/retry/index.js';
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
  /** JSON body for the engine. */
  readonly body: string;
  /** Longest waits for the first token and for each further one. */
  readonly timeouts: StallTimeouts;
  readonly getNowMs: () => number;
}

/** An attempt ends when the engine ends its stream, when no token arrives within a timeout, or by `cancel`. */
export class CompletionAttempt {
  /** Time at which the attempt was created, just before it is sent, by the clock of `getNowMs`. */
  readonly sentAtMs: number;
  private readonly options: CompletionAttemptOptions;
  private readonly abortController = new AbortController();
  private stallTimer: NodeJS.Timeout | undefined;
  private firstTokenAtMs: number | undefined;
  private lastTokenAtMs: number | undefined;
  private tokenCount = 0;

  constructor(options: CompletionAttemptOptions) {
    this.options = options;
    this.sentAtMs = options.getNowMs();
  }

  /**
   * Runs the attempt until the engine ends the stream.
   * @param onEvent - Called with each event of the stream, in order.
   * @throws AttemptError if the attempt failed, stalled or was cancelled.
   */
  async run(onEvent: (event: EngineEvent) => void): Promise<void> {
    const {engine, server, format, requestId, attemptId, workspace, body, timeouts} = this.options;
    const {signal} = this.abortController;
    this.restartStallTimer(timeouts.firstTokenMs);
    try {
      const call = {server, format, requestId, attemptId, workspace, body, signal};
      for await (const event of engine.streamCompletion(call)) {
        if (signal.aborted) throw signal.reason;
        if (event.kind === 'token') this.recordToken();
        onEvent(event);
      }
    } catch (error) {
      throw signal.aborted ? signal.reason : error;
    } finally {
      clearTimeout(this.stallTimer);
      this.abortController.abort();
    }
  }

  /**
   * Cancels the attempt: its request to the backend server is aborted, which also cancels it at the engine.
   * @param reason - Error that `run` throws.
   */
  cancel(reason: AttemptError): void {
    this.abortController.abort(reason);
  }

  /** Returns the time from sending to the first token, in milliseconds; undefined until that token arrives. */
  getFirstTokenMs(): number | undefined {
    return this.firstTokenAtMs === undefined ? undefined : this.firstTokenAtMs - this.sentAtMs;
  }

  /** Returns the mean time between tokens in milliseconds; undefined until the second token arrives. */
  getInterTokenMs(): number | undefined {
    const {firstTokenAtMs, lastTokenAtMs, tokenCount} = this;
    if (firstTokenAtMs === undefined || lastTokenAtMs === undefined || tokenCount < 2) {
      return undefined;
    }
    return (lastTokenAtMs - firstTokenAtMs) / (tokenCount - 1);
  }

  private recordToken(): void {
    const nowMs = this.options.getNowMs();
    this.firstTokenAtMs ??= nowMs;
    this.lastTokenAtMs = nowMs;
    this.tokenCount += 1;
    this.restartStallTimer(this.options.timeouts.interTokenMs);
  }

  private restartStallTimer(timeoutMs: number): void {
    if (this.stallTimer) {
      // Refreshing the timer costs less than a new one for each token: if it fires early, Node re-arms it for the time
      // left. Only the first token needs a new timer, with the timeout between tokens.
      this.stallTimer.refresh();
      if (this.tokenCount > 1) return;
      clearTimeout(this.stallTimer);
    }
    this.stallTimer = setTimeout(() => this.cancel(this.createStallError(timeoutMs)), timeoutMs);
  }

  private createStallError(timeoutMs: number): AttemptError {
    const {instanceId} = this.options.server;
    return new AttemptError(`backend server ${instanceId} sent nothing for ${timeoutMs} ms`, {
      kind: 'backend-timeout',
      failure: 'silent',
    });
  }
}
