/** One gateway's waiting requests of one service: which start, which wait, and which are refused. */
import {FairQueue, type QueuePlace} from './FairQueue.js';
import {ServiceRoom, type ServiceLoadView} from './ServiceRoom.js';
import {ServiceTimes} from './ServiceTimes.js';
import {StartRate} from './StartRate.js';

/** A request before a server is chosen for it. All times are monotonic time in milliseconds. */
export interface ServiceRequest {
  readonly requestId: string;
  /** Requests of one workspace share a part of the service; empty for callers without one. */
  readonly workspace: string;
  /** Requests of one kind take similar times. */
  readonly kind: string;
  /** A lower number is served first. */
  readonly priority: number;
  readonly receivedAtMs: number;
  /** Time of the caller's first try, as far as it is known. */
  readonly firstTryAtMs: number;
  readonly deadlineAtMs: number;
  /** Target time from the arrival to the first event or the response; 0 for none. */
  readonly latencyTargetMs: number;
}

/** Why a waiting or new request is refused. */
export type QueueRefusal = 'too-late' | 'queue-full' | 'displaced' | 'expired';

/** What happens to a new request. */
export type QueueDecision =
  | {readonly kind: 'started'}
  | {
      readonly kind: 'waiting';
      /** Requests that were removed for this one; empty if the queue wasn't full. */
      readonly displacedRequestIds: readonly string[];
    }
  | {readonly kind: 'refused'; readonly reason: QueueRefusal; readonly retryAfterMs: number};

/** Constructor options of `ServiceQueue`. */
export interface ServiceQueueOptions {
  /** Returns the present load of the service; called at most every 50 ms, and only while there are requests. */
  readonly getView: (nowMs: number) => ServiceLoadView;
  /** Most requests that may wait. */
  readonly maxWaiting: number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** Share of the time to the target that counts as its useful wait, which bounds the length of the queue. */
const USEFUL_SLACK_SHARE = 0.5;
/** Share of the time to the target that a new request may be expected to wait; the rest covers errors of the estimate. */
const MAX_SLACK_SHARE = 0.9;
/** Share of the target that a request may wait in any case, so that requests are ready when slots become free. */
const MIN_WAIT_SHARE = 0.2;
/** Time after which the shortest useful wait is replaced by a longer one, as when no requests of its kind arrive any more. */
const SHORTEST_WAIT_EXPIRY_MS = 1_000;
/** Multiple of the shortest useful wait after which a request may be displaced, whatever its kind. */
const MAX_WAIT_FACTOR = 1.4;
/** Requests that may wait while nothing is known of the rate, at least. */
const MIN_WAITING = 2;
/** Requests that one new request may displace, so that a queue that is too long becomes shorter. */
const MAX_DISPLACED = 3;
/** Share of the time left to the deadline; callers honour a delay of up to a third of it. */
const MAX_RETRY_SHARE = 0.3;
/** Bounds of the delay before a retry. Sooner, a retry meets the same queue. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1_500;

/** Queue of one service at one gateway. It is empty as long as slots are free. */
export class ServiceQueue {
  private readonly options: ServiceQueueOptions;
  private readonly queue = new FairQueue();
  private readonly room = new ServiceRoom();
  private readonly rate = new StartRate();
  private readonly times = new ServiceTimes();
  /** Time since which there has been a waiting request, or since which the first one has waited for the next start. */
  private waitingSinceMs: number | undefined;
  /** Shortest useful wait of the recent requests; their kinds may all wait for about as long. */
  private shortestWaitMs = Infinity;
  private shortestWaitAtMs = -Infinity;

  constructor(options: ServiceQueueOptions) {
    this.options = options;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.queue.getSize();
  }

