/** Orders waiting requests by class and by fair share of their workspace. */
import type {AdmissionLimits, AdmissionRequest, WorkspaceLimit} from './AdmissionTypes.js';

/** A request with the instant since which it has waited. */
export interface WaitingRequest extends AdmissionRequest {
  readonly queuedAtMs: number;
}

/** Every so many requests, the one that has waited longest goes first whatever its class. */
const OLDEST_FIRST_EVERY = 8;

/**
 * Start-time fair queueing over workspaces, classes by priority before it.
 *
 * Each admission advances its workspace's virtual time by the inverse of the weight; among waiting requests of the most
 * urgent class, the workspace that is furthest behind goes next.
 */
export class FairQueue {
  private readonly waiting = new Map<string, WaitingRequest>();
  private readonly virtualTimes = new Map<string, number>();
  private virtualTime = 0;
  private taken = 0;

  /**
   * Adds a request at the end.
   * @param request - The request.
   */
  addRequest(request: WaitingRequest): void {
    this.waiting.set(request.requestId, request);
  }

  /**
   * Takes a request out without admitting it.
   * @param requestId - The request.
   * @returns The request; undefined where it doesn't wait.
   */
  removeRequest(requestId: string): WaitingRequest | undefined {
    const request = this.waiting.get(requestId);
    this.waiting.delete(requestId);
    return request;
  }

  /**
   * Takes out the request that goes next; one whose deadline has passed stays until it is removed.
   * @param limits - Weights and priorities in force.
   * @param nowMs - Present time.
   */
  takeNext(limits: AdmissionLimits, nowMs: number): WaitingRequest | undefined {
    const next = this.chooseNext(limits, nowMs);
    if (!next) return undefined;
    this.waiting.delete(next.requestId);
    this.taken += 1;
    this.addService(limits, next.workspace);
    return next;
  }

  /**
   * Notes that a workspace was served, through the queue or past it.
   * @param limits - Weights in force.
   * @param workspace - The workspace.
   */
  addService(limits: AdmissionLimits, workspace: string): void {
    const startTime = this.getStartTime(workspace);
    this.virtualTime = startTime;
    const {shareWeight} = getWorkspaceLimit(limits, workspace);
    this.virtualTimes.set(workspace, startTime + 1 / shareWeight);
  }

  /**
   * Returns the newest request of the workspace that holds the most places for its weight, where that is another
   * workspace than the given one and holds more than that one would.
   * @param limits - Weights in force.
   * @param workspace - Workspace that asks for a place.
   */
  getDisplaceable(limits: AdmissionLimits, workspace: string): WaitingRequest | undefined {
    const weighted = (name: string, extra: number) =>
      (this.getCount(name) + extra) / getWorkspaceLimit(limits, name).shareWeight;
    const names = [...new Set([...this.waiting.values()].map(request => request.workspace))];
    const largest = names.sort((a, b) => weighted(b, 0) - weighted(a, 0)).at(0);
    if (largest === undefined || largest === workspace) return undefined;
    if (weighted(largest, 0) <= weighted(workspace, 1)) return undefined;
    return [...this.waiting.values()].filter(request => request.workspace === largest).at(-1);
  }

  /** Returns the requests that wait, the oldest first. */
  getRequests(): readonly WaitingRequest[] {
    return [...this.waiting.values()];
  }

  /** Returns how many requests wait. */
  getSize(): number {
    return this.waiting.size;
  }

  /**
   * Returns how many waiting requests go before one of a class, whatever their workspace.
   * @param limits - Priorities in force.
   * @param requestClass - The class.
   */
  getCountBefore(limits: AdmissionLimits, requestClass: string): number {
    const priority = getPriority(limits, requestClass);
    return [...this.waiting.values()].filter(
      request => getPriority(limits, request.requestClass) <= priority,
    ).length;
  }

  private chooseNext(limits: AdmissionLimits, nowMs: number): WaitingRequest | undefined {
    const [oldest, ...others] = this.getRequests().filter(({deadlineAtMs}) => deadlineAtMs > nowMs);
    if (!oldest) return undefined;
    if (this.taken % OLDEST_FIRST_EVERY === OLDEST_FIRST_EVERY - 1) return oldest;
    return others.reduce((a, b) => (this.compare(limits, b, a) < 0 ? b : a), oldest);
  }

  private compare(limits: AdmissionLimits, a: WaitingRequest, b: WaitingRequest): number {
    return (
      getPriority(limits, a.requestClass) - getPriority(limits, b.requestClass) ||
      this.getStartTime(a.workspace) - this.getStartTime(b.workspace)
    );
  }

  /** An idle workspace starts at the present virtual time, so that it can't save up its share. */
  private getStartTime(workspace: string): number {
    return Math.max(this.virtualTime, this.virtualTimes.get(workspace) ?? 0);
  }

  private getCount(workspace: string): number {
    return [...this.waiting.values()].filter(request => request.workspace === workspace).length;
  }
}

/**
 * Returns the priority of a class. A class that isn't configured, such as that of plain services, goes with the first.
 * @param limits - Priorities in force.
 * @param requestClass - The class.
 */
export function getPriority(limits: AdmissionLimits, requestClass: string): number {
  const found = limits.requestClasses.find(({name}) => name === requestClass);
  return found?.priority ?? 0;
}

/**
 * Returns share and bound of a workspace; one that isn't configured has no place.
 * @param limits - Limits in force.
 * @param workspace - The workspace.
 */
export function getWorkspaceLimit(limits: AdmissionLimits, workspace: string): WorkspaceLimit {
  const found = limits.workspaces.find(({name}) => name === workspace);
  return found ?? {name: workspace, shareWeight: 1, maxOpenRequests: 0};
}
