/** Runs one completion to its end, with retries at other backend servers. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendServer} from '../blackboard/index.js';
import {ResponseAssembly, decideRetry, getStallTimeouts} from '../controllers/retry/index.js';
import {
  AttemptError,
  createEngineBody,
  getMaxTokens,
  toAttemptError,
  type EngineEvent,
  type EngineUsage,
} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import {CompletionAttempt} from './CompletionAttempt.js';
import {CompletionDrain, type RunningAttempt} from './CompletionDrain.js';
import {CompletionObserver} from './CompletionObserver.js';
import type {AcceptedCompletion, CompletionEnd, CompletionResult} from './CompletionTypes.js';
import type {HandlerContext} from './RequestContext.js';
import {ServerChooser, type ChosenServer} from './ServerChooser.js';

/**
 * Delivers each token exactly once and in order; after a failed attempt, the next one resumes from the tokens delivered
 * so far.
 */
export class CompletionRun {
  /** Completion that this run executes. */
  readonly accepted: AcceptedCompletion;
  private readonly context: HandlerContext;
  private readonly assembly: ResponseAssembly;
  private readonly chooser: ServerChooser;
  private readonly observer: CompletionObserver;
  private usage: EngineUsage = {promptTokens: 0, cachedTokens: 0};
  private readonly drain: CompletionDrain;
  private currentAttempt: RunningAttempt | undefined;
  private pendingHandover: Promise<string | undefined> | undefined;
  private failedAttempts = 0;
  private stalledAttempts = 0;

  /**
   * @param context - Shared parts of the entry.
   * @param accepted - Completion to run; its `passedTokens` are not delivered again.
   */
  constructor(context: HandlerContext, accepted: AcceptedCompletion) {
    this.context = context;
    this.accepted = accepted;
    this.assembly = new ResponseAssembly(accepted.requestId, accepted.passedTokens);
    this.chooser = new ServerChooser(context, accepted);
    this.observer = new CompletionObserver(context, accepted);
    this.drain = new CompletionDrain(context, accepted, this.chooser);
  }

  /**
   * Runs the completion until it is answered, handed over to another entry or failed. To be called once.
   * @param onToken - Called with each new token, in order.
   * @throws ServingError if the completion fails for good, or AttemptError if the caller disconnects.
   */
  async run(onToken: (token: string) => void): Promise<CompletionEnd> {
    const {context, accepted} = this;
    context.runs.addRun(this);
    context.retryBudget.recordFirstAttempt(context.getNowMs());
    const cancel = () => this.currentAttempt?.attempt.cancel(createDisconnectError());
    accepted.signal.addEventListener('abort', cancel, {once: true});
    const remainingMs = Math.max(0, accepted.deadlineAtMs - context.getNowMs());
    const deadline = setTimeout(
      () => this.currentAttempt?.attempt.cancel(createDeadlineError()),
      remainingMs,
    );
    try {
      while (!this.isFinished()) {
        const location = await this.pendingHandover;
        if (location !== undefined) return {kind: 'moved', location};
        await this.runNext(onToken);
      }
      return {kind: 'answered', result: this.getResult()};
    } finally {
      clearTimeout(deadline);
      this.drain.close();
      accepted.signal.removeEventListener('abort', cancel);
      context.runs.removeRun(this);
    }
  }

  /** Returns the tokens delivered so far, including those of an entry that handed the request over. */
  getForwardedTokens(): readonly string[] {
    return this.assembly.getForwardedTokens();
  }

  /** Returns the largest number of tokens still to come; undefined if the caller set no limit. */
  getRemainingTokens(): number | undefined {
    const maxTokens = getMaxTokens(this.accepted.completion);
    return maxTokens === undefined ? undefined : maxTokens - this.getForwardedTokens().length;
  }

  /**
   * Stops the running attempt and hands the request over to another entry; if none accepts it, the run continues here.
   * @param send - Sends the request and returns the URL at which its caller continues; undefined if no entry accepted
   * it.
   */
  async handOver(send: () => Promise<string | undefined>): Promise<void> {
    this.currentAttempt?.attempt.cancel(
      new AttemptError('this entry is stopping', {kind: 'stopping', failure: 'moved'}),
    );
    this.pendingHandover = send().catch(() => undefined);
    await this.pendingHandover;
  }

  /** Moves the running attempt to another backend server if its own drains and it isn't expected to end in time. */
  checkDrain(): void {
    if (!this.currentAttempt) return;
    this.drain.moveIfDraining(this.currentAttempt, {
      passedTokens: this.getForwardedTokens().length,
      remainingTokens: this.getRemainingTokens(),
    });
  }

