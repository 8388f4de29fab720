/** Handles calls to plain services, idempotent or claimed. */
import type {IncomingHttpHeaders} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {isClaimFresh, type ClaimAnswer, type ClaimRequest} from '../claims/index.js';
import type {Service, ServiceRoute} from '../configuration/index.js';
import {isUnconnected, type PlainAnswer} from '../engine/index.js';
import {ServingError, toServingError} from '../errors/index.js';
import type {StoredAnswer} from '../records/index.js';
import {PLAIN_CLASS, PlainSender, createPlainFailure, type PlainCall} from './PlainSender.js';
import type {ChosenServer} from './ServerChooser.js';
import {readBody} from './RequestBody.js';
import {getServiceOrThrow, type CallerRequest, type HandlerContext} from './RequestContext.js';
import {getRequestTimeoutMsOrThrow} from './requestTimeout.js';

const IDEMPOTENCY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 200;
/** A larger answer is not kept for repeats, since the log is small. */
const MAX_KEPT_ANSWER_BYTES = 16_384;
/** Time for which a repeat waits for the outcome of the attempt that holds its key. */
const HELD_WAIT_MS = 2_000;
const HELD_POLL_MS = 25;

/** A claim as it was last asked for, and its verdict. */
interface ClaimAttempt {
  readonly attempt: ClaimRequest;
  readonly claimAnswer: ClaimAnswer;
}

/** A claim that was granted to this entry. */
interface GrantedClaim {
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
  readonly grantedAtMs: number;
}

/** Answers `/v1/services/{service}/{path}` with any method. */
export class PlainHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Handles one call.
   * @param caller - The request.
   * @param serviceName - Service named in the path.
   * @param path - Rest of the path with its query, starting with a slash.
   */
  async handle(caller: CallerRequest, serviceName: string, path: string): Promise<void> {
    const {context} = this;
    const startedAtMs = context.getNowMs();
    const service = getServiceOrThrow(caller, serviceName, 'plain');
    const method = caller.request.method ?? 'GET';
    const route = getRouteOrThrow(service, method, path);
    const timeoutMs = getRequestTimeoutMsOrThrow(caller.request.headers, service);
    const key = route.isIdempotent ? undefined : getIdempotencyKeyOrThrow(caller.request.headers);
    const body = await readBody(caller.request, context.bodyLimits);
    const deadlineAtMs = startedAtMs + timeoutMs;
    const {pathPrefix, isIdempotent} = route;
    const call = {
      caller,
      service,
      method,
      path,
      route: pathPrefix,
      body,
      isIdempotent,
      deadlineAtMs,
    };
    const sender = new PlainSender(context, call);
    const tags = {workspace: caller.workspace.name, class: PLAIN_CLASS};
    const {requestId, workspace, signal} = caller;
    const release = await context.admission.enter(
      service.name,
      {requestId, workspace: workspace.name, requestClass: PLAIN_CLASS, deadlineAtMs},
      signal,
    );
    try {
      context.metrics.addCount('request.accepted', tags);
      const answer =
        key === undefined ? await sender.sendIdempotent() : await this.callOnce(call, sender, key);
      sendPlain(caller, answer);
      context.metrics.addDuration('request.total', context.getNowMs() - startedAtMs, tags);
    } finally {
      release();
    }
  }

  private async callOnce(call: PlainCall, sender: PlainSender, key: string): Promise<PlainAnswer> {
    const chosen = await sender.chooseServer();
    try {
      return await this.claimAndSend(call, sender, chosen, key);
    } finally {
      chosen.release();
    }
  }

  private async claimAndSend(
    {caller, deadlineAtMs}: PlainCall,
    sender: PlainSender,
    chosen: ChosenServer,
    key: string,
  ): Promise<PlainAnswer> {
    const claim = {
      workspace: caller.workspace.name,
      key,
      attemptId: `${caller.requestId}.once`,
      fingerprint: sender.getFingerprint(),
    };
    const {attempt, claimAnswer} = await this.claimOrWait(claim, deadlineAtMs);
    const {verdict, answer, isKnownNotRun} = claimAnswer;
    if (verdict === 'done' && answer) return decodeAnswer(answer);
    if (verdict !== 'granted') throw createClaimRefusal(verdict, isKnownNotRun);
    const granted = {...attempt, grantedAtMs: this.context.getNowMs()};
    return this.sendClaimed(sender, chosen, granted, deadlineAtMs);
  }

  /** Claims a key; where another attempt holds it, waits a while for that one's outcome. */
  private async claimOrWait(claim: ClaimRequest, deadlineAtMs: number): Promise<ClaimAttempt> {
    const {claims, getNowMs} = this.context;
    const waitUntilMs = Math.min(getNowMs() + HELD_WAIT_MS, deadlineAtMs);
    for (let ask = 1; ; ask += 1) {
      const attempt = {...claim, attemptId: `${claim.attemptId}.${ask}`};
      const claimAnswer = await claims.claim(attempt);
      if (claimAnswer.verdict !== 'held' || getNowMs() >= waitUntilMs)
        return {attempt, claimAnswer};
      await sleep(HELD_POLL_MS);
    }
  }

  private async sendClaimed(
    sender: PlainSender,
    firstChoice: ChosenServer,
    claim: GrantedClaim,
    deadlineAtMs: number,
  ): Promise<PlainAnswer> {
    const {workspace, key, attemptId, grantedAtMs} = claim;
    let chosen = firstChoice;
    for (;;) {
      const nowMs = this.context.getNowMs();
      if (nowMs >= deadlineAtMs || !isClaimFresh(grantedAtMs, nowMs)) {
        this.record({workspace, key, attemptId, run: 'not-run'});
        throw createStaleClaimError();
      }
      try {
        const answer = await sender.send(chosen, attemptId, deadlineAtMs - nowMs);
        const kept = answer.body.length <= MAX_KEPT_ANSWER_BYTES ? encodeAnswer(answer) : undefined;
        this.record({workspace, key, attemptId, run: 'ran', answer: kept});
        return answer;
      } catch (cause) {
        const {server} = chosen;
        if (!isUnconnected(cause)) {
          this.record({workspace, key, attemptId, run: 'unknown'});
          throw createPlainFailure(server, cause, 'unknown');
        }
        sender.noteUnreached(server);
        try {
          chosen = await sender.chooseServer();
        } catch (error) {
          this.record({workspace, key, attemptId, run: 'not-run'});
          throw createNotRunError(error);
        }
      }
    }
  }

  private record(outcome: Parameters<HandlerContext['claims']['recordOutcome']>[0]): void {
    const {claims, metrics} = this.context;
    claims.recordOutcome(outcome).catch(() => metrics.addCount('claims.outcome_lost'));
  }
}

