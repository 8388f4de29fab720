/** Lets requests wait before a server is chosen, one queue for each service. */
import {
  ServiceQueue,
  type QueueRefusal,
  type ServiceLoadView,
  type ServiceRequest,
} from '../controllers/admission/index.js';
import {RETRY_ELSEWHERE_MS, type AdmittedRequest, type RunOutcome} from '../exchange/index.js';
import type {GatewayMetrics} from './GatewayMetrics.js';

/** Constructor options of `RequestQueue`. */
export interface RequestQueueOptions {
  /** Returns whether requests of a service may wait; otherwise all start at once. */
  readonly isWaitingEnabled: (service: string, nowMs: number) => boolean;
  /**
   * Returns the present load of a service.
   * @param ownRequests - Requests of the service that this gateway has started and that haven't ended.
   */
  readonly getView: (service: string, ownRequests: number, nowMs: number) => ServiceLoadView;
  readonly metrics: Pick<GatewayMetrics, 'addQueueTime' | 'addQueueRefusal'>;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** What happens to a request at the end of its wait; exactly one of them is called, unless it leaves the queue. */
export interface QueueHandler {
  /** @param waitedMs - 0 if the request didn't wait. */
  readonly start: (waitedMs: number) => void;
  /** @param retryAfterMs - Time after which the caller may retry. */
  readonly refuse: (reason: QueueRefusal | 'stopping', retryAfterMs: number) => void;
}

interface WaitingRequest {
  readonly request: ServiceRequest;
  readonly handler: QueueHandler;
  readonly sinceMs: number;
}

interface ServiceState {
  readonly service: string;
  readonly queue: ServiceQueue;
  readonly waiting: Map<string, WaitingRequest>;
  /** Requests that were started and haven't ended, whether requests may wait or not. */
  openRequests: number;
  /** Whether waiting requests are being started; one that ends at once must not start others recursively. */
  isStarting: boolean;
}

/** Bounds the memory of waiting requests. */
const MAX_WAITING = 1_000;
/** Interval at which waiting requests are started or expire as the reports of other gateways come in. */
const POLL_MS = 20;
/** Requests of one kind differ in their prompt tokens by less than this factor. */
const SIZE_BAND_FACTOR = 4;
/** Prompts up to this size are of one kind. */
const SMALL_PROMPT_TOKENS = 1_000;

/** Waiting and started requests of one gateway. */
export class RequestQueue {
  private readonly options: RequestQueueOptions;
  private readonly services = new Map<string, ServiceState>();
  private waitingCount = 0;
  private nextId = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: RequestQueueOptions) {
    this.options = options;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.waitingCount;
  }

  /** Returns the numbers of waiting requests by service, for metrics. */
  getWaitingCounts(): ReadonlyMap<string, number> {
    return new Map([...this.services].map(([service, {waiting}]) => [service, waiting.size]));
  }

  /**
   * Starts, queues or refuses a request. A started request must be passed to `addEnd` at its end.
   * @param handler - May be called before this function returns.
   * @returns Removes the request from the queue if it is still waiting, and returns whether it was.
   */
  enter(admitted: AdmittedRequest, handler: QueueHandler): () => boolean {
    const {isWaitingEnabled, getNowMs} = this.options;
    const nowMs = getNowMs();
    const state = this.getState(admitted.service);
    if (state.waiting.size === 0 && !isWaitingEnabled(admitted.service, nowMs)) {
      state.openRequests += 1;
      handler.start(0);
      return () => false;
    }
    this.nextId += 1;
    const request = toServiceRequest(admitted, String(this.nextId));
    const decision = state.queue.addRequest(request, nowMs);
    if (decision.kind === 'started') {
      state.openRequests += 1;
      handler.start(0);
      return () => false;
    }
    if (decision.kind === 'refused') {
      this.refuse(state, handler, decision.reason, decision.retryAfterMs);
      return () => false;
    }
    state.waiting.set(request.requestId, {request, handler, sinceMs: nowMs});
    this.waitingCount += 1;
    this.timer ??= setInterval(() => this.poll(), POLL_MS);
    for (const id of decision.displacedRequestIds) this.refuseWaiting(state, id, 'displaced');
    return () => {
      if (!this.takeWaiting(state, request.requestId)) return false;
      state.queue.removeWaiting(request.requestId);
      return true;
    };
  }

