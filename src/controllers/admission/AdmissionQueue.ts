/** Admits requests by class and fair share of their workspace, and lets the others wait in bounded queues. */
import {ServingError, type ErrorKind} from '../../errors/index.js';
import type {
  AdmissionDecision,
  AdmissionLimits,
  AdmissionRequest,
  WorkspaceLimit,
} from './AdmissionTypes.js';

/** Options of an `AdmissionQueue`. */
export interface AdmissionQueueOptions {
  /** Returns the limits in force; asked at each call. */
  readonly getLimits: () => AdmissionLimits;
}

/** Every so many admissions from the queue, the request that has waited longest goes first. */
const OLDEST_FIRST_EVERY = 8;

interface WaitingRequest extends AdmissionRequest {
  readonly queuedAtMs: number;
}

/**
 * Start-time fair queueing over workspaces, classes by priority before it.
 *
 * Each admission advances its workspace's virtual time by the inverse of the weight; among waiting requests of the most
 * urgent class, the workspace that is furthest behind goes next.
 */
export class AdmissionQueue {
  private readonly options: AdmissionQueueOptions;
  private readonly running = new Map<string, AdmissionRequest>();
  private readonly waiting = new Map<string, WaitingRequest>();
  private readonly virtualTimes = new Map<string, number>();
  private readonly openCounts = new Map<string, number>();
  private virtualTime = 0;
  private admittedFromQueue = 0;

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
    if (this.running.has(requestId) || this.waiting.has(requestId)) {
      throw new ServingError(`request ${requestId} is open already`, {kind: 'internal'});
    }
    const limits = this.options.getLimits();
    if (request.deadlineAtMs <= nowMs) return refuse('deadline-unreachable', 'deadline has passed');
    if (this.getOpenCount(workspace) >= getWorkspaceLimit(limits, workspace).maxOpenRequests) {
      return refuse('over-workspace-limit', `workspace ${workspace} has too many open requests`);
    }
    if (this.waiting.size === 0 && this.running.size < limits.maxRunningRequests) {
      this.admit(request, limits);
      this.changeOpenCount(workspace, 1);
      return {kind: 'admitted'};
    }
    if (this.waiting.size >= limits.maxQueuedRequests) {
      return refuse('overloaded', `${this.waiting.size} requests are waiting`);
    }
    this.waiting.set(requestId, {...request, queuedAtMs: nowMs});
    this.changeOpenCount(workspace, 1);
    return {kind: 'queued'};
  }

  /**
   * Notes that a request ended or was given up, waiting or running.
   * @param requestId - The request.
   * @param nowMs - Present time.
   * @returns Requests that are admitted now.
   */
  removeRequest(requestId: string, nowMs: number): readonly string[] {
    const request = this.running.get(requestId) ?? this.waiting.get(requestId);
    if (!request) return [];
    this.running.delete(requestId);
    this.waiting.delete(requestId);
    this.changeOpenCount(request.workspace, -1);
    return this.admitWaiting(nowMs);
  }

  /**
   * Admits waiting requests where limits have grown.
   * @param nowMs - Present time.
   * @returns Requests that are admitted now.
   */
  admitWaiting(nowMs: number): readonly string[] {
    const limits = this.options.getLimits();
    const admitted: string[] = [];
    while (this.running.size < limits.maxRunningRequests) {
      const next = this.chooseNext(limits, nowMs);
      if (!next) break;
      this.waiting.delete(next.requestId);
      this.admit(next, limits);
      this.admittedFromQueue += 1;
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
    const expired = [...this.waiting.values()].filter(({deadlineAtMs}) => deadlineAtMs <= nowMs);
    for (const {requestId, workspace} of expired) {
      this.waiting.delete(requestId);
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
    return this.waiting.size;
  }

  private admit(request: AdmissionRequest, limits: AdmissionLimits): void {
    const {workspace} = request;
    const startTime = this.getStartTime(workspace);
    this.virtualTime = startTime;
    const {shareWeight} = getWorkspaceLimit(limits, workspace);
    this.virtualTimes.set(workspace, startTime + 1 / shareWeight);
    this.running.set(request.requestId, request);
  }

  /** An idle workspace starts at the present virtual time, so that it can't save up its share. */
  private getStartTime(workspace: string): number {
    return Math.max(this.virtualTime, this.virtualTimes.get(workspace) ?? 0);
  }

  private chooseNext(limits: AdmissionLimits, nowMs: number): WaitingRequest | undefined {
    const candidates = [...this.waiting.values()].filter(({deadlineAtMs}) => deadlineAtMs > nowMs);
    if (candidates.length === 0) return undefined;
    if (this.admittedFromQueue % OLDEST_FIRST_EVERY === OLDEST_FIRST_EVERY - 1) {
      return candidates.reduce((a, b) => (b.queuedAtMs < a.queuedAtMs ? b : a));
    }
    return candidates.reduce((a, b) => (this.compare(limits, b, a) < 0 ? b : a));
  }

  private compare(limits: AdmissionLimits, a: WaitingRequest, b: WaitingRequest): number {
    return (
      getPriority(limits, a.requestClass) - getPriority(limits, b.requestClass) ||
      this.getStartTime(a.workspace) - this.getStartTime(b.workspace)
    );
  }

  private getOpenCount(workspace: string): number {
    return this.openCounts.get(workspace) ?? 0;
  }

  private changeOpenCount(workspace: string, change: number): void {
    this.openCounts.set(workspace, this.getOpenCount(workspace) + change);
  }
}

function refuse(errorKind: ErrorKind, reason: string): AdmissionDecision {
  return {kind: 'refused', errorKind, reason};
}

function getPriority(limits: AdmissionLimits, requestClass: string): number {
  const found = limits.requestClasses.find(({name}) => name === requestClass);
  return found?.priority ?? Number.MAX_SAFE_INTEGER;
}

function getWorkspaceLimit(limits: AdmissionLimits, workspace: string): WorkspaceLimit {
  const found = limits.workspaces.find(({name}) => name === workspace);
  return found ?? {name: workspace, shareWeight: 1, maxOpenRequests: 0};
}
