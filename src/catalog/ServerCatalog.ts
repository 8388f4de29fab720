/** Backend servers as they register themselves, and what this process has learned of their leaving. */
import {hashText} from '../utils/index.js';

/** One start of a backend server. */
export interface ServerStart {
  /** Another start mostly has another id, but the same id may come again. */
  readonly id: string;
  /** Wall clock instant of the start, as the server itself tells it; undefined where it doesn't. */
  readonly startedAtMs: number | undefined;
}

/** Registration of a backend server. */
export interface ServerEntry extends ServerStart {
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
}

/** A backend server as the gateway sees it. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** Instant at which the server first appeared, monotonic. */
  readonly firstSeenAtMs: number;
  /** Instant at which its registration last changed, monotonic. */
  readonly changedAtMs: number;
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
/** A start that has left is remembered for this long, so that late news of it is known to be old. */
const LEFT_KEPT_MS = 60_000;
/** A server that leaves is forgotten after this time where nothing more is heard of it. */
const LEAVING_KEPT_MS = 30_000;

/**
 * How a server left: it said so itself, which is final for its start, or its registration has gone, which may have lapsed
 * and come back.
 */
export type LeavingReason = 'draining' | 'removed';

interface LeftStart {
  readonly startedAtMs: number | undefined;
  readonly reason: LeavingReason;
  readonly atMs: number;
}

/** All registered backend servers. */
export class ServerCatalog {
  private readonly servers = new Map<string, KnownServer>();
  /** Starts that were learned to leave, by id. */
  private readonly left = new Map<string, LeftStart>();
  /** Digest of the present servers; undefined after a change. */
  private digest: bigint | undefined;

  /**
   * Takes a registration. A start that said that it leaves never takes requests again, whatever older records say.
   * @param entry - The registration.
   * @param nowMs - Present time, monotonic.
   */
  applyEntry(entry: ServerEntry, nowMs: number): ServerChange {
    const known = this.servers.get(entry.id);
    const isRestarted = known !== undefined && known.entry.startedAtMs !== entry.startedAtMs;
    const isDraining = entry.isDraining || (!isRestarted && known?.entry.isDraining === true);
    if (entry.isDraining) this.noteLeaving(entry, 'draining', nowMs);
    else if (this.left.get(entry.id)?.reason === 'removed') this.left.delete(entry.id);
    const change = getChange(isRestarted ? undefined : known, {...entry, isDraining});
    if (change !== 'same' || known?.lapsedAtMs !== undefined) this.digest = undefined;
    this.servers.set(entry.id, {
      entry: {...entry, isDraining},
      firstSeenAtMs: isRestarted ? nowMs : (known?.firstSeenAtMs ?? nowMs),
      changedAtMs: change === 'same' ? (known?.changedAtMs ?? nowMs) : nowMs,
      coldUntilMs: nowMs + entry.coldMs,
      lapsedAtMs: undefined,
    });
    return change;
  }

  /**
   * Takes a registration that another gateway has read; it may be older than what is known here.
   * @param entry - The registration.
   * @param nowMs - Present time, monotonic.
   */
  applyRelayed(entry: ServerEntry, nowMs: number): ServerChange {
    const left = this.left.get(entry.id);
    const isOld = left?.reason === 'draining' && left.startedAtMs === entry.startedAtMs;
    return isOld ? 'same' : this.applyEntry(entry, nowMs);
  }

