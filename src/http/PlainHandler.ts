/** Handles calls to plain services, idempotent or claimed. */
import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendServer} from '../blackboard/index.js';
import type {ClaimAnswer, ClaimRequest} from '../claims/index.js';
import type {Service, ServiceRoute} from '../configuration/index.js';
import {chooseBackendServer} from '../controllers/routing/index.js';
import type {PlainAnswer} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import type {StoredAnswer} from '../records/index.js';
import {readBody} from './RequestBody.js';
import {
  getRoutingView,
  getServiceOrThrow,
  type CallerRequest,
  type HandlerContext,
} from './RequestContext.js';

const IDEMPOTENCY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 200;
const MAX_ATTEMPTS = 4;
/** A larger answer is not kept for repeats, since the log is small. */
const MAX_KEPT_ANSWER_BYTES = 16_384;
const PLAIN_CLASS = 'plain';
/** Longest wait for the outcome of another attempt that holds the key. */
const HELD_WAIT_MS = 2_000;
const HELD_POLL_MS = 25;
/** Errors that come before a connection stands, so that nothing can have been sent. */
const UNCONNECTED_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'user-agent'] as const;

/** A call to a plain service as it is sent to a backend server. */
interface PlainCall {
  readonly caller: CallerRequest;
  readonly service: Service;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly deadlineAtMs: number;
}

