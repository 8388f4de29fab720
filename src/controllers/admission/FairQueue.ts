/** Queue of requests that is ordered by priority, then by the fair share of their workspaces, then by their slack. */
import {IndexedHeap} from '../../utils/index.js';
import type {AdmissionLimits, AdmissionRequest, WorkspaceLimit} from './AdmissionTypes.js';

/** A queued request. */
export interface QueuedRequest extends AdmissionRequest {
  /** Time at which the request was added to the queue. */
  readonly queuedAtMs: number;
  /** A lower number is served first. */
  readonly priority: number;
  /** Weight of its workspace relative to the others. */
  readonly shareWeight: number;
}

/** Place of a new request in the queue. */
export type QueuePlace = Pick<QueuedRequest, 'workspace' | 'priority' | 'shareWeight'>;

interface Entry {
  readonly request: QueuedRequest;
  /** Rises with each added request. */
  readonly sequence: number;
  /** Time of the caller's first try, as far as it is known. */
  readonly arrivedAtMs: number;
  /** Time until which a start meets the request's target. */
  readonly latestStartAtMs: number;
  /** Order among the requests of a workspace that can still meet their targets. */
  readonly slackRank: number;
  readonly workspace: WorkspaceState;
  readonly backlog: Backlog;
  readonly kind: KindState;
}

/** A workspace, with its requests of all priorities. */
interface WorkspaceState {
  readonly name: string;
  /** Virtual time up to which the workspace has used its share. */
  virtualTime: number;
  shareWeight: number;
  readonly newestFirst: IndexedHeap<Entry>;
}

/** The requests of one workspace that have one priority. */
interface Backlog {
  readonly level: Level;
  readonly workspace: WorkspaceState;
  /** Virtual time of the workspace when this was last put into order; it only rises. */
  orderTime: number;
  readonly timely: IndexedHeap<Entry>;
  /** Requests that can't meet their targets any more. */
  readonly late: IndexedHeap<Entry>;
}

/** All requests of one priority. */
interface Level {
  readonly priority: number;
  readonly byWorkspace: Map<string, Backlog>;
  readonly leastServedFirst: IndexedHeap<Backlog>;
  size: number;
  totalWeight: number;
}

/** The requests of one kind, oldest first. */
interface KindState {
  readonly name: string;
  readonly oldestFirst: IndexedHeap<Entry>;
}

/** One in this many dequeued requests is chosen by its age or kind, whatever its priority, so that none starves. */
const ESCAPE_INTERVAL = 8;

/**
 * Start-time fair queueing over workspaces, below a strict order of priorities.
 *
 * Each admission advances the virtual time of its workspace by the inverse of the workspace's weight. Among the queued
 * requests with the lowest priority number, one of the workspace with the least virtual time is next: the one with the
 * least slack among those that can still meet their targets, then the oldest one of the others. Every eighth request is
 * in turn the oldest one of all and the oldest one of the kind that was served least recently.
 *
 * Each operation takes time logarithmic in the number of queued requests, apart from the number of priorities.
 */
export class FairQueue {
  private readonly entries = new Map<string, Entry>();
  private readonly workspaces = new Map<string, WorkspaceState>();
  /** In ascending order of their priority numbers; none is empty. */
  private levels: Level[] = [];
  /** Least recently served first; none is empty. */
  private readonly kinds = new Map<string, KindState>();
  private readonly oldestFirst = new IndexedHeap<Entry>(isOlder);
  private readonly earliestDeadlineFirst = new IndexedHeap<Entry>(
    (a, b) => a.request.deadlineAtMs < b.request.deadlineAtMs,
  );
  private readonly latestStartFirst = new IndexedHeap<Entry>(
    (a, b) => a.latestStartAtMs < b.latestStartAtMs,
  );
  /** Workspaces with queued requests; the one whose newest request is furthest above its share is first. */
  private readonly largestFirst = new IndexedHeap<WorkspaceState>(
    (a, b) => getLastFinishTime(a) > getLastFinishTime(b),
  );
  private virtualTime = 0;
  private dequeuedCount = 0;
  private sequence = 0;

