/** Registrations of backend servers, and their departures, as known to this process. */
import {comparePositions, type LogPosition} from '../controllers/reading/index.js';
import {hashText} from '../utils/index.js';

/** Identifies one start of a backend server. */
export interface ServerStart {
  /** A later start usually has another id, but may have the same one. */
  readonly id: string;
  /** Unix time of the start in milliseconds, reported by the server itself; undefined if it reports none. */
  readonly startedAtMs: number | undefined;
}

/** Returns the key of one start of a backend server. */
export function getServerStartKey({id, startedAtMs}: ServerStart): bigint {
  return hashText(`server\n${id}\n${startedAtMs ?? ''}`);
}

/** A registration, which a backend server writes to the store and renews. */
export interface ServerEntry extends ServerStart {
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly softwareVersion: string;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Whether the server has announced that it is leaving and accepts no new requests. */
  readonly isDraining: boolean;
  /** Whether the platform may reclaim the server at short notice. */
  readonly isReclaimable: boolean;
  /** Time for which the server stays cold, counted from when the entry is applied. */
  readonly coldMs: number;
}

/** A registration with the monotonic times in milliseconds at which its state changed. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** Time at which this start of the server became known. */
  readonly firstSeenAtMs: number;
  /** Time at which its registration last changed. */
  readonly changedAtMs: number;
  /** Time until which the server is treated as cold. */
  readonly coldUntilMs: number;
  /** Time at which its registration expired in an outage of the store; undefined while it is registered. */
  readonly expiredAtMs: number | undefined;
}

/** How an update changed a registration. */
export type ServerChange = 'added' | 'draining' | 'removed' | 'changed' | 'same';

/**
 * Time for which a server with an expired registration is kept; a running one registers again this soon after an
 * outage.
 */
const EXPIRED_RETENTION_MS = 2_000;
/** Time for which a departure is included in the gossip. */
const DEPARTURE_REPORT_MS = 4_000;
/**
 * Time for which a departure is remembered, so that a delayed registration of the same start is recognised as outdated.
 */
const DEPARTURE_RETENTION_MS = 60_000;
/** Time after its last change at which a draining server is removed. */
const DRAINING_RETENTION_MS = 30_000;

/**
 * Why a server departs. `draining`: the server announced it, which is final for its start. `removed`: its
 * registration was removed, which is undone if the registration had only expired and is renewed.
 */
export type DepartureReason = 'draining' | 'removed';

/** The latest departure under a server id. */
interface Departure {
  readonly startedAtMs: number | undefined;
  readonly reason: DepartureReason;
  readonly recordedAtMs: number;
  /** Position after the record that removed the registration; undefined if it is unknown. */
  readonly position: LogPosition | undefined;
}

/** A departure with the position after the record of it; the position is undefined if it is unknown. */
export interface RecordedDeparture extends ServerStart {
  readonly recordPosition: LogPosition | undefined;
}

/** A registration with the position after its record; the position is undefined if it is unknown. */
export interface RecordedEntry extends ServerEntry {
  readonly recordPosition: LogPosition | undefined;
}

/**
 * All known backend servers, including draining ones and, for a short time after an outage of the store, those whose
 * registrations expired in it.
 *
 * Records reach a gateway by its own reads and from other gateways, in any order. Each is applied with its position in
 * the log, so that an older one doesn't undo a later one. A record of unknown position counts as the latest.
 */
export class ServerCatalog {
  private readonly servers = new Map<string, KnownServer>();
  /** Positions after the latest record of each known server, by server id. */
  private readonly positions = new Map<string, LogPosition>();
  /** Starts that are leaving or have left, by server id. */
  private readonly departures = new Map<string, Departure>();
  /** Servers that aren't draining, by service; cleared after a change. */
  private readonly activeByService = new Map<string, readonly KnownServer[]>();
  /** Cached digest; undefined after a change. */
  private digest: bigint | undefined;

