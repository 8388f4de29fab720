/** Counts started requests of all gateways by workspace and by time window of the wall clock. */
import type {UsageCount} from '../../gossip/index.js';
import {FleetWindows, type WindowRow} from '../../utils/index.js';

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
  private readonly windows = new FleetWindows<number>({
    keptWindows: KEPT_WINDOWS,
    add: (one, other) => one + other,
    // Counts only grow.
    getLater: Math.max,
  });

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
    this.windows.addOwn({window: this.getWindow(wallMs), key: workspace, value: 1});
  }

  /**
   * Merges counts reported by another gateway.
   * @param gatewayId - Gateway that reported the counts.
   * @param incarnation - Distinguishes restarts of that gateway; each one starts counting at zero.
   * @param usage - Totals by window and workspace, not increments.
   */
  mergePeerUsage(gatewayId: string, incarnation: number, usage: readonly UsageCount[]): void {
    this.windows.mergePeer(gatewayId, incarnation, usage.map(toRow));
  }

  /**
   * Sets which gateways' own counts belong to the totals; the others are part of a combined report.
   * @param isCounted - Called with the id of a gateway that has reported its own counts.
   */
  setGatewayFilter(isCounted: (gatewayId: string) => boolean): void {
    this.windows.setGatewayFilter(isCounted);
  }

  /**
   * Replaces the counts that the representative of several gateways reports.
   * @param sourceId - Identifies the source; no gateway may be part of two sources.
   * @param usage - Totals of the windows that the report contains; other windows keep their counts.
   */
  applyCombinedUsage(sourceId: string, usage: readonly UsageCount[]): void {
    this.windows.applyCombined(sourceId, usage.map(toRow));
  }

  /** Drops the combined counts of a source whose gateways are now reported by another one. */
  removeCombinedUsage(sourceId: string): void {
    this.windows.removeCombined(sourceId);
  }

  /**
   * Returns the counts of the newest windows over this gateway, all that report their own counts, and some sources.
   * @param windows - Number of windows to return.
   * @param sourceIds - Sources of combined counts that are included.
   */
  getGroupUsage(windows: number, sourceIds: readonly string[]): readonly UsageCount[] {
    return this.windows.getGroup(windows, sourceIds).map(toCount);
  }

  /**
   * Returns the combined counts of some sources in the newest windows.
   * @param windows - Number of windows to return.
   */
  getCombinedUsage(windows: number, sourceIds: readonly string[]): readonly UsageCount[] {
    return this.windows.getCombined(windows, sourceIds).map(toCount);
  }

  /**
   * Returns this gateway's counts of the newest windows.
   * @param windows - Number of windows to return; all that are kept by default.
   */
  getOwnUsage(windows = KEPT_WINDOWS): readonly UsageCount[] {
    return this.windows.getOwn(windows).map(toCount);
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
    return this.windows.getTotal(window);
  }
}

function toRow({window, workspace, requests}: UsageCount): WindowRow<number> {
  return {window, key: workspace, value: requests};
}

function toCount({window, key, value}: WindowRow<number>): UsageCount {
  return {window, workspace: key, requests: value};
}