  /** Records the end of a started request, and starts a waiting one in its place. */
  addEnd(admitted: AdmittedRequest, outcome: RunOutcome | undefined, waitedMs: number): void {
    const state = this.getState(admitted.service);
    state.openRequests -= 1;
    state.queue.addEnd();
    if (outcome?.kind === 'answered' && outcome.firstEventMs !== undefined) {
      const {firstEventMs, totalMs} = outcome;
      state.queue.addAnswer(getKind(admitted), firstEventMs - waitedMs, totalMs - waitedMs);
    }
    if (state.waiting.size > 0 && !state.isStarting) this.startWaiting(state);
  }

  /** Refuses all waiting requests, since the process stops. */
  refuseAll(): void {
    for (const state of this.services.values()) {
      for (const requestId of [...state.waiting.keys()]) {
        state.queue.removeWaiting(requestId);
        const waiting = this.takeWaiting(state, requestId);
        if (waiting) this.refuse(state, waiting.handler, 'stopping', RETRY_ELSEWHERE_MS);
      }
    }
  }

  private poll(): void {
    const nowMs = this.options.getNowMs();
    for (const state of this.services.values()) {
      if (state.waiting.size === 0) continue;
      for (const requestId of state.queue.removeExpired(nowMs)) {
        this.refuseWaiting(state, requestId, 'expired');
      }
      this.startWaiting(state);
    }
  }

  private startWaiting(state: ServiceState): void {
    const nowMs = this.options.getNowMs();
    state.isStarting = true;
    for (const requestId of state.queue.startWaiting(nowMs)) {
      const waiting = this.takeWaiting(state, requestId);
      if (!waiting) continue;
      state.openRequests += 1;
      const waitedMs = nowMs - waiting.sinceMs;
      this.options.metrics.addQueueTime(state.service, waitedMs);
      waiting.handler.start(waitedMs);
    }
    state.isStarting = false;
  }

  private refuseWaiting(state: ServiceState, requestId: string, reason: QueueRefusal): void {
    const waiting = this.takeWaiting(state, requestId);
    if (!waiting) return;
    const nowMs = this.options.getNowMs();
    const retryAfterMs = state.queue.getRetryAfterMs(waiting.request, nowMs);
    this.refuse(state, waiting.handler, reason, retryAfterMs);
  }

  private refuse(
    {service}: ServiceState,
    handler: QueueHandler,
    reason: QueueRefusal | 'stopping',
    retryAfterMs: number,
  ): void {
    this.options.metrics.addQueueRefusal(service, reason);
    handler.refuse(reason, retryAfterMs);
  }

  /** Removes a waiting request from the state of this class, but not from the `ServiceQueue`. */
  private takeWaiting(state: ServiceState, requestId: string): WaitingRequest | undefined {
    const waiting = state.waiting.get(requestId);
    if (!waiting) return undefined;
    state.waiting.delete(requestId);
    this.waitingCount -= 1;
    if (this.waitingCount === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
    return waiting;
  }

  private getState(service: string): ServiceState {
    const existing = this.services.get(service);
    if (existing) return existing;
    const {getView, isWaitingEnabled, random} = this.options;
    const state: ServiceState = {
      service,
      queue: new ServiceQueue({
        getView: nowMs => {
          const view = getView(service, state.openRequests, nowMs);
          return isWaitingEnabled(service, nowMs) ? view : {...view, isFleetKnown: false};
        },
        maxWaiting: MAX_WAITING,
        random,
      }),
      waiting: new Map(),
      openRequests: 0,
      isStarting: false,
    };
    this.services.set(service, state);
    return state;
  }
}

/**
 * A caller that comes back after a refusal states the time that it has left. That shows when it first tried, unless it
 * always waits for less than the route's timeout.
 */
function toServiceRequest(admitted: AdmittedRequest, requestId: string): ServiceRequest {
  const {request, route, workspace, priority, deadlineAtMs} = admitted;
  return {
    requestId,
    workspace: workspace ?? '',
    kind: getKind(admitted),
    priority,
    receivedAtMs: request.receivedAtMs,
    firstTryAtMs: Math.min(request.receivedAtMs, deadlineAtMs - route.timeoutMs),
    deadlineAtMs,
    latencyTargetMs: route.latencyTargetMs,
  };
}

/** Returns a name that is shared by the requests of a route with prompts of about the same size. */
function getKind({request, route}: AdmittedRequest): string {
  const tokens = request.promptParts.reduce((sum, part) => sum + part.tokens, 0);
  const factor = Math.max(1, tokens / SMALL_PROMPT_TOKENS);
  return `${route.name} ${Math.ceil(Math.log(factor) / Math.log(SIZE_BAND_FACTOR))}`;
}
