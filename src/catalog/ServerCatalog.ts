/** Backend servers as they register themselves, and what this process has learned of their leaving. */

/** Registration of a backend server. */
export interface ServerEntry {
  /** Names one start of the server; another start mostly has another id. */
  readonly id: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly softwareVersion: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Whether the platform may take the server away at short notice. */
  readonly isReclaimable: boolean;
  /** Time for which the server stays cold, from the instant of the entry. */
  readonly coldMs: number;
  /** Wall clock instant at which the server started; undefined where it isn't told. */
  readonly startedAtMs: number | undefined;
}

/** A backend server as the gateway sees it. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** Instant at which the server first appeared, monotonic. */
  readonly firstSeenAtMs: number;
  /** Instant until which the server counts as cold, monotonic. */
  readonly coldUntilMs: number;
  /** Instant at which its registration lapsed while the store was away; undefined while it is registered. */
  readonly lapsedAtMs: number | undefined;
}

/** How a registration changed. */
export type ServerChange = 'added' | 'draining' | 'removed' | 'changed' | 'same';

/** A running server registers again within this time of the store's return. */
const LAPSED_MS = 2_000;

/** Other gateways are told for this long that a server leaves. */
const LEAVING_TOLD_MS = 4_000;

/** All registered backend servers. */
export class ServerCatalog {
  private readonly servers = new Map<string, KnownServer>();
  /** Instants at which servers were learned to leave, by id. */
  private readonly leftAtMs = new Map<string, number>();

  /**
   * Takes a registration. A server that leaves never takes requests again, whatever older records say.
   * @param entry - The registration.
   * @param nowMs - Present time, monotonic.
   */
  applyEntry(entry: ServerEntry, nowMs: number): ServerChange {
    const known = this.servers.get(entry.id);
    const isRestarted = known !== undefined && known.entry.startedAtMs !== entry.startedAtMs;
    const isDraining = entry.isDraining || (!isRestarted && known?.entry.isDraining === true);
    if (entry.isDraining) this.noteLeaving(entry.id, nowMs);
    this.servers.set(entry.id, {
      entry: {...entry, isDraining},
      firstSeenAtMs: isRestarted ? nowMs : (known?.firstSeenAtMs ?? nowMs),
      coldUntilMs: nowMs + entry.coldMs,
      lapsedAtMs: undefined,
    });
    if (!known || isRestarted) return 'added';
    if (isDraining && !known.entry.isDraining) return 'draining';
    return isSameEntry(known.entry, {...entry, isDraining}) ? 'same' : 'changed';
  }

  /**
   * Forgets a backend server.
   * @param id - Its id.
   * @param nowMs - Present time, monotonic.
   */
  removeServer(id: string, nowMs: number): ServerChange {
    if (!this.servers.delete(id)) return 'same';
    this.noteLeaving(id, nowMs);
    return 'removed';
  }

  /**
   * Notes that a registration lapsed while the store was away; the server may still be running.
   * @param id - Its id.
   * @param nowMs - Present time, monotonic.
   */
  markLapsed(id: string, nowMs: number): void {
    const known = this.servers.get(id);
    if (known && known.lapsedAtMs === undefined) {
      this.servers.set(id, {...known, lapsedAtMs: nowMs});
    }
  }

  /**
   * Forgets the servers whose lapsed registrations have not come back in time; returns their ids.
   * @param nowMs - Present time, monotonic.
   */
  removeLapsed(nowMs: number): readonly string[] {
    const gone = this.getServers()
      .filter(({lapsedAtMs}) => lapsedAtMs !== undefined && nowMs - lapsedAtMs >= LAPSED_MS)
      .map(({entry}) => entry.id);
    for (const id of gone) this.removeServer(id, nowMs);
    return gone;
  }

  /**
   * Returns the ids of servers that were learned to leave not long ago.
   * @param nowMs - Present time, monotonic.
   */
  getLeaving(nowMs: number): readonly string[] {
    for (const [id, atMs] of this.leftAtMs) {
      if (nowMs - atMs > LEAVING_TOLD_MS) this.leftAtMs.delete(id);
    }
    return [...this.leftAtMs.keys()];
  }

  /**
   * Notes that a backend server is leaving, as it said itself or as another gateway has read.
   * @param id - Its id.
   */
  markDraining(id: string): ServerChange {
    const known = this.servers.get(id);
    if (!known || known.entry.isDraining) return 'same';
    this.servers.set(id, {...known, entry: {...known.entry, isDraining: true}});
    return 'draining';
  }

  /**
   * Notes that a backend server itself said for how long it stays cold.
   * @param id - Its id.
   * @param coldUntilMs - End of that time, monotonic.
   */
  markCold(id: string, coldUntilMs: number): void {
    const known = this.servers.get(id);
    if (known) this.servers.set(id, {...known, coldUntilMs});
  }

  /** Returns every known backend server. */
  getServers(): readonly KnownServer[] {
    return [...this.servers.values()];
  }

  /**
   * Returns a backend server.
   * @param id - Its id.
   */
  getServer(id: string): KnownServer | undefined {
    return this.servers.get(id);
  }

  /**
   * Returns the backend servers of a service that take new requests.
   * @param service - Name of the service.
   * @param closedDomains - Failure domains that get nothing.
   */
  getOpenServers(service: string, closedDomains: ReadonlySet<string>): readonly KnownServer[] {
    return this.getServers().filter(
      ({entry}) =>
        entry.service === service && !entry.isDraining && !closedDomains.has(entry.failureDomain),
    );
  }

  private noteLeaving(id: string, nowMs: number): void {
    if (!this.leftAtMs.has(id)) this.leftAtMs.set(id, nowMs);
  }
}

function isSameEntry(a: ServerEntry, b: ServerEntry): boolean {
  return (
    a.address === b.address &&
    a.service === b.service &&
    a.isDraining === b.isDraining &&
    a.isReclaimable === b.isReclaimable &&
    a.softwareVersion === b.softwareVersion
  );
}
