/**
 * Divides the reads of the deployment's two logs, the operators' records and the registrations, among the gateways:
 * decides when this gateway reads a log itself, and applies what its peers report that they have read.
 */
import type {Catalog, DepartureReason, RecordedDeparture, RecordedEntry} from '../catalog/index.js';
import {
  ReadOrigins,
  ReadProof,
  getReaderRank,
  getReadDelayMs,
  START_POSITION,
  comparePositions,
  getLaterPosition,
  type LogPosition,
  type ReadIntervals,
  type RelayedRead,
} from '../controllers/reading/index.js';
import {
  getMemberKey,
  type GatewayMember,
  type GossipState,
  type MemberTable,
  type RegistrationsUpdate,
} from '../gossip/index.js';
import type {EventLogger, LogFields} from '../logging/index.js';

/** A log that all gateways follow. */
export type SharedLog = 'operator' | 'registrations';

/** Constructor options of `LogReadCoordinator`. */
export interface LogReadCoordinatorOptions {
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly events: EventLogger;
  /** Returns this gateway's own member record. */
  readonly describeSelf: () => GatewayMember;
  /** Returns the monotonic time in milliseconds, including the time for which the machine was suspended. */
  readonly getAwareNowMs: () => number;
}

/**
 * Operators' records are few and are read by long polling. Every gateway reads them itself as soon as a peer reports a
 * new one; the maximum age bounds the delay of a new record if all readers fail at once.
 */
const OPERATOR_READ_TIMES: ReadIntervals = {
  intervalMs: 0,
  maxRelayedAgeMs: 1_350,
  readsReportedRecords: true,
};
/** Registrations change all the time. They are read in batches, and the peers receive their contents by gossip. */
const REGISTRATION_READ_TIMES: ReadIntervals = {
  intervalMs: 700,
  maxRelayedAgeMs: 1_100,
  readsReportedRecords: false,
};
/** Time after which the proof of a read that this gateway has heard of is no longer awaited. */
const MAX_PROOF_DELAY_MS = 1_500;
/** Time for which a changed registration is included in the gossip. */
const CHANGE_REPORT_MS = 2_000;

/** Read positions of this gateway in the logs, and its exchange of reads with the peers. */
export class LogReadCoordinator {
  private readonly options: LogReadCoordinatorOptions;
  /** Position after the last known record of each log. */
  private readonly knownPositions: Record<SharedLog, LogPosition> = {
    operator: START_POSITION,
    registrations: START_POSITION,
  };
  /** Latest position in the operators' records that a peer has reported. */
  private reportedOperatorPosition = START_POSITION;
  private readonly operatorReads = new ReadOrigins();
  private readonly operatorProof = new ReadProof();
  private onOperatorUpdate: () => void = () => undefined;
  private onRead: () => void = () => undefined;

  constructor(options: LogReadCoordinatorOptions) {
    this.options = options;
  }

  /**
   * Sets the listener for operators' records that a peer reports and this gateway hasn't read.
   * @param listener - Called once for each later position; starts a read.
   */
  setOperatorRecordsListener(listener: () => void): void {
    this.onOperatorUpdate = listener;
  }

  /**
   * Sets the listener for reads of this gateway itself.
   * @param listener - Called after each read that brought a log up to date.
   */
  setReadListener(listener: () => void): void {
    this.onRead = listener;
  }

  /**
   * Records that the adapter has read a log.
   * @param log - Log that was read.
   * @param position - Position after the last record read.
   * @param readAtMs - Monotonic time up to which the records are complete.
   * @param provenAtMs - Time on the suspend-aware clock that is certainly not later than that of the read.
   */
  recordRead(log: SharedLog, position: LogPosition, readAtMs: number, provenAtMs = readAtMs): void {
    const {catalog, describeSelf} = this.options;
    if (log === 'operator') {
      this.operatorReads.addOwnRead(getMemberKey(describeSelf()), readAtMs);
      this.operatorProof.addOwnRead(provenAtMs);
      catalog.setOperatorRecordsCurrent(this.operatorReads.getNewestAtMs());
    } else {
      catalog.markRegistrationsCurrent(readAtMs);
    }
    this.knownPositions[log] = getLaterPosition(this.knownPositions[log], position);
    this.onRead();
  }