  /** Starts, queues or refuses a new request. */
  addRequest(request: ServiceRequest, nowMs: number): QueueDecision {
    this.updateRoom(nowMs);
    if (this.queue.getSize() === 0 && this.room.mayStart(this.times.getMeanTotalMs(), nowMs)) {
      this.queue.recordAdmission(request.workspace, 1);
      this.room.addRequest();
      return {kind: 'started'};
    }
    const {workspace} = request;
    const place = {workspace, priority: request.priority, shareWeight: 1};
    this.updateShortestWait(request, nowMs);
    const maxWaitMs = this.getMaxWaitMs(request, nowMs);
    const intervalMs = this.getIntervalMs(nowMs);
    const late = this.queue.getLateRequest(nowMs);
    const aheadCount = this.queue.getCountAhead(place) - (late ? 1 : 0);
    if (aheadCount > 0 && (aheadCount + 1) * (intervalMs ?? 0) > maxWaitMs) {
      return this.refuse(request, 'too-late', nowMs);
    }
    const displacedRequestIds = this.makePlace(place, this.getMaxWaiting(intervalMs), nowMs);
    if (!displacedRequestIds) return this.refuse(request, 'queue-full', nowMs);
    const {requestId, kind, firstTryAtMs, deadlineAtMs} = request;
    this.queue.addRequest({
      ...place,
      requestId,
      requestClass: kind,
      firstTryAtMs,
      deadlineAtMs: deadlineAtMs - (this.times.getFirstEventMs(kind) ?? 0),
      latestStartAtMs: Math.min(
        this.getLatestStartAtMs(request),
        nowMs + MAX_WAIT_FACTOR * this.shortestWaitMs,
      ),
      queuedAtMs: nowMs,
    });
    this.waitingSinceMs ??= nowMs;
    return {kind: 'waiting', displacedRequestIds};
  }

  /** Removes a waiting request whose caller has disconnected or whose gateway stops. */
  removeWaiting(requestId: string): void {
    this.queue.removeRequest(requestId);
    if (this.queue.getSize() === 0) this.waitingSinceMs = undefined;
  }

  /** Returns the ids of the waiting requests that start now, in their order. */
  startWaiting(nowMs: number): readonly string[] {
    if (this.queue.getSize() === 0) return [];
    this.updateRoom(nowMs);
    const started: string[] = [];
    while (this.queue.getSize() > 0 && this.room.mayStart(this.times.getMeanTotalMs(), nowMs)) {
      const next = this.queue.dequeueNext(nowMs);
      if (!next) break;
      this.recordWaitEnd(nowMs);
      this.room.addRequest();
      started.push(next.requestId);
    }
    return started;
  }

  /** Removes the waiting requests that can't be answered before their deadlines any more; returns their ids. */
  removeExpired(nowMs: number): readonly string[] {
    if (this.queue.getSize() === 0) return [];
    return this.queue.removeExpired(nowMs).map(({requestId}) => requestId);
  }

  /** Records the end of a started request. */
  addEnd(): void {
    this.room.removeRequest();
  }

  /**
   * Records how long an answered request took from its start.
   * @param firstEventMs - Time to its first event, or to the head of its response.
   */
  addAnswer(kind: string, firstEventMs: number, totalMs: number): void {
    this.times.addSample(kind, firstEventMs, totalMs);
  }

  /** Returns the delay before the caller of a refused request may retry, spread and within what callers honour. */
  getRetryAfterMs({deadlineAtMs}: Pick<ServiceRequest, 'deadlineAtMs'>, nowMs: number): number {
    const maxMs = Math.min(MAX_RETRY_MS, Math.max(0, deadlineAtMs - nowMs) * MAX_RETRY_SHARE);
    const minMs = Math.min(MIN_RETRY_MS, maxMs);
    return minMs + this.options.random() * (maxMs - minMs);
  }

  /**
   * Returns how many requests may wait. While nothing is known of the rate, they may be as many as this gateway may have
   * open; otherwise as many as are started while the one with the least time waits.
   */
  private getMaxWaiting(intervalMs: number | undefined): number {
    const {maxWaiting} = this.options;
    if (intervalMs === undefined) {
      return Math.min(
        maxWaiting,
        Math.max(MIN_WAITING, Math.ceil(this.room.getEvenPart() ?? Infinity)),
      );
    }
    return Math.min(maxWaiting, Math.max(1, Math.floor(this.shortestWaitMs / intervalMs)));
  }

