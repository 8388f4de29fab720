/** Sends one call to backend servers of a plain service and records how they respond. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {IncomingHttpHeaders} from 'node:http';
import type {BackendServer} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {getLoadBand, getPrefillBand} from '../controllers/moves/index.js';
import {getFingerprint} from '../controllers/quarantine/index.js';
import {decideRetry, type AttemptFailureKind} from '../controllers/retry/index.js';
import {AttemptError, isConnectError, type PlainResponse} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';
import {ServerChooser, type ChosenServer} from './ServerChooser.js';
import {recordServerFailure} from './recordServerFailure.js';

/** A call to a plain service as it is sent to a backend server. */
export interface PlainCall {
  readonly caller: CallerRequest;
  readonly service: Service;
  readonly method: string;
  /** Path at the backend server, with the query string. */
  readonly path: string;
  /** Path prefix of the matching route. */
  readonly route: string;
  readonly body: Buffer;
  /** Whether the call may be retried after it was sent. */
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
}

/** Request class of all calls to plain services. */
export const PLAIN_CLASS = 'plain';
/** Headers of the caller that are sent to the backend server. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'user-agent'] as const;
/** An attempt of an idempotent call times out after the service's request timeout divided by this number. */
const STALL_TIMEOUT_DIVISOR = 4;
const FIRST_SERVER_ERROR = 500;
/** Statuses of gateways and of servers that accept no work; an idempotent call is retried after them. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Sends one call: a single attempt, or several if it is idempotent. */
export class PlainSender {
  private readonly context: HandlerContext;
  private readonly call: PlainCall;
  private readonly chooser: ServerChooser;
  private readonly fingerprint: string;
  private attempts = 0;
  private movedAttempts = 0;

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

  /** Returns the fingerprint, which is equal for calls with equal workspace, method, path and body. */
  getFingerprint(): string {
    return this.fingerprint;
  }

  /**
   * Returns a reserved slot at the backend server for the next attempt; waits until one is free.
   * @throws ServingError if none can be used before the deadline.
   */
  chooseServer(): Promise<ChosenServer> {
    return this.chooser.choose(undefined, this.attempts > 0);
  }

  /**
   * Sends an idempotent call, with retries.
   * @throws ServingError if no attempt got a response and no further retry is allowed.
   */
  async sendIdempotent(): Promise<PlainResponse> {
    const {context, call} = this;
    context.retryBudget.recordFirstAttempt(context.getNowMs());
    for (;;) {
      const chosen = await this.chooseServer();
      const {server} = chosen;
      const attemptId = `${call.caller.requestId}.${this.attempts + 1}`;
      const stallTimeoutMs = call.service.requestTimeoutMs / STALL_TIMEOUT_DIVISOR;
      try {
        const response = await this.send(chosen, attemptId, stallTimeoutMs);
        if (!RETRIED_STATUSES.has(response.status)) return response;
        if (!(await this.prepareRetry(server, 'refused', undefined))) return response;
      } catch (cause) {
        if (call.caller.signal.aborted) throw createPlainFailure(server, cause, 'unknown');
        await this.prepareRetry(server, getFailureKind(cause), cause);
      }
    }
  }

