/** Values by time window and key that all gateways add up, of single gateways and of groups of them. */

/** Value of one key in one window. */
export interface WindowRow<Value> {
  readonly window: number;
  readonly key: string;
  readonly value: Value;
}

/** How the values of a `FleetWindows` are combined. */
export interface FleetWindowsOptions<Value> {
  /** Windows that are kept, counted from the newest one. */
  readonly keptWindows: number;
  /** Adds the values of different gateways. */
  readonly add: (one: Value, other: Value) => Value;
  /** Returns the later of two values that one gateway has reported for the same window and key. */
  readonly getLater: (one: Value, other: Value) => Value;
}

/** Values by key. */
export type WindowValues<Value> = ReadonlyMap<string, Value>;

type Windows<Value> = Map<number, Map<string, Value>>;

/** Merges this gateway's values with those that the other gateways report over gossip. */
export class FleetWindows<Value> {
  private readonly options: FleetWindowsOptions<Value>;
  private readonly own: Windows<Value> = new Map();
  /** Values of single gateways, for each `gatewayId/incarnation`. */
  private readonly byGateway = new Map<string, Windows<Value>>();
  /** Values that represent several gateways, for each source. */
  private readonly bySource = new Map<string, Windows<Value>>();
  private isCounted: (gatewayId: string) => boolean = () => true;

  constructor(options: FleetWindowsOptions<Value>) {
    this.options = options;
  }

  /** Adds a value to those of this gateway. */
  addOwn({window, key, value}: WindowRow<Value>): void {
    const values = getOrAdd(this.own, window, () => new Map<string, Value>());
    const known = values.get(key);
    values.set(key, known === undefined ? value : this.options.add(known, value));
    this.dropOld(this.own, window);
  }

  /**
   * Merges values reported by another gateway, of which the later ones count when messages arrive out of order.
   * @param gatewayId - Gateway that reported the values.
   * @param incarnation - Distinguishes restarts of that gateway; each one starts anew.
   * @param rows - Totals by window and key, not increments.
   */
  mergePeer(gatewayId: string, incarnation: number, rows: readonly WindowRow<Value>[]): void {
    if (rows.length === 0) return;
    const windows = getOrAdd(this.byGateway, `${gatewayId}/${incarnation}`, createWindows<Value>);
    for (const {window, key, value} of rows) {
      const values = getOrAdd(windows, window, () => new Map<string, Value>());
      const known = values.get(key);
      values.set(key, known === undefined ? value : this.options.getLater(known, value));
      this.dropOld(windows, window);
    }
  }

  /**
   * Sets which gateways' own values belong to the totals; the others are part of a combined report.
   * @param isCounted - Called with the id of a gateway that has reported its own values.
   */
  setGatewayFilter(isCounted: (gatewayId: string) => boolean): void {
    this.isCounted = isCounted;
  }

  /**
   * Replaces the values that the representative of several gateways reports.
   * @param sourceId - Identifies the source; no gateway may be part of two sources.
   * @param rows - Totals of the windows that the report contains; other windows keep their values.
   */
  applyCombined(sourceId: string, rows: readonly WindowRow<Value>[]): void {
    const windows = getOrAdd(this.bySource, sourceId, createWindows<Value>);
    for (const window of new Set(rows.map(row => row.window))) {
      windows.set(window, new Map());
      this.dropOld(windows, window);
    }
    for (const {window, key, value} of rows) windows.get(window)?.set(key, value);
  }

  /** Drops the combined values of a source whose gateways are now reported by another one. */
  removeCombined(sourceId: string): void {
    this.bySource.delete(sourceId);
  }

  /**
   * Returns the newest windows over this gateway, all that report their own values, and some sources.
   * @param count - Number of windows to return.
   * @param sourceIds - Sources of combined values that are included.
   */
  getGroup(count: number, sourceIds: readonly string[]): readonly WindowRow<Value>[] {
    const numbers = [this.own, ...this.byGateway.values()].flatMap(windows => [...windows.keys()]);
    return toRows(getNewest(numbers, count), window => {
      const total = this.getGroupTotal(window);
      this.addCombined(total, window, sourceIds);
      return total;
    });
  }

  /**
   * Returns the newest windows of some sources of combined values.
   * @param count - Number of windows to return.
   */
  getCombined(count: number, sourceIds: readonly string[]): readonly WindowRow<Value>[] {
    const numbers = sourceIds.flatMap(id => [...(this.bySource.get(id)?.keys() ?? [])]);
    return toRows(getNewest(numbers, count), window => {
      const total = new Map<string, Value>();
      this.addCombined(total, window, sourceIds);
      return total;
    });
  }

  /**
   * Returns this gateway's values of the newest windows.
   * @param count - Number of windows to return.
   */
  getOwn(count: number): readonly WindowRow<Value>[] {
    const numbers = getNewest([...this.own.keys()], count);
    return toRows(numbers, window => this.own.get(window) ?? new Map());
  }

  /** Returns the values of a window, summed over all gateways and incarnations. */
  getTotal(window: number): WindowValues<Value> {
    const total = this.getGroupTotal(window);
    this.addCombined(total, window, [...this.bySource.keys()]);
    return total;
  }

  /** Returns the numbers of all windows of which a value is known, in ascending order. */
  getWindows(): readonly number[] {
    const all = [this.own, ...this.byGateway.values(), ...this.bySource.values()];
    return getNewest(
      all.flatMap(windows => [...windows.keys()]),
      this.options.keptWindows,
    );
  }

  /** Returns the values of a window over this gateway and all that report their own ones. */
  private getGroupTotal(window: number): Map<string, Value> {
    const total = new Map(this.own.get(window));
    for (const [key, windows] of this.byGateway) {
      const gatewayId = key.slice(0, key.lastIndexOf('/'));
      if (this.isCounted(gatewayId)) this.addValues(total, windows.get(window));
    }
    return total;
  }

  private addCombined(
    total: Map<string, Value>,
    window: number,
    sourceIds: readonly string[],
  ): void {
    for (const id of sourceIds) this.addValues(total, this.bySource.get(id)?.get(window));
  }

  private addValues(total: Map<string, Value>, values: WindowValues<Value> | undefined): void {
    for (const [key, value] of values ?? []) {
      const known = total.get(key);
      total.set(key, known === undefined ? value : this.options.add(known, value));
    }
  }

  private dropOld(windows: Windows<Value>, newest: number): void {
    for (const window of windows.keys()) {
      if (window <= newest - this.options.keptWindows) windows.delete(window);
    }
  }
}

function createWindows<Value>(): Windows<Value> {
  return new Map();
}

function getNewest(windows: readonly number[], count: number): readonly number[] {
  return [...new Set(windows)].sort((a, b) => a - b).slice(-count);
}

function toRows<Value>(
  windows: readonly number[],
  getValues: (window: number) => WindowValues<Value>,
): readonly WindowRow<Value>[] {
  return windows.flatMap(window =>
    [...getValues(window)].map(([key, value]) => ({window, key, value})),
  );
}

function getOrAdd<Key, Value>(map: Map<Key, Value>, key: Key, createValue: () => Value): Value {
  const existing = map.get(key);
  if (existing !== undefined) return existing;
  const created = createValue();
  map.set(key, created);
  return created;
}