  /**
   * Removes requests if the queue is full: first those that can't meet their targets any more, then one of a workspace
   * above its share.
   * @returns Ids of the removed requests; undefined if there is no place.
   */
  private makePlace(
    place: QueuePlace,
    maxWaiting: number,
    nowMs: number,
  ): readonly string[] | undefined {
    const displacedIds: string[] = [];
    while (this.queue.getSize() >= maxWaiting && displacedIds.length < MAX_DISPLACED) {
      const late = this.queue.getLateRequest(nowMs);
      const displaced =
        late ?? (displacedIds.length === 0 ? this.queue.getDisplaceableRequest(place) : undefined);
      if (!displaced) return displacedIds.length > 0 ? displacedIds : undefined;
      this.queue.removeRequest(displaced.requestId);
      displacedIds.push(displaced.requestId);
    }
    return displacedIds;
  }

  /** Returns the interval between the starts of waiting requests; undefined while nothing is known of it. */
  private getIntervalMs(nowMs: number): number | undefined {
    const sinceMs = nowMs - (this.waitingSinceMs ?? nowMs);
    const learnedMs = this.rate.getIntervalMs(nowMs);
    return learnedMs === undefined ? this.getEvenIntervalMs() : Math.max(learnedMs, sinceMs);
  }

  /** Returns the interval between starts if this gateway has its even part of the slots. */
  private getEvenIntervalMs(): number | undefined {
    const serviceMs = this.times.getMeanTotalMs();
    const evenPart = this.room.getEvenPart();
    return serviceMs === undefined || evenPart === undefined ? undefined : serviceMs / evenPart;
  }

  /** Returns the estimated wait above which a new request is refused. */
  private getMaxWaitMs(request: ServiceRequest, nowMs: number): number {
    const {kind, latencyTargetMs, deadlineAtMs} = request;
    const untilDeadlineMs = deadlineAtMs - nowMs - (this.times.getTotalMs(kind) ?? 0);
    if (latencyTargetMs === 0) return untilDeadlineMs;
    const slackMs = this.getLatestStartAtMs(request) - nowMs;
    return Math.min(
      untilDeadlineMs,
      Math.max(slackMs * MAX_SLACK_SHARE, latencyTargetMs * MIN_WAIT_SHARE),
    );
  }

  private updateShortestWait(request: ServiceRequest, nowMs: number): void {
    const {latencyTargetMs} = request;
    if (latencyTargetMs === 0) return;
    const slackMs = this.getLatestStartAtMs(request) - nowMs;
    const usefulMs = Math.max(slackMs * USEFUL_SLACK_SHARE, latencyTargetMs * MIN_WAIT_SHARE);
    const isExpired = nowMs - this.shortestWaitAtMs > SHORTEST_WAIT_EXPIRY_MS;
    if (usefulMs > this.shortestWaitMs && !isExpired) return;
    this.shortestWaitMs = usefulMs;
    this.shortestWaitAtMs = nowMs;
  }

  /** Returns the last time at which a start meets the request's target. */
  private getLatestStartAtMs({kind, latencyTargetMs, receivedAtMs}: ServiceRequest): number {
    if (latencyTargetMs === 0) return Infinity;
    return receivedAtMs + latencyTargetMs - (this.times.getFirstEventMs(kind) ?? 0);
  }

  private recordWaitEnd(nowMs: number): void {
    this.rate.addStart(this.waitingSinceMs ?? nowMs, nowMs);
    this.waitingSinceMs = this.queue.getSize() > 0 ? nowMs : undefined;
  }

  private refuse(request: ServiceRequest, reason: QueueRefusal, nowMs: number): QueueDecision {
    return {kind: 'refused', reason, retryAfterMs: this.getRetryAfterMs(request, nowMs)};
  }

  private updateRoom(nowMs: number): void {
    if (this.room.isUpdateDue(nowMs)) this.room.update(this.options.getView(nowMs), nowMs);
  }
}