  /**
   * Forgets a backend server.
   * @param id - Its id.
   * @param nowMs - Present time, monotonic.
   */
  removeServer(id: string, nowMs: number): ServerChange {
    const known = this.servers.get(id);
    if (!known) return 'same';
    this.deleteServer(id);
    this.noteLeaving(known.entry, 'removed', nowMs);
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
      this.digest = undefined;
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
   * Forgets the servers that were learned to leave long ago; returns their ids.
   * @param nowMs - Present time, monotonic.
   */
  dropLeft(nowMs: number): readonly string[] {
    const gone = this.getServers()
      .filter(({entry, changedAtMs}) => entry.isDraining && nowMs - changedAtMs > LEAVING_KEPT_MS)
      .map(({entry}) => entry.id);
    for (const id of gone) this.removeServer(id, nowMs);
    return gone;
  }

  /**
   * Returns the starts that were learned to leave not long ago.
   * @param reason - How they left.
   * @param nowMs - Present time, monotonic.
   */
  getLeaving(reason: LeavingReason, nowMs: number): readonly ServerStart[] {
    for (const [id, {atMs}] of this.left) {
      if (nowMs - atMs > LEFT_KEPT_MS) this.left.delete(id);
    }
    return [...this.left]
      .filter(([, left]) => left.reason === reason && nowMs - left.atMs <= LEAVING_TOLD_MS)
      .map(([id, {startedAtMs}]) => ({id, startedAtMs}));
  }

  /**
   * Takes the news that a backend server is leaving. Another start under the same id stays.
   * @param start - The start that leaves.
   * @param reason - How it leaves.
   * @param nowMs - Present time, monotonic.
   */
  applyLeaving(start: ServerStart, reason: LeavingReason, nowMs: number): ServerChange {
    const known = this.servers.get(start.id);
    if (!known || known.entry.startedAtMs !== start.startedAtMs) return 'same';
    if (reason === 'removed') {
      this.deleteServer(start.id);
      return 'removed';
    }
    if (known.entry.isDraining) return 'same';
    const entry = {...known.entry, isDraining: true};
    this.digest = undefined;
    this.servers.set(start.id, {...known, entry, changedAtMs: nowMs});
    return 'draining';
  }

  /**
   * Returns the servers that take requests and whose registrations changed lately, or that are cold.
   * @param withinMs - How lately.
   * @param nowMs - Present time, monotonic.
   */
  getRecentlyChanged(withinMs: number, nowMs: number): readonly KnownServer[] {
    return this.getServers().filter(
      ({entry, changedAtMs, coldUntilMs}) =>
        !entry.isDraining && (nowMs - changedAtMs <= withinMs || coldUntilMs > nowMs),
    );
  }

  /**
   * Returns a hash of all servers that take requests and of whose registrations have lapsed; two gateways with the same
   * hash know the same.
   */
  getDigest(): bigint {
    this.digest ??= this.computeDigest();
    return this.digest;
  }

  private computeDigest(): bigint {
    const open = this.getServers().filter(({entry}) => !entry.isDraining);
    const rows = open.map(({entry, lapsedAtMs}) => {
      const {id, startedAtMs, address, service, failureDomain} = entry;
      return [id, startedAtMs, address, service, failureDomain, lapsedAtMs !== undefined].join();
    });
    return hashText(rows.sort().join('\n'));
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

  private deleteServer(id: string): void {
    this.servers.delete(id);
    this.digest = undefined;
  }

  private noteLeaving({id, startedAtMs}: ServerStart, reason: LeavingReason, nowMs: number): void {
    const known = this.left.get(id);
    if (known && known.startedAtMs === startedAtMs && known.reason === 'draining') return;
    this.left.set(id, {startedAtMs, reason, atMs: nowMs});
  }
}

/** `known` is the same start as it was known before; undefined for a start that is new. */
function getChange(known: KnownServer | undefined, entry: ServerEntry): ServerChange {
  if (!known) return 'added';
  if (entry.isDraining && !known.entry.isDraining) return 'draining';
  return isSameEntry(known.entry, entry) ? 'same' : 'changed';
}

function isSameEntry(a: ServerEntry, b: ServerEntry): boolean {
  return (
    a.address === b.address &&
    a.service === b.service &&
    a.failureDomain === b.failureDomain &&
    a.isDraining === b.isDraining &&
    a.isReclaimable === b.isReclaimable &&
    a.softwareVersion === b.softwareVersion
  );
}