  /**
   * Sends one attempt of the call, and releases the slot at its end.
   * @param chosen - Slot at the backend server.
   * @param attemptId - Id of the attempt, unique among those of all entries.
   * @param timeoutMs - Longest wait for the response; the request's deadline applies as well.
   * @throws AttemptError if the attempt times out or is stopped; the error of undici if it fails otherwise.
   */
  async send(
    {server, release}: ChosenServer,
    attemptId: string,
    timeoutMs: number,
  ): Promise<PlainResponse> {
    const {context, call, fingerprint} = this;
    const {caller, method, path, body, deadlineAtMs, service} = call;
    const {instanceId} = server;
    const sentAtMs = context.getNowMs();
    const waitMs = Math.max(1, Math.min(timeoutMs, deadlineAtMs - sentAtMs));
    const openRequests = context.tracker.getOpenRequests(instanceId) - 1;
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(createTimeoutError(server, waitMs)), waitMs);
    this.attempts += 1;
    context.quarantine.addAttempt({attemptId, fingerprint, service: service.name, instanceId});
    context.metrics.addCount('request.tries', this.getTags());
    if (call.isIdempotent)
      context.runningAttempts.addAttempt(attemptId, reason => timeout.abort(reason));
    let isAnswered = false;
    try {
      const response = await context.engine.sendPlainRequest(server, {
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
      this.recordResponse(server, response.status, context.getNowMs() - sentAtMs, openRequests);
      return response;
    } catch (cause) {
      const failure = getFailureKind(cause);
      const isEvidence = failure !== 'not-connected' && failure !== 'moved';
      if (isEvidence) this.addEvidence(server, true, undefined, openRequests);
      await recordServerFailure(context, server, failure);
      throw cause;
    } finally {
      clearTimeout(timer);
      context.runningAttempts.removeAttempt(attemptId);
      release();
      const cleared = context.quarantine.removeAttempt(attemptId, isAnswered, context.getNowMs());
      if (cleared.length > 0) void context.reportIncidents(cleared);
    }
  }

  /** Records that a server can't be reached, so that it is not chosen for the next attempt. */
  recordUnreachable(server: BackendServer): void {
    this.chooser.recordFailure(server, 'not-connected');
  }

  /**
   * Waits for the delay before a retry. Returns false if no retry is allowed and the last attempt got a response.
   * @throws ServingError if no retry is allowed and `cause` tells why the last attempt got no response.
   */
  private async prepareRetry(
    server: BackendServer,
    failure: AttemptFailureKind,
    cause: unknown,
  ): Promise<boolean> {
    const {context, call} = this;
    const nowMs = context.getNowMs();
    if (failure === 'moved') this.movedAttempts += 1;
    const decision = decideRetry(
      {
        failure,
        isIdempotent: true,
        attempts: this.attempts - this.movedAttempts,
        deadlineAtMs: call.deadlineAtMs,
        hasBudget: context.retryBudget.canRetry(nowMs),
      },
      nowMs,
      context.random,
    );
    if (decision.kind === 'fail') {
      if (cause === undefined) return false;
      throw createPlainFailure(server, cause, decision.run);
    }
    if (decision.usesBudget) context.retryBudget.recordRetry(nowMs);
    context.metrics.addCount('request.retries', {...this.getTags(), failure});
    this.chooser.recordFailure(server, failure);
    if (decision.delayMs > 0) await sleep(decision.delayMs);
    return true;
  }

  private recordResponse(
    server: BackendServer,
    status: number,
    durationMs: number,
    openRequests: number,
  ): void {
    const {context} = this;
    const hasFailed = status >= FIRST_SERVER_ERROR;
    if (!hasFailed) {
      context.tracker.addResponse(server, this.getRoute(), durationMs);
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
    context.evidence.addAttempt(
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
 * Returns the error that is sent to the caller of a failed call.
 * @param server - Backend server of the last attempt.
 * @param cause - Error with which that attempt failed.
 * @param run - Whether the call was executed.
 */
export function createPlainFailure(
  server: BackendServer,
  cause: unknown,
  run: 'unknown' | 'not-run' | 'ran',
): ServingError {
  const isTimeout = getFailureKind(cause) === 'silent';
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new ServingError(`backend server ${server.instanceId} failed: ${reason}`, {
    kind: isTimeout ? 'backend-timeout' : 'backend-failed',
    run,
    cause,
  });
}

function getFailureKind(cause: unknown): AttemptFailureKind {
  if (isConnectError(cause)) return 'not-connected';
  return cause instanceof AttemptError ? cause.failure : 'broken';
}

function createTimeoutError({instanceId}: BackendServer, waitMs: number): AttemptError {
  return new AttemptError(`backend server ${instanceId} sent no response within ${waitMs} ms`, {
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
