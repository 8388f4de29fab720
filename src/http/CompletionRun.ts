/** Runs one completion to its end, over as many backend servers as it takes. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendServer} from '../blackboard/index.js';
import {AnswerAssembly, decideRetry, getSilenceTimeouts} from '../controllers/retry/index.js';
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

/** Passes on each token once and in order; a broken try is resumed elsewhere from the passed tokens. */
export class CompletionRun {
  /** The request. */
  readonly accepted: AcceptedCompletion;
  private readonly context: HandlerContext;
  private readonly assembly: AnswerAssembly;
  private readonly chooser: ServerChooser;
  private readonly observer: CompletionObserver;
  private usage: EngineUsage = {promptTokens: 0, cachedTokens: 0};
  private readonly drain: CompletionDrain;
  private current: RunningAttempt | undefined;
  private handing: Promise<string | undefined> | undefined;
  private failures = 0;
  private silences = 0;

  /**
   * @param context - Parts of the daemon.
   * @param accepted - The request.
   */
  constructor(context: HandlerContext, accepted: AcceptedCompletion) {
    this.context = context;
    this.accepted = accepted;
    this.assembly = new AnswerAssembly(accepted.requestId, accepted.passedTokens);
    this.chooser = new ServerChooser(context, accepted);
    this.observer = new CompletionObserver(context, accepted);
    this.drain = new CompletionDrain(context, accepted, this.chooser);
  }

  /**
   * Runs the completion.
   * @param onToken - Called with each token.
   * @throws ServingError where no try could end it.
   */
  async run(onToken: (token: string) => void): Promise<CompletionEnd> {
    const {context, accepted} = this;
    context.runs.addRun(this);
    context.retryBudget.addFirstTry(context.getNowMs());
    const cancel = () => this.current?.attempt.cancel(createGoneError());
    accepted.signal.addEventListener('abort', cancel, {once: true});
    const leftMs = Math.max(0, accepted.deadlineAtMs - context.getNowMs());
    const deadline = setTimeout(() => this.current?.attempt.cancel(createLateError()), leftMs);
    try {
      while (!this.isFinished()) {
        const location = await this.handing;
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

  /** Returns the tokens passed on so far. */
  getPassedTokens(): readonly string[] {
    return this.assembly.getPassedTokens();
  }

  /** Returns the tokens that may still come; undefined where the caller named no limit. */
  getRemainingTokens(): number | undefined {
    const maxTokens = getMaxTokens(this.accepted.completion);
    return maxTokens === undefined ? undefined : maxTokens - this.getPassedTokens().length;
  }

  /**
   * Stops the running try and hands the request over; it goes on here where nobody takes it.
   * @param send - Hands the request to another entry and returns where its caller goes on.
   */
  async handOver(send: () => Promise<string | undefined>): Promise<void> {
    this.current?.attempt.cancel(
      new AttemptError('this entry stops', {kind: 'stopping', failure: 'moved'}),
    );
    this.handing = send().catch(() => undefined);
    await this.handing;
  }

  /** Moves the running try away where its backend server leaves. */
  checkDrain(): void {
    if (!this.current) return;
    this.drain.check(this.current, {
      passedTokens: this.getPassedTokens().length,
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
    return {finishReason, usage: this.usage, tokens: this.getPassedTokens()};
  }

  private async runNext(onToken: (token: string) => void): Promise<void> {
    const wasSent = this.assembly.getAttempts() > 0;
    const chosen = await this.chooser.choose(this.drain.getPreferred(), wasSent);
    this.drain.removePreferred();
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
      timeouts: getSilenceTimeouts({
        expectedFirstTokenMs,
        firstTokenTargetMs: requestClass.firstTokenTargetMs,
        interTokenTargetMs: requestClass.interTokenTargetMs,
        earlierSilences: this.silences,
      }),
      getNowMs: context.getNowMs,
    });
    this.current = {attempt, server};
    context.tries.addTry(attemptId, reason => attempt.cancel(reason));
    const observed = observer.startAttempt({
      attempt,
      attemptId,
      server,
      expectedFirstTokenMs,
      release,
    });
    try {
      await attempt.run(event => {
        if (event.kind === 'token') observed.noteToken();
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
      context.tries.removeTry(attemptId);
      this.current = undefined;
      this.drain.noteEnd();
    }
  }

  private applyEvent(
    attemptId: string,
    passedBefore: number,
    event: EngineEvent,
    onToken: (token: string) => void,
  ): void {
    if (event.kind === 'token') {
      if (this.assembly.addToken(attemptId, event.text)) onToken(event.text);
    } else if (event.kind === 'finished') {
      this.assembly.finish(attemptId, event.finishReason);
    } else {
      const {promptTokens, cachedTokens} = event.usage;
      this.usage = {promptTokens: promptTokens - passedBefore, cachedTokens};
      this.observer.addUsage(event.usage, passedBefore > 0);
    }
  }

  private async prepareRetry(server: BackendServer, error: AttemptError): Promise<void> {
    const {context, accepted} = this;
    const nowMs = context.getNowMs();
    if (error.failure !== 'moved') this.failures += 1;
    if (error.failure === 'silent') this.silences += 1;
    await this.observer.noteFailure(server, error);
    const decision = decideRetry(
      {
        failure: error.failure,
        isIdempotent: true,
        attempts: this.failures,
        deadlineAtMs: accepted.deadlineAtMs,
        hasBudget: context.retryBudget.hasRetry(nowMs),
      },
      nowMs,
      context.random,
    );
    if (decision.kind === 'fail') {
      if (error.failure === 'rejected') throw error;
      throw new ServingError(error.message, {kind: decision.errorKind, run: decision.run});
    }
    if (decision.usesBudget) context.retryBudget.addRetry(nowMs);
    this.chooser.noteFailure(server, error.failure);
    if (decision.delayMs > 0) await sleep(decision.delayMs);
  }
}

function createLateError(): AttemptError {
  return new AttemptError('the deadline of the request has passed', {
    kind: 'backend-timeout',
    failure: 'silent',
  });
}

function createGoneError(): AttemptError {
  return new AttemptError('the caller has gone', {kind: 'backend-failed', failure: 'moved'});
}
