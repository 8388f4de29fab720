/** What the gateways read of the deployment's logs for each other: the operators' records and the registrations. */
import type {Catalog, LeavingReason, ServerEntry, ServerStart} from '../catalog/index.js';
import {getReaderRank, getReadingDelayMs, type ReadingTimes} from '../controllers/reading/index.js';
import type {
  GatewayMember,
  GossipState,
  MemberTable,
  RegistrationsReading,
} from '../gossip/index.js';
import type {EventLogger, LogFields} from '../logging/index.js';

/** A log of the deployment. */
export type SharedLog = 'operator' | 'registrations';

/** Options of a `SharedReadings`. */
export interface SharedReadingsOptions {
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly events: EventLogger;
  /** Returns this gateway as it describes itself. */
  readonly describeSelf: () => GatewayMember;
}

/**
 * Operators' records are few and read by held calls. Everyone reads them for itself as soon as it is told of one; the
 * largest age keeps a new record in time where all readers have failed at once.
 */
const OPERATOR_TIMES: ReadingTimes = {
  intervalMs: 0,
  maxRelayedAgeMs: 1_350,
  readsToldNews: true,
};
/** Registrations come all the time; they are read in batches, and what they say is told. */
const REGISTRATION_TIMES: ReadingTimes = {
  intervalMs: 700,
  maxRelayedAgeMs: 1_100,
  readsToldNews: false,
};
/** A changed registration is told for this long. */
const CHANGE_TOLD_MS = 2_000;

/** The logs as far as this gateway knows them. */
export class SharedReadings {
  private readonly options: SharedReadingsOptions;
  private readonly knownOffsets: Record<SharedLog, number> = {operator: 0, registrations: 0};
  private toldOperatorOffset = 0;
  private onNews: () => void = () => undefined;

  constructor(options: SharedReadingsOptions) {
    this.options = options;
  }

  /**
   * Sets what is called when another gateway tells of operators' records that aren't known here.
   * @param listener - Reads them.
   */
  setNewsListener(listener: () => void): void {
    this.onNews = listener;
  }

  /**
   * Notes that the adapter has read a log.
   * @param log - The log.
   * @param nextOffset - Offset of the next record.
   */
  noteRead(log: SharedLog, nextOffset: number): void {
    this.knownOffsets[log] = Math.max(this.knownOffsets[log], nextOffset);
  }

  /**
   * Returns the offset up to which a log is known, from own readings or others'.
   * @param log - The log.
   */
  getKnownOffset(log: SharedLog): number {
    return this.knownOffsets[log];
  }

  /**
   * Returns the time until the adapter reads a log again.
   * @param log - The log.
   * @param sinceReadMs - Time since its last reading ended.
   * @param nowMs - Present time, monotonic.
   */
  getDelayMs(log: SharedLog, sinceReadMs: number, nowMs: number): number {
    const {catalog} = this.options;
    const isOperator = log === 'operator';
    const view = {
      rank: this.getReaderRank(nowMs),
      knownOffset: this.knownOffsets[log],
      toldOffset: isOperator ? this.toldOperatorOffset : 0,
      ageMs: isOperator ? catalog.getOperatorAgeMs(nowMs) : catalog.getServersAgeMs(nowMs),
      sinceReadMs,
    };
    return getReadingDelayMs(view, isOperator ? OPERATOR_TIMES : REGISTRATION_TIMES);
  }

  /**
   * Returns what is told of the registrations.
   * @param nowMs - Present time, monotonic.
   */
  describeRegistrations(nowMs: number): RegistrationsReading {
    const {catalog} = this.options;
    const changed = catalog.servers.getRecentlyChanged(CHANGE_TOLD_MS, nowMs);
    return {
      offset: this.knownOffsets.registrations,
      ageMs: catalog.getServersAgeMs(nowMs),
      digest: catalog.servers.getDigest(),
      changed: changed.map(({entry, coldUntilMs}) => ({
        ...entry,
        coldMs: Math.max(0, coldUntilMs - nowMs),
      })),
      draining: catalog.servers.getLeaving('draining', nowMs),
      removed: catalog.servers.getLeaving('removed', nowMs),
    };
  }

  /**
   * Takes what another gateway tells.
   * @param state - Its state.
   * @param nowMs - Present time, monotonic.
   */
  apply({sender, operatorOffset, operatorAgeMs, registrations}: GossipState, nowMs: number): void {
    for (const start of registrations.draining) {
      this.applyLeaving(start, 'draining', sender.id, nowMs);
    }
    this.applyRegistrations(registrations, sender.id, nowMs);
    this.applyOperatorReading(operatorOffset, operatorAgeMs, nowMs);
  }

  /** Who has read as far as another gateway knows what that one knew, up to the instant at which it read. */
  private applyOperatorReading(offset: number, ageMs: number, nowMs: number): void {
    if (offset === 0) return;
    if (offset <= this.knownOffsets.operator) {
      if (offset === this.knownOffsets.operator) {
        this.options.catalog.markOperatorCurrent(nowMs - ageMs);
      }
      return;
    }
    const isNew = offset > this.toldOperatorOffset;
    this.toldOperatorOffset = Math.max(this.toldOperatorOffset, offset);
    if (isNew) this.onNews();
  }

  /**
   * Takes what was read up to here or further. Servers that both then know alike are known here up to the instant at which
   * the other gateway read.
   */
  private applyRegistrations(reading: RegistrationsReading, toldBy: string, nowMs: number): void {
    const {catalog} = this.options;
    if (reading.offset === 0 || reading.offset < this.knownOffsets.registrations) return;
    for (const start of reading.removed) this.applyLeaving(start, 'removed', toldBy, nowMs);
    for (const entry of reading.changed) this.applyRegistration(entry, toldBy, nowMs);
    if (reading.digest !== catalog.servers.getDigest()) return;
    this.knownOffsets.registrations = reading.offset;
    catalog.markServersCurrent(nowMs - reading.ageMs);
    for (const id of catalog.servers.dropLeft(nowMs)) {
      this.logServer({server: id, change: 'removed', toldBy});
    }
  }

  private applyRegistration(entry: ServerEntry, toldBy: string, nowMs: number): void {
    const change = this.options.catalog.servers.applyRelayed(entry, nowMs);
    if (change === 'same') return;
    const {id, service, failureDomain} = entry;
    this.logServer({server: id, change, service, failureDomain, toldBy});
  }

  private applyLeaving(
    start: ServerStart,
    reason: LeavingReason,
    toldBy: string,
    nowMs: number,
  ): void {
    const change = this.options.catalog.servers.applyLeaving(start, reason, nowMs);
    if (change !== 'same') this.logServer({server: start.id, change, toldBy});
  }

  private logServer(fields: LogFields): void {
    this.options.events.log('backend server', fields);
  }

  private getReaderRank(nowMs: number): number {
    const {members, describeSelf} = this.options;
    const own = describeSelf();
    const ready = members.getHeard(nowMs).filter(({isReady, isLeaving}) => isReady && !isLeaving);
    return getReaderRank(own.id, [own, ...ready]);
  }
}