  /**
   * Returns the position after the last known record of a log, read by this gateway or by a peer.
   * @param log - Log to look up.
   */
  getKnownPosition(log: SharedLog): LogPosition {
    return this.knownPositions[log];
  }

  /**
   * Returns the time since the operators' records were last certainly complete, including the time for which the machine
   * was suspended; infinite before the first read.
   */
  getOperatorProofAgeMs(): number {
    return this.options.getAwareNowMs() - this.operatorProof.provenAtMs;
  }

  /**
   * Returns the proof of the operators' records for a datagram.
   * @param recipients - Peers that get the datagram.
   */
  getOperatorProof(
    recipients: readonly GatewayMember[],
  ): Pick<GossipState, 'operatorProofAgeMs' | 'stampMs' | 'returnedStamps'> {
    const nowMs = this.options.getAwareNowMs();
    return {
      operatorProofAgeMs: nowMs - this.operatorProof.provenAtMs,
      stampMs: nowMs,
      returnedStamps: this.operatorProof.getStampsToReturn(recipients.map(getMemberKey), nowMs),
    };
  }

  /** Returns the highest era in which a peer has told a position. */
  getReportedEra(): number {
    return this.reportedOperatorPosition.era;
  }

  /**
   * Returns the newest read of the operators' records for the peers.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getOperatorRead(nowMs: number): RelayedRead {
    return this.operatorReads.getNewest(nowMs);
  }

  /**
   * Returns the time in milliseconds until the adapter reads a log again.
   * @param log - Log to read.
   * @param sinceReadMs - Time since the last read of this log ended.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getNextReadDelayMs(log: SharedLog, sinceReadMs: number, nowMs: number): number {
    const {catalog} = this.options;
    const isOperator = log === 'operator';
    const view = {
      rank: this.getReaderRank(nowMs),
      knownPosition: this.knownPositions[log],
      reportedPosition: isOperator ? this.reportedOperatorPosition : START_POSITION,
      ageMs: isOperator ? this.getOperatorAgeMs(nowMs) : catalog.getRegistrationsAgeMs(nowMs),
      sinceReadMs,
    };
    return getReadDelayMs(view, isOperator ? OPERATOR_READ_TIMES : REGISTRATION_READ_TIMES);
  }

  /**
   * Returns the update on the registrations that is sent to the peers.
   * @param includesCold - Whether it contains all cold servers, for peers that missed that they turned cold.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getRegistrationsUpdate(includesCold: boolean, nowMs: number): RegistrationsUpdate {
    const {catalog} = this.options;
    const recent = catalog.servers.getRecentlyChanged(CHANGE_REPORT_MS, nowMs);
    const cold = includesCold ? catalog.servers.getColdServers(nowMs) : [];
    const changed = [...new Set([...recent, ...cold])];
    return {
      position: this.knownPositions.registrations,
      ageMs: catalog.getRegistrationsAgeMs(nowMs),
      digest: catalog.servers.getDigest(),
      changed: changed.map(({entry, coldUntilMs}) => ({
        ...entry,
        coldMs: Math.max(0, coldUntilMs - nowMs),
        recordPosition: catalog.servers.getRecordPosition(entry.id),
      })),
      draining: catalog.servers.getRecentDepartures('draining', nowMs),
      removed: catalog.servers.getRecentDepartures('removed', nowMs),
    };
  }

  /**
   * Applies the read positions and registrations that a peer reports.
   * @param state - State received from the peer.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  apply(state: GossipState, nowMs: number): void {
    const {sender, operatorPosition, operatorRead, registrations} = state;
    for (const start of registrations.draining) {
      this.applyDeparture(start, 'draining', sender.id, nowMs);
    }
    this.applyRegistrations(registrations, sender.id, nowMs);
    this.applyOperatorRead(operatorPosition, operatorRead, nowMs);
    this.applyOperatorProof(state);
  }

  /** Applies a peer's proof, which holds for the records known here if the peer's position is the same. */
  private applyOperatorProof(state: GossipState): void {
    const {sender, operatorPosition, operatorProofAgeMs, stampMs, returnedStamps} = state;
    const {describeSelf, getAwareNowMs} = this.options;
    const told = {
      peerKey: getMemberKey(sender),
      ageMs: operatorProofAgeMs,
      stampMs,
      returnedStampMs: returnedStamps.get(getMemberKey(describeSelf())),
    };
    const isSameLog =
      operatorPosition.offset > 0 &&
      comparePositions(operatorPosition, this.knownPositions.operator) === 0;
    this.operatorProof.apply(told, isSameLog, getAwareNowMs());
  }

