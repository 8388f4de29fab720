/** Puts an answer together from several tries: each token once and in order. */

/** A try and what it starts from. */
export interface AttemptStart {
  readonly attemptId: string;
  /** Tokens that the caller has already got; the try continues after them. */
  readonly passedTokens: readonly string[];
}

/** Takes tokens from the current try only; what comes late from an earlier one is dropped. */
export class AnswerAssembly {
  private readonly requestId: string;
  private readonly passedTokens: string[];
  private attempts = 0;
  private currentAttemptId: string | undefined;
  private finishReason: string | undefined;
  private droppedEvents = 0;

  /**
   * @param requestId - The request; its tries are named after it.
   * @param passedTokens - Tokens that another entry has already passed on.
   */
  constructor(requestId: string, passedTokens: readonly string[] = []) {
    this.requestId = requestId;
    this.passedTokens = [...passedTokens];
  }

  /** Starts the next try; an earlier one counts no more. */
  startAttempt(): AttemptStart {
    this.attempts += 1;
    this.currentAttemptId = `${this.requestId}.${this.attempts}`;
    return {attemptId: this.currentAttemptId, passedTokens: [...this.passedTokens]};
  }

  /**
   * Takes a token.
   * @param attemptId - Try that it comes from.
   * @param token - Text of the token.
   * @returns Whether the token belongs to the answer and is passed on.
   */
  addToken(attemptId: string, token: string): boolean {
    if (!this.isCurrent(attemptId)) return this.drop();
    this.passedTokens.push(token);
    return true;
  }

  /**
   * Ends the answer.
   * @param attemptId - Try that says so.
   * @param finishReason - Why the answer ended.
   * @returns Whether the answer ended by it.
   */
  finish(attemptId: string, finishReason: string): boolean {
    if (!this.isCurrent(attemptId)) return this.drop();
    this.finishReason = finishReason;
    return true;
  }

  /**
   * Gives a try up, so that nothing of it is taken any more.
   * @param attemptId - The try.
   */
  abandon(attemptId: string): void {
    if (attemptId === this.currentAttemptId) this.currentAttemptId = undefined;
  }

  /**
   * Returns whether a try may still add to the answer.
   * @param attemptId - The try.
   */
  isCurrent(attemptId: string): boolean {
    return attemptId === this.currentAttemptId && this.finishReason === undefined;
  }

  /** Returns the tokens passed on so far, in order. */
  getPassedTokens(): readonly string[] {
    return this.passedTokens;
  }

  /** Returns why the answer ended; undefined while it goes on. */
  getFinishReason(): string | undefined {
    return this.finishReason;
  }

  /** Returns how many tries were started. */
  getAttempts(): number {
    return this.attempts;
  }

  /** Returns how many events of earlier tries were dropped. */
  getDroppedEvents(): number {
    return this.droppedEvents;
  }

  private drop(): boolean {
    this.droppedEvents += 1;
    return false;
  }
}
