/** Sends one call to backend servers of a plain service and observes how they answer. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {IncomingHttpHeaders} from 'node:http';
import type {BackendServer} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {getLoadBand, getPrefillBand} from '../controllers/moves/index.js';
import {getFingerprint} from '../controllers/quarantine/index.js';
import {decideRetry, type AttemptFailureKind} from '../controllers/retry/index.js';
import {AttemptError, isUnconnected, type PlainAnswer} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';
import {ServerChooser, type ChosenServer} from './ServerChooser.js';
import {noteServerFailure} from './serverFailures.js';

/** A call to a plain service as it is sent to a backend server. */
export interface PlainCall {
  readonly caller: CallerRequest;
  readonly service: Service;
  readonly method: string;
  readonly path: string;
  /** Prefix of the route that the path belongs to. */
  readonly route: string;
  readonly body: Buffer;
  /** Whether it may be sent again. */
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
}

/** Class of calls to plain services. */
export const PLAIN_CLASS = 'plain';
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'user-agent'] as const;
/** Part of the request timeout that one try of an idempotent call may be silent. */
const SILENCE_DIVISOR = 4;
const FIRST_SERVER_ERROR = 500;
/** Answers of gateways and of servers that take no work; an idempotent call is tried elsewhere. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Sends one call, once or over several tries. */
export class PlainSender {
  private readonly context: HandlerContext;
  private readonly call: PlainCall;
  private readonly chooser: ServerChooser;
  private readonly fingerprint: string;
  private attempts = 0;
  private moves = 0;

  constructor(context: HandlerContext, call: PlainCall) {
    this.context = context;
    this.call = call;
    const {caller, method, path, body, service, deadlineAtMs} = call;
    const workspace = caller.workspace.name;
    this.fingerprint = getFingerprint({workspace, method, path, body});
    this.chooser = new ServerChooser(context, {
      workspace,
      service,
      requestClass: {name: PLAIN_CLASS},
      fingerprint: this.fingerprint,
      promptTokens: 0,
      blockHashes: [],
      deadlineAtMs,
      signal: caller.signal,
    });
  }

  /** Returns the fingerprint of the call. */
  getFingerprint(): string {
    return this.fingerprint;
  }

  /**
   * Returns the backend server of the next try, as soon as one has a place.
   * @throws ServingError where there is none before the deadline.
   */
  chooseServer(): Promise<ChosenServer> {
    return this.chooser.choose(undefined, this.attempts > 0);
  }

  /** Sends an idempotent call, over as many tries as it takes. */
  async sendIdempotent(): Promise<PlainAnswer> {
    const {context, call} = this;
    context.retryBudget.addFirstTry(context.getNowMs());
    for (;;) {
      const chosen = await this.chooseServer();
      const {server} = chosen;
      const attemptId = `${call.caller.requestId}.${this.attempts + 1}`;
      const silenceMs = call.service.requestTimeoutMs / SILENCE_DIVISOR;
      try {
        const answer = await this.send(chosen, attemptId, silenceMs);
        if (!RETRIED_STATUSES.has(answer.status)) return answer;
        if (!(await this.prepareRetry(server, 'refused', undefined))) return answer;
      } catch (cause) {
        if (call.caller.signal.aborted) throw createPlainFailure(server, cause, 'unknown');
        await this.prepareRetry(server, getFailure(cause), cause);
      }
    }
  }

