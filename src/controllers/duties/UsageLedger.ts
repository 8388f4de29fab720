/** Counts the requests that began to run, by window of wall clock time and workspace, over all gateways. */
import type {UsageCount} from '../../gossip/index.js';

/** Requests by workspace. */
export type WindowCounts = ReadonlyMap<string, number>;

/** Windows that are kept; older ones have been reported or are too late. */
const KEPT_WINDOWS = 6;
const MS_PER_SECOND = 1_000;

/** Usage of the own gateway and what others have told of theirs. */
export class UsageLedger {
  private readonly windowMs: number;
  /** Counts by gateway and incarnation, window, workspace. */
  private readonly byGateway = new Map<string, Map<number, Map<string, number>>>();
  private readonly own = new Map<number, Map<string, number>>();

  /** @param windowSeconds - Length of a window. */
  constructor(windowSeconds: number) {
    this.windowMs = windowSeconds * MS_PER_SECOND;
  }

  /**
   * Returns the number of the window of an instant.
   * @param wallMs - Unix time.
   */
  getWindow(wallMs: number): number {
    return Math.floor(wallMs / this.windowMs);
  }

  /**
   * Returns the end of a window as Unix time.
   * @param window - Its number.
   */
  getEndMs(window: number): number {
    return (window + 1) * this.windowMs;
  }

  /**
   * Counts a request of this gateway.
   * @param workspace - Its workspace.
   * @param wallMs - Unix time at which it began to run.
   */
  addRequest(workspace: string, wallMs: number): void {
    const window = this.getWindow(wallMs);
    const counts = getOrAdd(this.own, window, () => new Map<string, number>());
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    dropOld(this.own, window);
  }

  /**
   * Takes another gateway's counts.
   * @param gatewayId - The gateway.
   * @param incarnation - Names one start of it.
   * @param usage - Its counts.
   */
  applyPeer(gatewayId: string, incarnation: number, usage: readonly UsageCount[]): void {
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
   * @param windows - How many of them; absent for all that are kept.
   */
  getOwn(windows = KEPT_WINDOWS): readonly UsageCount[] {
    return [...this.own]
      .slice(-windows)
      .flatMap(([window, counts]) =>
        [...counts].map(([workspace, requests]) => ({window, workspace, requests})),
      );
  }

  /**
   * Returns the counts of all gateways in a window.
   * @param window - Its number.
   */
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
  const found = map.get(key);
  if (found !== undefined) return found;
  const created = createValue();
  map.set(key, created);
  return created;
}

function dropOld<Value>(windows: Map<number, Value>, newest: number): void {
  for (const window of windows.keys()) {
    if (window <= newest - KEPT_WINDOWS) windows.delete(window);
  }
}