/** A claim as it was last asked for, and its verdict. */
interface ClaimAttempt {
  readonly attempt: ClaimRequest;
  readonly claimAnswer: ClaimAnswer;
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
    const key = route.isIdempotent ? undefined : getIdempotencyKeyOrThrow(caller.request.headers);
    const body = await readBody(caller.request, context.bodyLimits);
    const deadlineAtMs = startedAtMs + service.requestTimeoutMs;
    const call: PlainCall = {caller, service, method, path, body, deadlineAtMs};
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
        key === undefined ? await this.callIdempotent(call) : await this.callOnce(call, key);
      sendPlain(caller, answer);
      context.metrics.addDuration('request.total', context.getNowMs() - startedAtMs, tags);
    } finally {
      release();
    }
  }

  private async callIdempotent(call: PlainCall): Promise<PlainAnswer> {
    const excluded = new Set<string>();
    for (let attempt = 1; ; attempt += 1) {
      const server = this.chooseServer(call, excluded);
      try {
        return await this.send(call, server, `${call.caller.requestId}.${attempt}`);
      } catch (cause) {
        excluded.add(server.instanceId);
        if (attempt >= MAX_ATTEMPTS || call.caller.signal.aborted) {
          throw createFailure(server, cause, 'unknown');
        }
        this.context.metrics.addCount('request.retries', {class: PLAIN_CLASS});
      }
    }
  }

  private async callOnce(call: PlainCall, key: string): Promise<PlainAnswer> {
    const {caller} = call;
    const server = this.chooseServer(call, new Set());
    const claim = {
      workspace: caller.workspace.name,
      key,
      attemptId: `${caller.requestId}.once`,
      fingerprint: hashCall(call),
    };
    const {attempt, claimAnswer} = await this.claimOrWait(claim);
    const {verdict, answer, isKnownNotRun} = claimAnswer;
    if (verdict === 'done' && answer) return decodeAnswer(answer);
    if (verdict !== 'granted') throw createClaimRefusal(verdict, isKnownNotRun);
    return this.sendClaimed(call, server, attempt);
  }

  /** Claims a key; where another attempt holds it, waits a while for that one's outcome. */
  private async claimOrWait(claim: ClaimRequest): Promise<ClaimAttempt> {
    const {claims, getNowMs} = this.context;
    const waitUntilMs = getNowMs() + HELD_WAIT_MS;
    for (let ask = 1; ; ask += 1) {
      const attempt = {...claim, attemptId: `${claim.attemptId}.${ask}`};
      const claimAnswer = await claims.claim(attempt);
      if (claimAnswer.verdict !== 'held' || getNowMs() >= waitUntilMs)
        return {attempt, claimAnswer};
      await sleep(HELD_POLL_MS);
    }
  }

  private async sendClaimed(
    call: PlainCall,
    firstServer: BackendServer,
    claim: {readonly workspace: string; readonly key: string; readonly attemptId: string},
  ): Promise<PlainAnswer> {
    const {workspace, key, attemptId} = claim;
    const excluded = new Set<string>();
    let server = firstServer;
    for (;;) {
      try {
        const answer = await this.send(call, server, attemptId);
        const kept = answer.body.length <= MAX_KEPT_ANSWER_BYTES ? encodeAnswer(answer) : undefined;
        this.record({workspace, key, attemptId, run: 'ran', answer: kept});
        return answer;
      } catch (cause) {
        excluded.add(server.instanceId);
        if (!isUnconnected(cause)) {
          this.record({workspace, key, attemptId, run: 'unknown'});
          throw createFailure(server, cause, 'unknown');
        }
        try {
          server = this.chooseServer(call, excluded);
        } catch (error) {
          this.record({workspace, key, attemptId, run: 'not-run'});
          throw error;
        }
      }
    }
  }

  private record(outcome: Parameters<HandlerContext['claims']['recordOutcome']>[0]): void {
    const {claims, metrics} = this.context;
    claims.recordOutcome(outcome).catch(() => metrics.addCount('claims.outcome_lost'));
  }

  private chooseServer(call: PlainCall, excludedInstanceIds: ReadonlySet<string>): BackendServer {
    const {context} = this;
    const decision = chooseBackendServer(
      getRoutingView(context, call.caller.configuration),
      {
        service: call.service.name,
        workspace: call.caller.workspace.name,
        requestClass: PLAIN_CLASS,
        promptTokens: 0,
        blockHashes: [],
        excludedInstanceIds,
        deadlineAtMs: call.deadlineAtMs,
      },
      context.getNowMs(),
      context.random,
    );
    if (decision.kind === 'chosen') return decision.server;
    throw new ServingError(decision.reason, {kind: decision.errorKind});
  }

  private async send(
    call: PlainCall,
    server: BackendServer,
    attemptId: string,
  ): Promise<PlainAnswer> {
    const {context} = this;
    const {caller, method, path, body, deadlineAtMs} = call;
    context.tracker.addRequest(server.instanceId);
    try {
      return await context.engine.callPlain(server, {
        method: method as 'GET',
        path,
        body: body.length > 0 ? body : undefined,
        headers: {
          ...pickHeaders(caller.request.headers),
          'x-request-id': caller.requestId,
          'x-attempt-id': attemptId,
          'x-workspace': caller.workspace.name,
        },
        signal: AbortSignal.timeout(Math.max(1, deadlineAtMs - context.getNowMs())),
      });
    } finally {
      context.tracker.removeRequest(server.instanceId);
    }
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

function hashCall({caller, method, path, body}: PlainCall): string {
  const hash = createHash('sha256');
  hash.update(`${caller.workspace.name}\n${method}\n${path}\n`);
  return hash.update(body).digest('hex');
}

function isUnconnected(error: unknown): boolean {
  const code = (error as {readonly code?: unknown}).code;
  return typeof code === 'string' && UNCONNECTED_ERROR_CODES.has(code);
}

function createFailure(
  server: BackendServer,
  cause: unknown,
  run: 'unknown' | 'not-run',
): ServingError {
  const isTimeout = cause instanceof Error && cause.name === 'TimeoutError';
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new ServingError(`backend server ${server.instanceId} failed: ${reason}`, {
    kind: isTimeout ? 'backend-timeout' : 'backend-failed',
    run,
    cause,
  });
}

function createClaimRefusal(verdict: string, isKnownNotRun: boolean): ServingError {
  const run = isKnownNotRun ? ('not-run' as const) : ('unknown' as const);
  switch (verdict) {
    case 'fingerprint-mismatch':
      return new ServingError('the Idempotency-Key was used for another request', {
        kind: 'idempotency-key-reused',
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

function pickHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  const picked: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (value !== undefined) picked[name] = value;
  }
  return picked;
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