  /**
   * Sends the call once, and gives the place back.
   * @param chosen - Backend server.
   * @param attemptId - Id of the try.
   * @param timeoutMs - Longest wait for the answer; the request's deadline holds beside it.
   * @throws Error as undici gives it, where no answer came.
   */
  async send(
    {server, release}: ChosenServer,
    attemptId: string,
    timeoutMs: number,
  ): Promise<PlainAnswer> {
    const {context, call, fingerprint} = this;
    const {caller, method, path, body, deadlineAtMs, service} = call;
    const {instanceId} = server;
    const sentAtMs = context.getNowMs();
    const waitMs = Math.max(1, Math.min(timeoutMs, deadlineAtMs - sentAtMs));
    const openRequests = context.tracker.getOpenRequests(instanceId) - 1;
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(createTimeout(server, waitMs)), waitMs);
    this.attempts += 1;
    context.quarantine.addAttempt({attemptId, fingerprint, service: service.name, instanceId});
    context.metrics.addCount('request.tries', this.getTags());
    if (call.isIdempotent) context.tries.addTry(attemptId, reason => timeout.abort(reason));
    let isAnswered = false;
    try {
      const answer = await context.engine.callPlain(server, {
        method: method as 'GET',
        path,
        body: body.length > 0 ? body : undefined,
        headers: {
          ...pickHeaders(caller.request.headers),
          'x-request-id': caller.requestId,
          'x-attempt-id': attemptId,
          'x-workspace': caller.workspace.name,
        },
        signal: timeout.signal,
      });
      isAnswered = true;
      this.addAnswer(server, answer.status, context.getNowMs() - sentAtMs, openRequests);
      return answer;
    } catch (cause) {
      const failure = getFailure(cause);
      const isEvidence = failure !== 'not-connected' && failure !== 'moved';
      if (isEvidence) this.addEvidence(server, true, undefined, openRequests);
      await noteServerFailure(context, server, failure);
      throw cause;
    } finally {
      clearTimeout(timer);
      context.tries.removeTry(attemptId);
      release();
      const cleared = context.quarantine.removeAttempt(attemptId, isAnswered, context.getNowMs());
      if (cleared.length > 0) void context.reportIncidents(cleared);
    }
  }

  /** Notes that a server can't be reached, so that the next choice passes it over. */
  noteUnreached(server: BackendServer): void {
    this.chooser.noteFailure(server, 'not-connected');
  }

  /** Returns whether another try follows; throws the failure where there is one and none follows. */
  private async prepareRetry(
    server: BackendServer,
    failure: AttemptFailureKind,
    cause: unknown,
  ): Promise<boolean> {
    const {context, call} = this;
    const nowMs = context.getNowMs();
    if (failure === 'moved') this.moves += 1;
    const decision = decideRetry(
      {
        failure,
        isIdempotent: true,
        attempts: this.attempts - this.moves,
        deadlineAtMs: call.deadlineAtMs,
        hasBudget: context.retryBudget.hasRetry(nowMs),
      },
      nowMs,
      context.random,
    );
    if (decision.kind === 'fail') {
      if (cause === undefined) return false;
      throw createPlainFailure(server, cause, decision.run);
    }
    if (decision.usesBudget) context.retryBudget.addRetry(nowMs);
    context.metrics.addCount('request.retries', {...this.getTags(), failure});
    this.chooser.noteFailure(server, failure);
    if (decision.delayMs > 0) await sleep(decision.delayMs);
    return true;
  }

  private addAnswer(
    server: BackendServer,
    status: number,
    durationMs: number,
    openRequests: number,
  ): void {
    const {context} = this;
    const hasFailed = status >= FIRST_SERVER_ERROR;
    if (!hasFailed) {
      context.tracker.addAnswer(server, this.getRoute(), durationMs);
    }
    this.addEvidence(server, hasFailed, durationMs, openRequests);
  }

  private addEvidence(
    server: BackendServer,
    hasFailed: boolean,
    firstTokenMs: number | undefined,
    openRequests: number,
  ): void {
    const {context, call} = this;
    const {service} = call;
    const isWarm = context.tracker.getWarmth(server.instanceId) === 'warm';
    context.evidence.addTry(
      {
        service: service.name,
        version: server.version,
        route: this.getRoute(),
        requestClass: PLAIN_CLASS,
        loadBand: getLoadBand(
          Math.max(openRequests, server.load?.runningRequests ?? 0),
          service.maxConcurrentRequests,
        ),
        prefillBand: getPrefillBand(0),
        hasFailed,
        firstTokenMs: isWarm ? firstTokenMs : undefined,
      },
      context.getNowMs(),
    );
  }

  private getRoute(): string {
    return `${this.call.method} ${this.call.route}`;
  }

  private getTags() {
    const {caller, service} = this.call;
    return {workspace: caller.workspace.name, class: PLAIN_CLASS, service: service.name};
  }
}

/**
 * Returns the error that tells a caller of a failed call.
 * @param server - Where it failed.
 * @param cause - How.
 * @param run - Whether the call was executed.
 */
export function createPlainFailure(
  server: BackendServer,
  cause: unknown,
  run: 'unknown' | 'not-run' | 'ran',
): ServingError {
  const isTimeout = getFailure(cause) === 'silent';
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new ServingError(`backend server ${server.instanceId} failed: ${reason}`, {
    kind: isTimeout ? 'backend-timeout' : 'backend-failed',
    run,
    cause,
  });
}

function getFailure(cause: unknown): AttemptFailureKind {
  if (isUnconnected(cause)) return 'not-connected';
  return cause instanceof AttemptError ? cause.failure : 'broken';
}

function createTimeout({instanceId}: BackendServer, waitMs: number): AttemptError {
  return new AttemptError(`backend server ${instanceId} gave no answer within ${waitMs} ms`, {
    kind: 'backend-timeout',
    failure: 'silent',
  });
}

function pickHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const picked: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (value !== undefined) picked[name] = value;
  }
  return picked;
}
