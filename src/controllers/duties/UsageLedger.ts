/** Counts started requests of all gateways by workspace and by time window of the wall clock. */
import type {UsageCount} from '../../gossip/index.js';

/** Number of requests by workspace. */
export type WindowCounts = ReadonlyMap<string, number>;

/** Windows that are kept; older ones have been reported already or can no longer be reported in time. */
const KEPT_WINDOWS = 6;
const MS_PER_SECOND = 1_000;

/** Merges this gateway's request counts with those that the other gateways report over gossip. */
export class UsageLedger {
  private readonly windowMs: number;
  /** Counts by window and workspace, for each `gatewayId/incarnation`. */
  private readonly byGateway = new Map<string, Map<number, Map<string, number>>>();
  /** This gateway's counts by window and workspace. */
  private readonly own = new Map<number, Map<string, number>>();

  /** @param windowSeconds - Length of a window, the same at all gateways. */
  constructor(windowSeconds: number) {
    this.windowMs = windowSeconds * MS_PER_SECOND;
  }

  /**
   * Returns the number of the window that contains a time. Windows are counted from the Unix epoch.
   * @param wallMs - Unix time in milliseconds.
   */
  getWindow(wallMs: number): number {
    return Math.floor(wallMs / this.windowMs);
  }

  /** Returns the end of a window as Unix time in milliseconds. */
  getWindowEndMs(window: number): number {
    return (window + 1) * this.windowMs;
  }

  /**
   * Counts a request that this gateway started.
   * @param workspace - Workspace that the request is charged to.
   * @param wallMs - Unix time of its start in milliseconds.
   */
  addRequest(workspace: string, wallMs: number): void {
    const window = this.getWindow(wallMs);
    const counts = getOrAdd(this.own, window, () => new Map<string, number>());
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    dropOld(this.own, window);
  }

  /**
   * Merges counts reported by another gateway. Counts only grow, so the larger one wins when messages arrive out of
   * order.
   * @param gatewayId - Gateway that reported the counts.
   * @param incarnation - Distinguishes restarts of that gateway; each one starts counting at zero.
   * @param usage - Totals by window and workspace, not increments.
   */
  mergePeerUsage(gatewayId: string, incarnation: number, usage: readonly UsageCount[]): void {
    const key = `${gatewayId}/${incarnation}`;
    const windows = getOrAdd(this.byGateway, key, () => new Map<number, Map<string, number>>());
    for (const {window, workspace, requests} of usage) {
      const counts = getOrAdd(windows, window, () => new Map<string, number>());
      counts.set(workspace, Math.max(requests, counts.get(workspace) ?? 0));
      dropOld(windows, window);
    }
  }

  /**
   * Returns this gateway's counts of the newest windows.
   * @param windows - Number of windows to return; all that are kept by default.
   */
  getOwnUsage(windows = KEPT_WINDOWS): readonly UsageCount[] {
    return [...this.own]
      .slice(-windows)
      .flatMap(([window, counts]) =>
        [...counts].map(([workspace, requests]) => ({window, workspace, requests})),
      );
  }

  /** Returns the counts of a window, summed over all gateways and incarnations. */
  getTotal(window: number): WindowCounts {
    const total = new Map(this.own.get(window));
    for (const windows of this.byGateway.values()) {
      for (const [workspace, requests] of windows.get(window) ?? []) {
        total.set(workspace, (total.get(workspace) ?? 0) + requests);
      }
    }
    return total;
  }
}

function getOrAdd<Key, Value>(map: Map<Key, Value>, key: Key, createValue: () => Value): Value {
  const existing = map.get(key);
  if (existing !== undefined) return existing;
  const created = createValue();
  map.set(key, created);
  return created;
}

function dropOld<Value>(windows: Map<number, Value>, newest: number): void {
  for (const window of windows.keys()) {
    if (window <= newest - KEPT_WINDOWS) windows.delete(window);
  }
}
