/** Queue of requests that is ordered by class priority, then by the fair share of their workspaces. */
import type {AdmissionLimits, AdmissionRequest, WorkspaceLimit} from './AdmissionTypes.js';

/** A queued request. */
export interface QueuedRequest extends AdmissionRequest {
  /** Time at which the request was added to the queue. */
  readonly queuedAtMs: number;
}

/** One in this many dequeued requests is the oldest one whatever its class, so that low priorities don't starve. */
const OLDEST_FIRST_INTERVAL = 8;

/**
 * Start-time fair queueing over workspaces, below a strict priority of request classes.
 *
 * Each admission advances the virtual time of its workspace by the inverse of the workspace's weight. Among the queued
 * requests of the class with the lowest priority number, one of the workspace with the least virtual time is next.
 */
export class FairQueue {
  private readonly queuedRequests = new Map<string, QueuedRequest>();
  /** Virtual time up to which each workspace has used its share. */
  private readonly virtualTimes = new Map<string, number>();
  private virtualTime = 0;
  private dequeuedCount = 0;

  /** Adds a request as the newest one. */
  addRequest(request: QueuedRequest): void {
    this.queuedRequests.set(request.requestId, request);
  }

  /**
   * Removes a request without charging its workspace.
   * @returns The request; undefined if it isn't queued.
   */
  removeRequest(requestId: string): QueuedRequest | undefined {
    const request = this.queuedRequests.get(requestId);
    this.queuedRequests.delete(requestId);
    return request;
  }

  /**
   * Removes the next request to admit and charges its workspace. Skips requests whose deadline has passed; they stay
   * queued until `removeRequest` is called for them.
   * @returns The request; undefined if there is none.
   */
  dequeueNext(limits: AdmissionLimits, nowMs: number): QueuedRequest | undefined {
    const next = this.chooseNext(limits, nowMs);
    if (!next) return undefined;
    this.queuedRequests.delete(next.requestId);
    this.dequeuedCount += 1;
    this.recordAdmission(limits, next.workspace);
    return next;
  }

  /** Advances the virtual time of a workspace for an admitted request, whether it was queued or not. */
  recordAdmission(limits: AdmissionLimits, workspace: string): void {
    const startTime = this.getStartTime(workspace);
    this.virtualTime = startTime;
    const {shareWeight} = getWorkspaceLimit(limits, workspace);
    this.virtualTimes.set(workspace, startTime + 1 / shareWeight);
  }

  /**
   * Returns the request to displace from a full queue: the newest one of the workspace with the most queued requests
   * per weight. Undefined if that is the given workspace, or if the given one would have at least as many with the new
   * request.
   * @param workspace - Workspace of the new request.
   */
  getDisplaceableRequest(limits: AdmissionLimits, workspace: string): QueuedRequest | undefined {
    const queuedPerWeight = (name: string, additional: number) =>
      (this.countQueued(name) + additional) / getWorkspaceLimit(limits, name).shareWeight;
    const names = [...new Set([...this.queuedRequests.values()].map(request => request.workspace))];
    const largestWorkspace = names
      .sort((a, b) => queuedPerWeight(b, 0) - queuedPerWeight(a, 0))
      .at(0);
    if (largestWorkspace === undefined || largestWorkspace === workspace) return undefined;
    if (queuedPerWeight(largestWorkspace, 0) <= queuedPerWeight(workspace, 1)) return undefined;
    return [...this.queuedRequests.values()]
      .filter(request => request.workspace === largestWorkspace)
      .at(-1);
  }

  /** Returns the queued requests, oldest first. */
  getRequests(): readonly QueuedRequest[] {
    return [...this.queuedRequests.values()];
  }

  /** Returns the number of queued requests. */
  getSize(): number {
    return this.queuedRequests.size;
  }

  /** Counts the queued requests of the same or a more urgent class, over all workspaces. */
  getCountAhead(limits: AdmissionLimits, requestClass: string): number {
    const priority = getPriority(limits, requestClass);
    return [...this.queuedRequests.values()].filter(
      request => getPriority(limits, request.requestClass) <= priority,
    ).length;
  }

  private chooseNext(limits: AdmissionLimits, nowMs: number): QueuedRequest | undefined {
    const [oldest, ...others] = this.getRequests().filter(({deadlineAtMs}) => deadlineAtMs > nowMs);
    if (!oldest) return undefined;
    if (this.dequeuedCount % OLDEST_FIRST_INTERVAL === OLDEST_FIRST_INTERVAL - 1) return oldest;
    return others.reduce((a, b) => (this.compare(limits, b, a) < 0 ? b : a), oldest);
  }

  private compare(limits: AdmissionLimits, a: QueuedRequest, b: QueuedRequest): number {
    return (
      getPriority(limits, a.requestClass) - getPriority(limits, b.requestClass) ||
      this.getStartTime(a.workspace) - this.getStartTime(b.workspace)
    );
  }

  /** An idle workspace starts at the current virtual time, so that it doesn't accumulate credit while idle. */
  private getStartTime(workspace: string): number {
    return Math.max(this.virtualTime, this.virtualTimes.get(workspace) ?? 0);
  }

  private countQueued(workspace: string): number {
    return [...this.queuedRequests.values()].filter(request => request.workspace === workspace)
      .length;
  }
}

/** Returns the priority of a class; 0 if it isn't configured, as for the requests of plain services. */
export function getPriority(limits: AdmissionLimits, requestClass: string): number {
  const found = limits.requestClasses.find(({name}) => name === requestClass);
  return found?.priority ?? 0;
}

/** Returns the limits of a workspace. One that isn't configured may have no requests. */
export function getWorkspaceLimit(limits: AdmissionLimits, workspace: string): WorkspaceLimit {
  const found = limits.workspaces.find(({name}) => name === workspace);
  return found ?? {name: workspace, shareWeight: 1, maxOpenRequests: 0};
}
