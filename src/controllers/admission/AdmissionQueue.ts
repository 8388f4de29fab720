/** Admits requests while there is room, and lets the others wait in a bounded and fair queue. */
import {ServingError, type ErrorKind} from '../../errors/index.js';
import type {AdmissionDecision, AdmissionLimits, AdmissionRequest} from './AdmissionTypes.js';
import {FairQueue, getWorkspaceLimit} from './FairQueue.js';

/** Options of an `AdmissionQueue`. */
export interface AdmissionQueueOptions {
  /** Returns the limits in force; asked at each call. */
  readonly getLimits: () => AdmissionLimits;
}

/** Weight of a new sample in the mean time between ends of requests. */
const INTERVAL_SAMPLE_WEIGHT = 0.2;

/**
 * Gives each request a place to run, a place to wait, or a refusal.
 *
 * A full queue makes room for a workspace below its share by displacing the newest request of the one that holds the
 * most, so that a large workspace can't shut out a small one by filling the queue first.
 */
export class AdmissionQueue {
  private readonly options: AdmissionQueueOptions;
  private readonly queue = new FairQueue();
  private readonly running = new Map<string, AdmissionRequest>();
  private readonly openCounts = new Map<string, number>();
  private meanIntervalMs: number | undefined;
  private lastEndAtMs: number | undefined;

  constructor(options: AdmissionQueueOptions) {
    this.options = options;
  }

  /**
   * Asks to admit a request.
   * @param request - The request.
   * @param nowMs - Present time.
   */
  addRequest(request: AdmissionRequest, nowMs: number): AdmissionDecision {
    const {requestId, workspace} = request;
    if (this.hasRequest(requestId)) {
      throw new ServingError(`request ${requestId} is open already`, {kind: 'internal'});
    }
    const limits = this.options.getLimits();
    if (request.deadlineAtMs <= nowMs) return refuse('deadline-unreachable', 'deadline has passed');
    if (this.getOpenCount(workspace) >= getWorkspaceLimit(limits, workspace).maxOpenRequests) {
      return refuse('over-workspace-limit', `workspace ${workspace} has too many open requests`);
    }
    if (this.queue.getSize() === 0 && this.running.size < limits.maxRunningRequests) {
      this.queue.addService(limits, workspace);
      this.running.set(requestId, request);
      this.changeOpenCount(workspace, 1);
      return {kind: 'admitted'};
    }
    return this.addWaiting(request, limits, nowMs);
  }

  /**
   * Notes that a request ended or was given up, waiting or running.
   * @param requestId - The request.
   * @param nowMs - Present time.
   * @returns Requests that are admitted now.
   */
  removeRequest(requestId: string, nowMs: number): readonly string[] {
    const wasRunning = this.running.has(requestId);
    const request = this.running.get(requestId) ?? this.queue.removeRequest(requestId);
    if (!request) return [];
    if (wasRunning) this.addEnd(nowMs);
    this.running.delete(requestId);
    this.changeOpenCount(request.workspace, -1);
    return this.admitWaiting(nowMs);
  }

  /**
   * Admits waiting requests, as far as there is room; to be called too where limits have grown.
   * @param nowMs - Present time.
   * @returns Requests that are admitted now.
   */
  admitWaiting(nowMs: number): readonly string[] {
    const limits = this.options.getLimits();
    const admitted: string[] = [];
    while (this.running.size < limits.maxRunningRequests) {
      const next = this.queue.takeNext(limits, nowMs);
      if (!next) break;
      this.running.set(next.requestId, next);
      admitted.push(next.requestId);
    }
    return admitted;
  }

  /**
   * Removes waiting requests whose deadline has passed.
   * @param nowMs - Present time.
   * @returns The removed requests.
   */
  removeExpired(nowMs: number): readonly string[] {
    const expired = this.queue.getRequests().filter(({deadlineAtMs}) => deadlineAtMs <= nowMs);
    for (const {requestId, workspace} of expired) {
      this.queue.removeRequest(requestId);
      this.changeOpenCount(workspace, -1);
    }
    return expired.map(({requestId}) => requestId);
  }

  /** Returns how many requests run. */
  getRunningCount(): number {
    return this.running.size;
  }

  /** Returns how many requests wait. */
  getWaitingCount(): number {
    return this.queue.getSize();
  }

  /**
   * Returns the time that a new request of a class would wait, from the pace at which requests end; 0 while unknown.
   * @param requestClass - The class.
   */
  getExpectedWaitMs(requestClass: string): number {
    const before = this.queue.getCountBefore(this.options.getLimits(), requestClass);
    return (before + 1) * (this.meanIntervalMs ?? 0);
  }

  private addWaiting(
    request: AdmissionRequest,
    limits: AdmissionLimits,
    nowMs: number,
  ): AdmissionDecision {
    const {workspace, requestClass, deadlineAtMs} = request;
    const waitMs = this.getExpectedWaitMs(requestClass);
    if (nowMs + waitMs >= deadlineAtMs) {
      return refuse('deadline-unreachable', `its turn would come in ${Math.ceil(waitMs)} ms`);
    }
    const isFull = this.queue.getSize() >= limits.maxQueuedRequests;
    const displaced = isFull ? this.queue.getDisplaceable(limits, workspace) : undefined;
    if (isFull && !displaced) {
      return refuse('overloaded', `${this.queue.getSize()} requests are waiting`);
    }
    if (displaced) {
      this.queue.removeRequest(displaced.requestId);
      this.changeOpenCount(displaced.workspace, -1);
    }
    this.queue.addRequest({...request, queuedAtMs: nowMs});
    this.changeOpenCount(workspace, 1);
    return {kind: 'queued', displacedRequestId: displaced?.requestId};
  }

  private addEnd(nowMs: number): void {
    const {lastEndAtMs, meanIntervalMs} = this;
    this.lastEndAtMs = nowMs;
    if (lastEndAtMs === undefined || this.queue.getSize() === 0) return;
    const intervalMs = nowMs - lastEndAtMs;
    this.meanIntervalMs =
      meanIntervalMs === undefined
        ? intervalMs
        : meanIntervalMs + INTERVAL_SAMPLE_WEIGHT * (intervalMs - meanIntervalMs);
  }

  private hasRequest(requestId: string): boolean {
    return (
      this.running.has(requestId) ||
      this.queue.getRequests().some(request => request.requestId === requestId)
    );
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
