/** Assembles one response from the tokens of successive attempts: each token exactly once and in order. */

/** A new attempt and the point from which it continues the response. */
export interface AttemptStart {
  readonly attemptId: string;
  /** Tokens that were already forwarded to the caller; the attempt must continue after them. */
  readonly passedTokens: readonly string[];
}

/** Accepts tokens of the current attempt only; late events of earlier attempts are counted and dropped. */
export class ResponseAssembly {
  private readonly requestId: string;
  private readonly passedTokens: string[];
  private attempts = 0;
  private currentAttemptId: string | undefined;
  private finishReason: string | undefined;
  private droppedEvents = 0;

  /**
   * @param requestId - Prefix of the attempt ids.
   * @param passedTokens - Tokens that another entry forwarded to the caller before it handed the request over.
   */
  constructor(requestId: string, passedTokens: readonly string[] = []) {
    this.requestId = requestId;
    this.passedTokens = [...passedTokens];
  }

  /** Starts the next attempt and makes it the current one. */
  startAttempt(): AttemptStart {
    this.attempts += 1;
    this.currentAttemptId = `${this.requestId}.${this.attempts}`;
    return {attemptId: this.currentAttemptId, passedTokens: [...this.passedTokens]};
  }

  /**
   * Adds a token to the response.
   * @param attemptId - Attempt that produced the token.
   * @param token - Text of the token.
   * @returns Whether the token was accepted and must be forwarded to the caller.
   */
  addToken(attemptId: string, token: string): boolean {
    if (!this.isCurrent(attemptId)) return this.dropEvent();
    this.passedTokens.push(token);
    return true;
  }

  /**
   * Completes the response.
   * @param attemptId - Attempt that reported the end.
   * @param finishReason - The backend server's `finish_reason`, such as `stop`.
   * @returns Whether the response is now complete; false if the attempt isn't the current one.
   */
  finish(attemptId: string, finishReason: string): boolean {
    if (!this.isCurrent(attemptId)) return this.dropEvent();
    this.finishReason = finishReason;
    return true;
  }

  /** Abandons an attempt: its further events are dropped. Has no effect if it isn't the current one. */
  abandon(attemptId: string): void {
    if (attemptId === this.currentAttemptId) this.currentAttemptId = undefined;
  }

  /** Returns whether an attempt may still add to the response. */
  isCurrent(attemptId: string): boolean {
    return attemptId === this.currentAttemptId && this.finishReason === undefined;
  }

  /** Returns the tokens forwarded to the caller so far, in order. */
  getForwardedTokens(): readonly string[] {
    return this.passedTokens;
  }

  /** Returns the finish reason; undefined while the response is incomplete. */
  getFinishReason(): string | undefined {
    return this.finishReason;
  }

  /** Returns the number of attempts started here. */
  getAttempts(): number {
    return this.attempts;
  }

  /** Returns the number of tokens and finish events that were dropped because their attempt wasn't the current one. */
  getDroppedEvents(): number {
    return this.droppedEvents;
  }

  private dropEvent(): boolean {
    this.droppedEvents += 1;
    return false;
  }
}