  /** Adds a request as the newest one. */
  addRequest(request: QueuedRequest): void {
    const workspace = this.getWorkspace(request.workspace);
    if (workspace.newestFirst.size === 0) {
      // An idle workspace accumulates no credit.
      workspace.virtualTime = Math.max(workspace.virtualTime, this.virtualTime);
      workspace.shareWeight = request.shareWeight;
    }
    const arrivedAtMs = request.firstTryAtMs ?? request.queuedAtMs;
    const latestStartAtMs = request.latestStartAtMs ?? Infinity;
    const entry: Entry = {
      request,
      sequence: (this.sequence += 1),
      arrivedAtMs,
      latestStartAtMs,
      slackRank: latestStartAtMs - (request.queuedAtMs - arrivedAtMs),
      workspace,
      backlog: this.getBacklog(request.priority, workspace),
      kind: this.getKind(`${request.priority} ${request.requestClass}`),
    };
    this.entries.set(request.requestId, entry);
    const {backlog, kind} = entry;
    backlog.timely.add(entry);
    backlog.level.size += 1;
    kind.oldestFirst.add(entry);
    this.oldestFirst.add(entry);
    this.earliestDeadlineFirst.add(entry);
    if (latestStartAtMs < Infinity) this.latestStartFirst.add(entry);
    workspace.newestFirst.add(entry);
    if (this.largestFirst.has(workspace)) this.largestFirst.update(workspace);
    else this.largestFirst.add(workspace);
  }

  /**
   * Removes a request without charging its workspace.
   * @returns The request; undefined if it isn't queued.
   */
  removeRequest(requestId: string): QueuedRequest | undefined {
    const entry = this.entries.get(requestId);
    if (!entry) return undefined;
    this.unorder(entry);
    const {workspace} = entry;
    this.entries.delete(requestId);
    this.earliestDeadlineFirst.remove(entry);
    this.latestStartFirst.remove(entry);
    workspace.newestFirst.remove(entry);
    if (workspace.newestFirst.size > 0) this.largestFirst.update(workspace);
    else this.largestFirst.remove(workspace);
    return entry.request;
  }

  /**
   * Removes the next request to admit and charges its workspace. Skips requests whose deadline has passed; they stay
   * queued until `removeRequest` or `removeExpired` is called.
   * @returns The request; undefined if there is none.
   */
  dequeueNext(nowMs: number): QueuedRequest | undefined {
    const entry = this.chooseNext(nowMs);
    if (!entry) return undefined;
    const {requestId, workspace, shareWeight} = entry.request;
    this.kinds.delete(entry.kind.name);
    this.kinds.set(entry.kind.name, entry.kind);
    this.removeRequest(requestId);
    this.dequeuedCount += 1;
    this.recordAdmission(workspace, shareWeight);
    return entry.request;
  }

  /** Advances the virtual time of a workspace for an admitted request, whether it was queued or not. */
  recordAdmission(workspaceName: string, shareWeight: number): void {
    const workspace = this.getWorkspace(workspaceName);
    const startTime =
      workspace.newestFirst.size > 0
        ? workspace.virtualTime
        : Math.max(this.virtualTime, workspace.virtualTime);
    this.virtualTime = Math.max(this.virtualTime, startTime);
    workspace.virtualTime = startTime + 1 / shareWeight;
    this.largestFirst.update(workspace);
  }

  /**
   * Removes the requests whose deadlines have passed.
   * @returns The removed requests.
   */
  removeExpired(nowMs: number): readonly QueuedRequest[] {
    const expired: QueuedRequest[] = [];
    for (;;) {
      const first = this.earliestDeadlineFirst.peek();
      if (!first || first.request.deadlineAtMs > nowMs) return expired;
      this.removeRequest(first.request.requestId);
      expired.push(first.request);
    }
  }

