/**
 * Handles calls to plain services: idempotent routes with retries, other routes at most once under a claim of their
 * idempotency key.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {isClaimFresh, type ClaimAnswer, type ClaimRequest} from '../claims/index.js';
import type {Service, ServiceRoute} from '../configuration/index.js';
import {isConnectError, type PlainResponse} from '../engine/index.js';
import {ServingError, toServingError} from '../errors/index.js';
import type {StoredResponse} from '../records/index.js';
import {PLAIN_CLASS, PlainSender, createPlainFailure, type PlainCall} from './PlainSender.js';
import type {ChosenServer} from './ServerChooser.js';
import {readBody} from './RequestBody.js';
import {getServiceOrThrow, type CallerRequest, type HandlerContext} from './RequestContext.js';
import {getRequestTimeoutMsOrThrow} from './requestTimeout.js';

const IDEMPOTENCY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 200;
/** A larger response is not stored for repeated requests, since the log is small. */
const MAX_STORED_RESPONSE_BYTES = 16_384;
/** Time for which a repeated request waits for the outcome of the attempt that holds the claim of its key. */
const CLAIM_WAIT_MS = 2_000;
const CLAIM_POLL_INTERVAL_MS = 25;

/** Result of `claimOrWait`: the last of its repeated claims, and the answer to it. */
interface ClaimAttempt {
  readonly attempt: ClaimRequest;
  readonly claimAnswer: ClaimAnswer;
}

/** A claim that was granted to this entry. */
interface GrantedClaim {
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
  /** Time at which the grant arrived, by the context's clock. */
  readonly grantedAtMs: number;
}

/** Handles `/v1/services/{service}/{path}` with any method. */
export class PlainHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Validates, admits and sends one call, and passes on the response.
   * @param caller - Authenticated request; its body is read here.
   * @param serviceName - Service named in the path.
   * @param path - Rest of the path with its query string, starting with a slash.
   * @throws ServingError if the request is invalid, refused or fails.
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
      const response =
        key === undefined
          ? await sender.sendIdempotent()
          : await this.sendNonIdempotent(call, sender, key);
      sendResponse(caller, response);
      context.metrics.addDuration('request.total', context.getNowMs() - startedAtMs, tags);
    } finally {
      release();
    }
  }

  private async sendNonIdempotent(
    call: PlainCall,
    sender: PlainSender,
    key: string,
  ): Promise<PlainResponse> {
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
  ): Promise<PlainResponse> {
    const claim = {
      workspace: caller.workspace.name,
      key,
      attemptId: `${caller.requestId}.once`,
      fingerprint: sender.getFingerprint(),
    };
    const {attempt, claimAnswer} = await this.claimOrWait(claim, deadlineAtMs);
    const {verdict, answer, isKnownNotRun} = claimAnswer;
    if (verdict === 'done' && answer) return decodeResponse(answer);
    if (verdict !== 'granted') throw createClaimRefusal(verdict, isKnownNotRun);
    const granted = {...attempt, grantedAtMs: this.context.getNowMs()};
    return this.sendClaimed(sender, chosen, granted, deadlineAtMs);
  }

  /**
   * Claims a key. While another attempt holds it, claims again until that attempt's outcome is known or the wait ends.
   */
  private async claimOrWait(claim: ClaimRequest, deadlineAtMs: number): Promise<ClaimAttempt> {
    const {claims, getNowMs} = this.context;
    const waitUntilMs = Math.min(getNowMs() + CLAIM_WAIT_MS, deadlineAtMs);
    for (let claimNumber = 1; ; claimNumber += 1) {
      const attempt = {...claim, attemptId: `${claim.attemptId}.${claimNumber}`};
      const claimAnswer = await claims.claim(attempt);
      if (claimAnswer.verdict !== 'held' || getNowMs() >= waitUntilMs)
        return {attempt, claimAnswer};
      await sleep(CLAIM_POLL_INTERVAL_MS);
    }
  }

  /**
   * Sends a claimed call once; chooses another server only if no connection was established, so that nothing was sent.
   */
  private async sendClaimed(
    sender: PlainSender,
    firstChoice: ChosenServer,
    claim: GrantedClaim,
    deadlineAtMs: number,
  ): Promise<PlainResponse> {
    const {workspace, key, attemptId, grantedAtMs} = claim;
    let chosen = firstChoice;
    for (;;) {
      const nowMs = this.context.getNowMs();
      if (nowMs >= deadlineAtMs || !isClaimFresh(grantedAtMs, nowMs)) {
        this.recordOutcome({workspace, key, attemptId, run: 'not-run'});
        throw createStaleClaimError();
      }
      try {
        const response = await sender.send(chosen, attemptId, deadlineAtMs - nowMs);
        const storedResponse =
          response.body.length <= MAX_STORED_RESPONSE_BYTES ? encodeResponse(response) : undefined;
        this.recordOutcome({workspace, key, attemptId, run: 'ran', answer: storedResponse});
        return response;
      } catch (cause) {
        const {server} = chosen;
        if (!isConnectError(cause)) {
          this.recordOutcome({workspace, key, attemptId, run: 'unknown'});
          throw createPlainFailure(server, cause, 'unknown');
        }
        sender.recordUnreachable(server);
        try {
          chosen = await sender.chooseServer();
        } catch (error) {
          this.recordOutcome({workspace, key, attemptId, run: 'not-run'});
          throw createNotRunError(error);
        }
      }
    }
  }

  private recordOutcome(outcome: Parameters<HandlerContext['claims']['recordOutcome']>[0]): void {
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

/** This attempt holds the claim and sent nothing, so the request is known not to have run. */
function createNotRunError(cause: unknown): ServingError {
  const {kind, message, retryAfterMs} = toServingError(cause);
  return new ServingError(message, {kind, retryAfterMs, run: 'not-run', cause});
}

/**
 * Returns the error for a claim that a slow log or a paused process delayed; the caller may have retried elsewhere by
 * now. Nothing was sent, and no other attempt is granted the key.
 */
function createStaleClaimError(): ServingError {
  return new ServingError('the claim was granted after the deadline or is too old to be used', {
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
      return new ServingError('a request with this Idempotency-Key is in progress', {
        kind: 'request-in-progress',
      });
    case 'unavailable':
      return new ServingError('the log is unavailable, so the request cannot be claimed', {
        kind: 'log-unavailable',
        run,
      });
    case 'not-run':
      return new ServingError('an earlier request with this Idempotency-Key was refused', {
        kind: 'conflict',
        run,
      });
    default:
      return new ServingError('the outcome of the request with this Idempotency-Key is unknown', {
        kind: 'outcome-unknown',
      });
  }
}

function encodeResponse({status, contentType, body}: PlainResponse): StoredResponse {
  return {status, contentType, bodyBase64: body.toString('base64')};
}

function decodeResponse({status, contentType, bodyBase64}: StoredResponse): PlainResponse {
  return {status, contentType, body: Buffer.from(bodyBase64, 'base64')};
}

function sendResponse({response}: CallerRequest, {status, contentType, body}: PlainResponse): void {
  response.writeHead(status, {'content-type': contentType, 'content-length': body.length});
  response.end(body);
}