  private isFinished(): boolean {
    if (this.assembly.getFinishReason() !== undefined) return true;
    const remaining = this.getRemainingTokens();
    return remaining !== undefined && remaining <= 0;
  }

  private getResult(): CompletionResult {
    const finishReason = this.assembly.getFinishReason() ?? 'length';
    return {finishReason, usage: this.usage, tokens: this.getForwardedTokens()};
  }

  private async runNext(onToken: (token: string) => void): Promise<void> {
    const wasSent = this.assembly.getAttempts() > 0;
    const chosen = await this.chooser.choose(this.drain.getCacheTarget(), wasSent);
    this.drain.clearCacheTarget();
    const error = await this.runAttempt(chosen, onToken);
    if (!error || this.isFinished()) return;
    if (this.accepted.signal.aborted) throw error;
    await this.prepareRetry(chosen.server, error);
  }

  private async runAttempt(
    {server, expectedFirstTokenMs, release}: ChosenServer,
    onToken: (token: string) => void,
  ): Promise<AttemptError | undefined> {
    const {context, accepted, assembly, observer} = this;
    const {requestId, completion, requestClass, workspace} = accepted;
    const {attemptId, passedTokens} = assembly.startAttempt();
    const attempt = new CompletionAttempt({
      engine: context.engine,
      server,
      format: completion.format,
      requestId,
      attemptId,
      workspace,
      body: createEngineBody(completion, passedTokens, requestClass.priority),
      timeouts: getStallTimeouts({
        expectedFirstTokenMs,
        firstTokenTargetMs: requestClass.firstTokenTargetMs,
        interTokenTargetMs: requestClass.interTokenTargetMs,
        earlierStalls: this.stalledAttempts,
      }),
      getNowMs: context.getNowMs,
    });
    this.currentAttempt = {attempt, server};
    context.runningAttempts.addAttempt(attemptId, reason => attempt.cancel(reason));
    const observed = observer.startAttempt({
      attempt,
      attemptId,
      server,
      expectedFirstTokenMs,
      release,
    });
    try {
      await attempt.run(event => {
        if (event.kind === 'token') observed.recordToken();
        this.applyEvent(attemptId, passedTokens.length, event, onToken);
      });
      assembly.finish(attemptId, 'stop');
      observed.end(undefined);
      return undefined;
    } catch (cause) {
      const error = toAttemptError(cause);
      observed.end(this.isFinished() ? undefined : error);
      return error;
    } finally {
      assembly.abandon(attemptId);
      context.runningAttempts.removeAttempt(attemptId);
      this.currentAttempt = undefined;
      this.drain.recordAttemptEnd();
    }
  }

  private applyEvent(
    attemptId: string,
    resumedTokens: number,
    event: EngineEvent,
    onToken: (token: string) => void,
  ): void {
    if (event.kind === 'token') {
      if (this.assembly.addToken(attemptId, event.text)) onToken(event.text);
    } else if (event.kind === 'finished') {
      this.assembly.finish(attemptId, event.finishReason);
    } else {
      const {promptTokens, cachedTokens} = event.usage;
      this.usage = {promptTokens: promptTokens - resumedTokens, cachedTokens};
      this.observer.addUsage(event.usage, resumedTokens > 0);
    }
  }

  private async prepareRetry(server: BackendServer, error: AttemptError): Promise<void> {
    const {context, accepted} = this;
    const nowMs = context.getNowMs();
    if (error.failure !== 'moved') this.failedAttempts += 1;
    if (error.failure === 'silent') this.stalledAttempts += 1;
    await this.observer.recordFailure(server, error);
    const decision = decideRetry(
      {
        failure: error.failure,
        isIdempotent: true,
        attempts: this.failedAttempts,
        deadlineAtMs: accepted.deadlineAtMs,
        hasBudget: context.retryBudget.canRetry(nowMs),
      },
      nowMs,
      context.random,
    );
    if (decision.kind === 'fail') {
      if (error.failure === 'rejected') throw error;
      throw new ServingError(error.message, {kind: decision.errorKind, run: decision.run});
    }
    if (decision.usesBudget) context.retryBudget.recordRetry(nowMs);
    this.chooser.recordFailure(server, error.failure);
    if (decision.delayMs > 0) await sleep(decision.delayMs);
  }
}

function createDeadlineError(): AttemptError {
  return new AttemptError('the deadline of the request has passed', {
    kind: 'backend-timeout',
    failure: 'silent',
  });
}

function createDisconnectError(): AttemptError {
  return new AttemptError('the caller disconnected', {kind: 'backend-failed', failure: 'moved'});
}