function getRouteOrThrow(service: Service, method: string, path: string): ServiceRoute {
  const matching = service.routes
    .filter(route => path.startsWith(route.pathPrefix) && route.methods.includes(method))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  if (matching.length > 0) return matching[0];
  throw new ServingError(`service "${service.name}" has no route for ${method} ${path}`, {
    kind: 'not-found',
  });
}

function getIdempotencyKeyOrThrow(headers: IncomingHttpHeaders): string {
  const key = headers[IDEMPOTENCY_HEADER];
  if (typeof key === 'string' && key.length > 0 && key.length <= MAX_KEY_LENGTH) return key;
  throw new ServingError(
    `this route is not idempotent and needs an Idempotency-Key of 1 to ${MAX_KEY_LENGTH} characters`,
    {kind: 'idempotency-key-missing'},
  );
}

/** The key is held by this attempt and nothing was sent, so it is known that the request never ran. */
function createNotRunError(cause: unknown): ServingError {
  const {kind, message, retryAfterMs} = toServingError(cause);
  return new ServingError(message, {kind, retryAfterMs, run: 'not-run', cause});
}

/** A slow log or a paused process: the caller has gone elsewhere; nothing was sent, and nobody else gets the key. */
function createStaleClaimError(): ServingError {
  return new ServingError('the claim was granted too late or too long ago to be used', {
    kind: 'deadline-unreachable',
    run: 'not-run',
  });
}

function createClaimRefusal(verdict: string, isKnownNotRun: boolean): ServingError {
  const run = isKnownNotRun ? ('not-run' as const) : ('unknown' as const);
  switch (verdict) {
    case 'fingerprint-mismatch':
      return new ServingError('the Idempotency-Key was used for another request', {
        kind: 'idempotency-key-reused',
        run: 'not-run',
      });
    case 'held':
      return new ServingError('a request with this Idempotency-Key is under way', {
        kind: 'request-in-progress',
      });
    case 'unavailable':
      return new ServingError('the log is not available, so the request can not be claimed', {
        kind: 'log-unavailable',
        run,
      });
    case 'not-run':
      return new ServingError('the request with this Idempotency-Key was refused before', {
        kind: 'conflict',
        run,
      });
    default:
      return new ServingError('how the request with this Idempotency-Key ended is not known', {
        kind: 'outcome-unknown',
      });
  }
}

function encodeAnswer({status, contentType, body}: PlainAnswer): StoredAnswer {
  return {status, contentType, bodyBase64: body.toString('base64')};
}

function decodeAnswer({status, contentType, bodyBase64}: StoredAnswer): PlainAnswer {
  return {status, contentType, body: Buffer.from(bodyBase64, 'base64')};
}

function sendPlain({response}: CallerRequest, {status, contentType, body}: PlainAnswer): void {
  response.writeHead(status, {'content-type': contentType, 'content-length': body.length});
  response.end(body);
}