  /**
   * Returns the request to displace for a new one: the newest one of the workspace furthest above its share, by what it
   * has been served and has queued. Undefined if that is the given workspace, or if the given one would be as far above
   * its share with the new request.
   */
  getDisplaceableRequest({
    workspace,
    shareWeight,
  }: Omit<QueuePlace, 'priority'>): QueuedRequest | undefined {
    const largest = this.largestFirst.peek();
    if (!largest || largest.name === workspace) return undefined;
    const own = this.workspaces.get(workspace);
    const queued = own?.newestFirst.size ?? 0;
    const ownTime = own?.virtualTime ?? 0;
    const startTime = queued > 0 ? ownTime : Math.max(this.virtualTime, ownTime);
    if (getLastFinishTime(largest) <= startTime + (queued + 1) / shareWeight) return undefined;
    return largest.newestFirst.peek()?.request;
  }

  /** Returns a queued request that can't meet its target any more; undefined if there is none. */
  getLateRequest(nowMs: number): QueuedRequest | undefined {
    const entry = this.latestStartFirst.peek();
    return entry && entry.latestStartAtMs < nowMs ? entry.request : undefined;
  }

  /** Returns whether a request is queued. */
  hasRequest(requestId: string): boolean {
    return this.entries.has(requestId);
  }

  /** Returns the number of queued requests. */
  getSize(): number {
    return this.entries.size;
  }

  /**
   * Estimates how many queued requests are served before a new one: those that are more urgent, and as many of its own
   * priority as its workspace's share of them allows.
   */
  getCountAhead({workspace, priority, shareWeight}: QueuePlace): number {
    let count = 0;
    for (const level of this.levels) {
      if (level.priority > priority) break;
      if (level.priority < priority) count += level.size;
      else count += getCountAheadInLevel(level, workspace, shareWeight);
    }
    return count;
  }

  private chooseNext(nowMs: number): Entry | undefined {
    if (this.dequeuedCount % ESCAPE_INTERVAL === ESCAPE_INTERVAL - 1) {
      const turn = Math.floor(this.dequeuedCount / ESCAPE_INTERVAL);
      const escaping = turn % 2 === 0 ? this.getOldest(nowMs) : this.getOldestOfLeastServed(nowMs);
      if (escaping) return escaping;
    }
    while (this.levels.length > 0) {
      const backlog = this.getLeastServedBacklog(this.levels[0]);
      const entry = this.getMostUrgent(backlog, nowMs);
      if (!this.isExpired(entry, nowMs)) return entry;
    }
    return undefined;
  }

  private getOldest(nowMs: number): Entry | undefined {
    for (;;) {
      const entry = this.oldestFirst.peek();
      if (!entry || !this.isExpired(entry, nowMs)) return entry;
    }
  }

  private getOldestOfLeastServed(nowMs: number): Entry | undefined {
    for (const {oldestFirst} of this.kinds.values()) {
      for (;;) {
        const entry = oldestFirst.peek();
        if (!entry) break;
        if (!this.isExpired(entry, nowMs)) return entry;
      }
    }
    return undefined;
  }

  /** Virtual times only rise, so a backlog that is first at an outdated time is moved back. */
  private getLeastServedBacklog({leastServedFirst}: Level): Backlog {
    for (;;) {
      const backlog = leastServedFirst.peek() as Backlog;
      const {virtualTime} = backlog.workspace;
      if (backlog.orderTime === virtualTime) return backlog;
      backlog.orderTime = virtualTime;
      leastServedFirst.update(backlog);
    }
  }

  /** Returns the first request of a backlog that isn't empty. */
  private getMostUrgent({timely, late}: Backlog, nowMs: number): Entry {
    for (;;) {
      const entry = timely.peek();
      if (!entry) return late.peek() as Entry;
      if (entry.latestStartAtMs >= nowMs) return entry;
      timely.remove(entry);
      late.add(entry);
    }
  }