  /**
   * Applies a registration. A start that has announced its departure stays draining, even if an older record is applied
   * later.
   * @param entry - Registration read from the store.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param position - Position after its record; undefined if it is unknown.
   */
  applyEntry(entry: ServerEntry, nowMs: number, position?: LogPosition): ServerChange {
    if (this.isOutdatedEntry(entry, position)) return 'same';
    this.setPosition(entry.id, position);
    const known = this.servers.get(entry.id);
    const isRestarted = known !== undefined && known.entry.startedAtMs !== entry.startedAtMs;
    const isDraining =
      entry.isDraining ||
      (!isRestarted && known?.entry.isDraining === true) ||
      this.hasAnnouncedDeparture(entry);
    if (entry.isDraining) this.recordDeparture(entry, 'draining', nowMs, position);
    else if (this.departures.get(entry.id)?.reason === 'removed') this.departures.delete(entry.id);
    const change = getChange(isRestarted ? undefined : known, {...entry, isDraining});
    // Registrations are renewed all the time; the lists of servers are kept if nothing has changed.
    if (known && change === 'same' && isRenewal(known, entry, nowMs)) return change;
    if (change !== 'same' || known?.expiredAtMs !== undefined) this.digest = undefined;
    const isNewlyCold = entry.coldMs > 0 && !(known && !isRestarted && known.coldUntilMs > nowMs);
    const isChanged = change !== 'same' || isNewlyCold || known === undefined;
    this.setServer(entry.id, {
      entry: {...entry, isDraining},
      firstSeenAtMs: isRestarted ? nowMs : (known?.firstSeenAtMs ?? nowMs),
      changedAtMs: isChanged ? nowMs : known.changedAtMs,
      coldUntilMs: nowMs + entry.coldMs,
      expiredAtMs: undefined,
    });
    return change;
  }

  /**
   * Applies a registration that another gateway has read. It may be outdated, and is ignored if its start has announced
   * its departure.
   * @param relayed - Registration received by gossip.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyRelayedEntry({recordPosition, ...entry}: RecordedEntry, nowMs: number): ServerChange {
    if (this.hasAnnouncedDeparture(entry)) return 'same';
    return this.applyEntry(entry, nowMs, recordPosition);
  }

  /** Returns whether a start has announced its departure, or its registration was removed, not long ago. */
  hasDeparted({id, startedAtMs}: ServerStart): boolean {
    const departure = this.departures.get(id);
    return departure !== undefined && departure.startedAtMs === startedAtMs;
  }

  /**
   * Removes a backend server and records its departure.
   * @param id - Id of the server; an unknown one has no effect.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param position - Position after the record of the removal; undefined if there is none.
   */
  removeServer(id: string, nowMs: number, position?: LogPosition): ServerChange {
    const known = this.servers.get(id);
    if (!known || this.isOlderThanKnown(id, position)) return 'same';
    this.recordDeparture(known.entry, 'removed', nowMs, position ?? this.positions.get(id));
    this.deleteServer(id);
    return 'removed';
  }

  /**
   * Marks a registration as expired in an outage of the store; the server stays available, since it may still be
   * running.
   * @param id - Id of the server; an unknown one has no effect.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param position - Position after the record of the removal; undefined if it is unknown.
   */
  markExpired(id: string, nowMs: number, position?: LogPosition): void {
    const known = this.servers.get(id);
    if (!known || this.isOlderThanKnown(id, position)) return;
    this.setPosition(id, position);
    if (known.expiredAtMs !== undefined) return;
    this.digest = undefined;
    this.setServer(id, {...known, expiredAtMs: nowMs});
  }

