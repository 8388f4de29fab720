/** Admission control: a limit on running requests, with a bounded, weighted-fair queue for those above it. */
import {ServingError, type ErrorKind} from '../../errors/index.js';
import type {AdmissionDecision, AdmissionLimits, AdmissionRequest} from './AdmissionTypes.js';
import {FairQueue, getPriority, getWorkspaceLimit, type QueuePlace} from './FairQueue.js';

/** Options of an `AdmissionQueue`. */
export interface AdmissionQueueOptions {
  /** Returns the current limits. Called on every operation, so that a new configuration takes effect at once. */
  readonly getLimits: () => AdmissionLimits;
}

/** Weight of a new sample in the moving average of the time between two request completions. */
const INTERVAL_SAMPLE_WEIGHT = 0.2;

/**
 * Admits, queues or refuses each request.
 *
 * When the queue is full, a request of a workspace below its fair share displaces the newest request of the workspace
 * that is furthest above its share. Otherwise a large workspace could shut out a small one by filling the queue first.
 */
export class AdmissionQueue {
  private readonly options: AdmissionQueueOptions;
  private readonly queue = new FairQueue();
  private readonly running = new Map<string, AdmissionRequest>();
  /** Running and queued requests by workspace. */
  private readonly openCounts = new Map<string, number>();
  private meanCompletionIntervalMs: number | undefined;
  private lastCompletionAtMs: number | undefined;

  constructor(options: AdmissionQueueOptions) {
    this.options = options;
  }

  /**
   * Admits, queues or refuses a new request.
   * @param nowMs - Current time, on the same clock as the request's `deadlineAtMs`.
   * @throws ServingError if a request with this id is already running or queued.
   */
  addRequest(request: AdmissionRequest, nowMs: number): AdmissionDecision {
    const {requestId, workspace} = request;
    if (this.hasRequest(requestId)) {
      throw new ServingError(`request ${requestId} is already running or queued`, {
        kind: 'internal',
      });
    }
    const limits = this.options.getLimits();
    if (request.deadlineAtMs <= nowMs) return refuse('deadline-unreachable', 'deadline has passed');
    if (this.getOpenCount(workspace) >= getWorkspaceLimit(limits, workspace).maxOpenRequests) {
      return refuse('over-workspace-limit', `workspace ${workspace} has too many open requests`);
    }
    if (this.queue.getSize() === 0 && this.running.size < limits.maxRunningRequests) {
      this.queue.recordAdmission(workspace, getWorkspaceLimit(limits, workspace).shareWeight);
      this.running.set(requestId, request);
      this.changeOpenCount(workspace, 1);
      return {kind: 'admitted'};
    }
    return this.enqueueOrRefuse(request, limits, nowMs);
  }

  /**
   * Removes a running or queued request that has completed or was cancelled. Unknown ids are ignored.
   * @returns Ids of the queued requests that are admitted in its place.
   */
  removeRequest(requestId: string, nowMs: number): readonly string[] {
    const wasRunning = this.running.has(requestId);
    const request = this.running.get(requestId) ?? this.queue.removeRequest(requestId);
    if (!request) return [];
    if (wasRunning) this.recordCompletion(nowMs);
    this.running.delete(requestId);
    this.changeOpenCount(request.workspace, -1);
    return this.admitQueued(nowMs);
  }

  /**
   * Admits queued requests up to the limit of running requests. Must also be called after that limit was raised.
   * @returns Ids of the admitted requests.
   */
  admitQueued(nowMs: number): readonly string[] {
    const limits = this.options.getLimits();
    const admitted: string[] = [];
    while (this.running.size < limits.maxRunningRequests) {
      const next = this.queue.dequeueNext(nowMs);
      if (!next) break;
      this.running.set(next.requestId, next);
      admitted.push(next.requestId);
    }
    return admitted;
  }

  /**
   * Removes queued requests whose deadline has passed.
   * @returns Ids of the removed requests.
   */
  removeExpired(nowMs: number): readonly string[] {
    const expired = this.queue.removeExpired(nowMs);
    for (const {workspace} of expired) this.changeOpenCount(workspace, -1);
    return expired.map(({requestId}) => requestId);
  }

  /** Returns the number of running requests. */
  getRunningCount(): number {
    return this.running.size;
  }

  /** Returns the number of queued requests. */
  getQueuedCount(): number {
    return this.queue.getSize();
  }

  /** Estimates a new request's queueing time from the mean interval between completions; 0 until one was measured. */
  getExpectedWaitMs(place: QueuePlace): number {
    return (this.queue.getCountAhead(place) + 1) * (this.meanCompletionIntervalMs ?? 0);
  }

  private enqueueOrRefuse(
    request: AdmissionRequest,
    limits: AdmissionLimits,
    nowMs: number,
  ): AdmissionDecision {
    const {workspace, requestClass, deadlineAtMs} = request;
    const place = {
      workspace,
      priority: getPriority(limits, requestClass),
      shareWeight: getWorkspaceLimit(limits, workspace).shareWeight,
    };
    const waitMs = this.getExpectedWaitMs(place);
    if (nowMs + waitMs >= deadlineAtMs) {
      return refuse(
        'deadline-unreachable',
        `expected queueing time of ${Math.ceil(waitMs)} ms exceeds the deadline`,
      );
    }
    const isFull = this.queue.getSize() >= limits.maxQueuedRequests;
    const displaced = isFull ? this.queue.getDisplaceableRequest(place) : undefined;
    if (isFull && !displaced) {
      return refuse('overloaded', `queue is full with ${this.queue.getSize()} requests`);
    }
    if (displaced) {
      this.queue.removeRequest(displaced.requestId);
      this.changeOpenCount(displaced.workspace, -1);
    }
    this.queue.addRequest({...request, ...place, queuedAtMs: nowMs});
    this.changeOpenCount(workspace, 1);
    return {kind: 'queued', displacedRequestId: displaced?.requestId};
  }

  private recordCompletion(nowMs: number): void {
    const {lastCompletionAtMs, meanCompletionIntervalMs} = this;
    this.lastCompletionAtMs = nowMs;
    if (lastCompletionAtMs === undefined || this.queue.getSize() === 0) return;
    const intervalMs = nowMs - lastCompletionAtMs;
    this.meanCompletionIntervalMs =
      meanCompletionIntervalMs === undefined
        ? intervalMs
        : meanCompletionIntervalMs +
          INTERVAL_SAMPLE_WEIGHT * (intervalMs - meanCompletionIntervalMs);
  }

  private hasRequest(requestId: string): boolean {
    return this.running.has(requestId) || this.queue.hasRequest(requestId);
  }

  private getOpenCount(workspace: string): number {
    return this.openCounts.get(workspace) ?? 0;
  }

  private changeOpenCount(workspace: string, change: number): void {
    const count = this.getOpenCount(workspace) + change;
    if (count > 0) this.openCounts.set(workspace, count);
    else this.openCounts.delete(workspace);
  }
}

function refuse(errorKind: ErrorKind, reason: string): AdmissionDecision {
  return {kind: 'refused', errorKind, reason};
}