  /**
   * Applies a peer's position in the operators' records. At the same position this gateway knows the same records, so
   * they were complete at the time of the peer's read. A later one means that there are records to read.
   */
  private applyOperatorRead(position: LogPosition, read: RelayedRead, nowMs: number): void {
    const order = comparePositions(position, this.knownPositions.operator);
    if (position.offset === 0 || order < 0) return;
    if (order === 0) {
      this.operatorReads.apply(read, nowMs);
      this.options.catalog.setOperatorRecordsCurrent(this.operatorReads.getNewestAtMs());
      return;
    }
    if (comparePositions(position, this.reportedOperatorPosition) <= 0) return;
    this.reportedOperatorPosition = position;
    this.onOperatorUpdate();
  }

  /**
   * Applies a peer's registrations and removals unless this gateway has read further. If both then have the same digest,
   * the registrations known here were complete at the time of the peer's read.
   */
  private applyRegistrations(update: RegistrationsUpdate, toldBy: string, nowMs: number): void {
    const {catalog} = this.options;
    if (update.position.offset === 0) return;
    const isBehind = comparePositions(update.position, this.knownPositions.registrations) < 0;
    for (const start of update.removed) {
      // A peer that hasn't been cut off knows which registrations have not just expired in an outage.
      const hasExpired = catalog.servers.getServer(start.id)?.expiredAtMs !== undefined;
      if (!isBehind || hasExpired) this.applyDeparture(start, 'removed', toldBy, nowMs);
    }
    if (isBehind) return;
    for (const entry of update.changed) this.applyRegistration(entry, toldBy, nowMs);
    if (update.digest !== catalog.servers.getDigest()) return;
    this.knownPositions.registrations = update.position;
    catalog.markRegistrationsCurrent(nowMs - update.ageMs);
    for (const id of catalog.servers.removeStaleDraining(nowMs)) {
      this.logServer({server: id, change: 'removed', toldBy});
    }
  }

  private applyRegistration(entry: RecordedEntry, toldBy: string, nowMs: number): void {
    const change = this.options.catalog.servers.applyRelayedEntry(entry, nowMs);
    if (change === 'same') return;
    const {id, service, failureDomain, recordPosition} = entry;
    const recordOffset = recordPosition?.offset;
    this.logServer({server: id, change, service, failureDomain, toldBy, recordOffset});
  }

  /** Applies a server's departure that the gateway `toldBy` has reported. */
  private applyDeparture(
    {recordPosition, ...start}: RecordedDeparture,
    reason: DepartureReason,
    toldBy: string,
    nowMs: number,
  ): void {
    const {servers} = this.options.catalog;
    const change = servers.applyDeparture(start, reason, nowMs, recordPosition);
    if (change === 'same') return;
    this.logServer({server: start.id, change, toldBy, recordOffset: recordPosition?.offset});
  }

  private logServer(fields: LogFields): void {
    this.options.events.log('backend server', fields);
  }

  /**
   * Returns the age of the operators' records by which this gateway decides to read them: that of the newest read that it
   * has heard of, unless the proof of it doesn't arrive.
   */
  private getOperatorAgeMs(nowMs: number): number {
    const believedMs = this.options.catalog.getOperatorRecordsAgeMs(nowMs);
    return Math.max(believedMs, this.getOperatorProofAgeMs() - MAX_PROOF_DELAY_MS);
  }

  /** Returns this gateway's place in the order of readers, in which the first one reads for all. */
  private getReaderRank(nowMs: number): number {
    const {members, describeSelf} = this.options;
    const own = describeSelf();
    const readyPeers = members
      .getLiveMembers(nowMs)
      .filter(({isReady, isLeaving}) => isReady && !isLeaving);
    return getReaderRank(own.id, [own, ...readyPeers]);
  }
}