  /**
   * Removes the servers whose expired registrations have not been renewed in time; returns their ids.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  removeExpired(nowMs: number): readonly string[] {
    const ids = this.getServers()
      .filter(
        ({expiredAtMs}) => expiredAtMs !== undefined && nowMs - expiredAtMs >= EXPIRED_RETENTION_MS,
      )
      .map(({entry}) => entry.id);
    for (const id of ids) this.removeServer(id, nowMs);
    return ids;
  }

  /**
   * Removes the servers that have been draining for a long time since their last change; returns their ids.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  removeStaleDraining(nowMs: number): readonly string[] {
    const ids = this.getServers()
      .filter(
        ({entry, changedAtMs}) => entry.isDraining && nowMs - changedAtMs > DRAINING_RETENTION_MS,
      )
      .map(({entry}) => entry.id);
    for (const id of ids) this.removeServer(id, nowMs);
    return ids;
  }

  /**
   * Returns the departures that are included in the gossip, and forgets those that are no longer needed.
   * @param reason - Reason of the departures to return.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getRecentDepartures(reason: DepartureReason, nowMs: number): readonly RecordedDeparture[] {
    for (const [id, {recordedAtMs}] of this.departures) {
      if (nowMs - recordedAtMs > DEPARTURE_RETENTION_MS) this.departures.delete(id);
    }
    return [...this.departures]
      .filter(
        ([, departure]) =>
          departure.reason === reason && nowMs - departure.recordedAtMs <= DEPARTURE_REPORT_MS,
      )
      .map(([id, {startedAtMs, position}]) => ({id, startedAtMs, recordPosition: position}));
  }

  /**
   * Applies a departure that another gateway reports. A server with the same id and another start is not affected.
   * @param start - Start of the departing server.
   * @param reason - Marks the server as draining, or removes it.
   * @param nowMs - Current monotonic time in milliseconds.
   * @param position - Position after the record of the departure; undefined if it is unknown.
   */
  applyDeparture(
    start: ServerStart,
    reason: DepartureReason,
    nowMs: number,
    position?: LogPosition,
  ): ServerChange {
    const known = this.servers.get(start.id);
    if (!known || known.entry.startedAtMs !== start.startedAtMs) return 'same';
    // A departure is recorded here too, so that it is passed on to gateways that its sender doesn't reach.
    if (reason === 'removed') return this.removeServer(start.id, nowMs, position);
    if (known.entry.isDraining) return 'same';
    this.recordDeparture(start, reason, nowMs, position);
    const entry = {...known.entry, isDraining: true};
    this.digest = undefined;
    this.setServer(start.id, {...known, entry, changedAtMs: nowMs});
    return 'draining';
  }

  /**
   * Returns the servers whose registrations changed or that turned cold recently, without draining and expired ones.
   * @param withinMs - Largest age of a change.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getRecentlyChanged(withinMs: number, nowMs: number): readonly KnownServer[] {
    return this.getServers().filter(
      server => isRegistered(server) && nowMs - server.changedAtMs <= withinMs,
    );
  }

  /**
   * Returns the servers that are cold, without draining and expired ones.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getColdServers(nowMs: number): readonly KnownServer[] {
    return this.getServers().filter(server => isRegistered(server) && server.coldUntilMs > nowMs);
  }

  /**
   * Returns the position after the latest record of a server; undefined if it is unknown.
   * @param id - Id of the server.
   */
  getRecordPosition(id: string): LogPosition | undefined {
    return this.positions.get(id);
  }

  /**
   * Returns a digest of all servers that are not draining, and of whether their registrations have expired. Two
   * gateways with the same digest know the same servers.
   */
  getDigest(): bigint {
    this.digest ??= this.computeDigest();
    return this.digest;
  }

  private computeDigest(): bigint {
    const activeServers = this.getServers().filter(({entry}) => !entry.isDraining);
    const rows = activeServers.map(({entry, expiredAtMs}) => {
      const {id, startedAtMs, address, service, failureDomain} = entry;
      return [id, startedAtMs, address, service, failureDomain, expiredAtMs !== undefined].join();
    });
    return hashText(rows.sort().join('\n'));
  }

  /**
   * Records the time until which a backend server is cold, as stated in its response.
   * @param id - Id of the server; an unknown one has no effect.
   * @param coldUntilMs - Monotonic time in milliseconds.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  markCold(id: string, coldUntilMs: number, nowMs: number): void {
    const known = this.servers.get(id);
    if (!known) return;
    const changedAtMs = known.coldUntilMs > nowMs ? known.changedAtMs : nowMs;
    this.setServer(id, {...known, coldUntilMs, changedAtMs});
  }

  /** Returns all known backend servers, including draining ones. */
  getServers(): readonly KnownServer[] {
    return [...this.servers.values()];
  }