  /** Returns whether a request's deadline has passed; it is then no longer considered. */
  private isExpired(entry: Entry, nowMs: number): boolean {
    if (entry.request.deadlineAtMs > nowMs) return false;
    this.unorder(entry);
    return true;
  }

  /** Removes a request from the order in which requests are dequeued. */
  private unorder(entry: Entry): void {
    if (!this.oldestFirst.remove(entry)) return;
    const {backlog, kind} = entry;
    if (!backlog.timely.remove(entry)) backlog.late.remove(entry);
    kind.oldestFirst.remove(entry);
    if (kind.oldestFirst.size === 0) this.kinds.delete(kind.name);
    const {level, workspace} = backlog;
    level.size -= 1;
    if (getBacklogSize(backlog) > 0) return;
    level.leastServedFirst.remove(backlog);
    level.byWorkspace.delete(workspace.name);
    level.totalWeight -= workspace.shareWeight;
    if (level.size === 0) this.levels = this.levels.filter(other => other !== level);
  }

  private getWorkspace(name: string): WorkspaceState {
    const existing = this.workspaces.get(name);
    if (existing) return existing;
    const newestFirst = new IndexedHeap<Entry>((a, b) => a.sequence > b.sequence);
    const workspace = {name, virtualTime: this.virtualTime, shareWeight: 1, newestFirst};
    this.workspaces.set(name, workspace);
    return workspace;
  }

  private getBacklog(priority: number, workspace: WorkspaceState): Backlog {
    const level = this.getLevel(priority);
    const existing = level.byWorkspace.get(workspace.name);
    if (existing) return existing;
    const backlog: Backlog = {
      level,
      workspace,
      orderTime: workspace.virtualTime,
      timely: new IndexedHeap<Entry>(hasLessSlack),
      late: new IndexedHeap<Entry>(isOlder),
    };
    level.byWorkspace.set(workspace.name, backlog);
    level.leastServedFirst.add(backlog);
    level.totalWeight += workspace.shareWeight;
    return backlog;
  }

  private getLevel(priority: number): Level {
    const existing = this.levels.find(level => level.priority === priority);
    if (existing) return existing;
    const level: Level = {
      priority,
      byWorkspace: new Map(),
      leastServedFirst: new IndexedHeap<Backlog>((a, b) => a.orderTime < b.orderTime),
      size: 0,
      totalWeight: 0,
    };
    this.levels = [...this.levels, level].sort((a, b) => a.priority - b.priority);
    return level;
  }

  private getKind(name: string): KindState {
    const existing = this.kinds.get(name);
    if (existing) return existing;
    const kind = {name, oldestFirst: new IndexedHeap<Entry>(isOlder)};
    this.kinds.set(name, kind);
    return kind;
  }
}

function isOlder(a: Entry, b: Entry): boolean {
  if (a.arrivedAtMs !== b.arrivedAtMs) return a.arrivedAtMs < b.arrivedAtMs;
  return a.sequence < b.sequence;
}

function hasLessSlack(a: Entry, b: Entry): boolean {
  if (a.slackRank !== b.slackRank) return a.slackRank < b.slackRank;
  return isOlder(a, b);
}

function getBacklogSize({timely, late}: Backlog): number {
  return timely.size + late.size;
}

/** Returns the virtual time at which the newest queued request of a workspace would end. */
function getLastFinishTime({virtualTime, newestFirst, shareWeight}: WorkspaceState): number {
  return virtualTime + newestFirst.size / shareWeight;
}

function getCountAheadInLevel(level: Level, workspace: string, shareWeight: number): number {
  const own = level.byWorkspace.get(workspace);
  const ownCount = own ? getBacklogSize(own) : 0;
  const othersWeight = level.totalWeight - (own ? own.workspace.shareWeight : 0);
  const othersTurns = Math.ceil(((ownCount + 1) * othersWeight) / shareWeight);
  return ownCount + Math.min(level.size - ownCount, othersTurns);
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
