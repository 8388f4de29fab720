/** Counts started requests of all gateways by workspace and by time window of the wall clock. */
import type {UsageCount} from '../../gossip/index.js';

/** Number of requests by workspace. */
export type WindowCounts = ReadonlyMap<string, number>;

/** Windows that are kept; older ones have been reported already or can no longer be reported in time. */
const KEPT_WINDOWS = 6;
const MS_PER_SECOND = 1_000;
/** Time after the end of a window in which its last counts are still on their way through the groups. */
const CLOSING_MS = 4_000;

/** Merges this gateway's request counts with those that the other gateways report over gossip. */
export class UsageLedger {
  private readonly windowMs: number;
  /** Counts by window and workspace, for each `gatewayId/incarnation`. */
  private readonly byGateway = new Map<string, Map<number, Map<string, number>>>();
  /** This gateway's counts by window and workspace. */
  private readonly own = new Map<number, Map<string, number>>();
  /** Counts that represent several gateways, by window and workspace, for each source. */
  private readonly bySource = new Map<string, Map<number, Map<string, number>>>();
  private isCounted: (gatewayId: string) => boolean = () => true;

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
   * Sets which gateways' own counts belong to the totals; the others are part of a combined report.
   * @param isCounted - Called with the id of a gateway that has reported its own counts.
   */
  setGatewayFilter(isCounted: (gatewayId: string) => boolean): void {
    this.isCounted = isCounted;
  }

  /**
   * Replaces the counts that the representative of several gateways reports.
   * @param sourceId - Identifies the source; no gateway may be part of two sources.
   * @param usage - Totals of the windows that the report contains; other windows keep their counts.
   */
  applyCombinedUsage(sourceId: string, usage: readonly UsageCount[]): void {
    const windows = getOrAdd(this.bySource, sourceId, () => new Map());
    for (const window of new Set(usage.map(count => count.window))) {
      windows.set(window, new Map());
      dropOld(windows, window);
    }
    for (const {window, workspace, requests} of usage)
      windows.get(window)?.set(workspace, requests);
  }

  /** Drops the combined counts of a source whose gateways are now reported by another one. */
  removeCombinedUsage(sourceId: string): void {
    this.bySource.delete(sourceId);
  }

  /**
   * Returns the counts of the newest windows over this gateway, all that report their own counts, and some sources.
   * @param windows - Number of windows to return.
   * @param sourceIds - Sources of combined counts that are included.
   */
  getGroupUsage(windows: number, sourceIds: readonly string[]): readonly UsageCount[] {
    const numbers = [this.own, ...this.byGateway.values()].flatMap(counts => [...counts.keys()]);
    return toUsage(getNewest(numbers, windows), window => {
      const total = this.getGroupTotal(window);
      this.addCombined(total, window, sourceIds);
      return total;
    });
  }

  /**
   * Returns the combined counts of some sources in the newest windows.
   * @param windows - Number of windows to return.
   */
  getCombinedUsage(windows: number, sourceIds: readonly string[]): readonly UsageCount[] {
    const numbers = sourceIds.flatMap(id => [...(this.bySource.get(id)?.keys() ?? [])]);
    return toUsage(getNewest(numbers, windows), window => {
      const total = new Map<string, number>();
      this.addCombined(total, window, sourceIds);
      return total;
    });
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

  /**
   * Returns the counts of windows that are still open, or that ended only recently.
   * @param usage - Counts of any windows.
   * @param wallMs - Unix time in milliseconds.
   */
  selectOpen(usage: readonly UsageCount[], wallMs: number): readonly UsageCount[] {
    const oldest = this.getWindow(wallMs - CLOSING_MS);
    return usage.filter(({window}) => window >= oldest);
  }

  /**
   * Returns the counts of windows that ended recently, and are about to be reported.
   * @param usage - Counts of any windows.
   * @param wallMs - Unix time in milliseconds.
   */
  selectClosing(usage: readonly UsageCount[], wallMs: number): readonly UsageCount[] {
    const current = this.getWindow(wallMs);
    return this.selectOpen(usage, wallMs).filter(({window}) => window < current);
  }

  /** Returns the counts of a window, summed over all gateways and incarnations. */
  getTotal(window: number): WindowCounts {
    const total = this.getGroupTotal(window);
    this.addCombined(total, window, [...this.bySource.keys()]);
    return total;
  }

  /** Returns the counts of a window over this gateway and all that report their own counts. */
  private getGroupTotal(window: number): Map<string, number> {
    const total = new Map(this.own.get(window));
    for (const [key, windows] of this.byGateway) {
      const gatewayId = key.slice(0, key.lastIndexOf('/'));
      if (this.isCounted(gatewayId)) addCounts(total, windows.get(window));
    }
    return total;
  }

  private addCombined(
    total: Map<string, number>,
    window: number,
    sourceIds: readonly string[],
  ): void {
    for (const id of sourceIds) addCounts(total, this.bySource.get(id)?.get(window));
  }
}

function getNewest(windows: readonly number[], count: number): readonly number[] {
  return [...new Set(windows)].sort((a, b) => a - b).slice(-count);
}

function toUsage(
  windows: readonly number[],
  getCounts: (window: number) => WindowCounts,
): readonly UsageCount[] {
  return windows.flatMap(window =>
    [...getCounts(window)].map(([workspace, requests]) => ({window, workspace, requests})),
  );
}

function addCounts(total: Map<string, number>, counts: WindowCounts | undefined): void {
  for (const [workspace, requests] of counts ?? []) {
    total.set(workspace, (total.get(workspace) ?? 0) + requests);
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