  /**
   * Returns a backend server; undefined if it is unknown.
   * @param id - Id of the server.
   */
  getServer(id: string): KnownServer | undefined {
    return this.servers.get(id);
  }

  /**
   * Returns whether a start of a server is registered and hasn't announced its departure.
   * @param start - A start that was registered before.
   */
  isExpectedToServe({id, startedAtMs}: ServerStart): boolean {
    const known = this.servers.get(id);
    return (
      known !== undefined && known.entry.startedAtMs === startedAtMs && !known.entry.isDraining
    );
  }

  /**
   * Returns the backend servers of a service to which new requests may be sent. The list is the same one until a server
   * changes, if no domain is excluded.
   * @param service - Name of the service.
   * @param excludedDomains - Failure domains whose servers are left out.
   */
  getAvailableServers(
    service: string,
    excludedDomains: ReadonlySet<string>,
  ): readonly KnownServer[] {
    const active = this.getActiveServers(service);
    if (excludedDomains.size === 0) return active;
    return active.filter(({entry}) => !excludedDomains.has(entry.failureDomain));
  }

  private getActiveServers(service: string): readonly KnownServer[] {
    const cached = this.activeByService.get(service);
    if (cached) return cached;
    const active = this.getServers().filter(
      ({entry}) => entry.service === service && !entry.isDraining,
    );
    // Only services with servers are kept, whose number is bounded.
    if (active.length > 0) this.activeByService.set(service, active);
    return active;
  }

  private setServer(id: string, server: KnownServer): void {
    this.servers.set(id, server);
    this.activeByService.clear();
  }

  private hasAnnouncedDeparture(start: ServerStart): boolean {
    return this.hasDeparted(start) && this.departures.get(start.id)?.reason === 'draining';
  }

  /** Returns whether a later record of the same server id is known. */
  private isOutdatedEntry({id}: ServerStart, position: LogPosition | undefined): boolean {
    if (position === undefined) return false;
    if (this.isOlderThanKnown(id, position)) return true;
    const departure = this.departures.get(id);
    const removedAt = departure?.reason === 'removed' ? departure.position : undefined;
    return removedAt !== undefined && comparePositions(position, removedAt) <= 0;
  }

  private isOlderThanKnown(id: string, position: LogPosition | undefined): boolean {
    const known = this.positions.get(id);
    return known !== undefined && position !== undefined && comparePositions(position, known) < 0;
  }

  private setPosition(id: string, position: LogPosition | undefined): void {
    if (position) this.positions.set(id, position);
    else this.positions.delete(id);
  }

  private deleteServer(id: string): void {
    this.servers.delete(id);
    this.positions.delete(id);
    this.activeByService.clear();
    this.digest = undefined;
  }

  /** Records a departure; an announced one is kept when the same start is removed later. */
  private recordDeparture(
    {id, startedAtMs}: ServerStart,
    reason: DepartureReason,
    nowMs: number,
    position: LogPosition | undefined,
  ): void {
    const existing = this.departures.get(id);
    if (existing && existing.startedAtMs === startedAtMs && existing.reason === 'draining') return;
    this.departures.set(id, {startedAtMs, reason, recordedAtMs: nowMs, position});
  }
}

function isRegistered({entry, expiredAtMs}: KnownServer): boolean {
  return !entry.isDraining && expiredAtMs === undefined;
}

/** Compares a registration with the known one of the same start; `known` is undefined for a new start. */
function getChange(known: KnownServer | undefined, entry: ServerEntry): ServerChange {
  if (!known) return 'added';
  if (entry.isDraining && !known.entry.isDraining) return 'draining';
  return isSameEntry(known.entry, entry) ? 'same' : 'changed';
}

/** Returns whether a registration that is the same as the known one changes nothing else, such as the cold time. */
function isRenewal(known: KnownServer, entry: ServerEntry, nowMs: number): boolean {
  const isWarm = entry.coldMs === 0 && known.entry.coldMs === 0 && known.coldUntilMs <= nowMs;
  return isWarm && known.expiredAtMs === undefined && known.entry.slots === entry.slots;
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
