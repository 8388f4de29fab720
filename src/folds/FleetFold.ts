/** Computes the state of the fleet stream: lease, version moves, failure domains, quarantines and drains. */
import {z} from 'zod';
import type {FailureDomainStatus, Move} from '../blackboard/index.js';
import type {LogBody, LogBodyOf, PlacedRecord} from '../records/index.js';
import {DrainFold, instanceDrainSchema, type InstanceDrain} from './DrainFold.js';
import {FailureDomainFold, failureDomainStatusSchema} from './FailureDomainFold.js';
import {ACCEPTED, reject, type FleetRecordResult} from './FleetRecordResult.js';
import {DuplicateFilter, type RelayedFold, type DuplicateFilterOptions} from './Fold.js';
import {LeaseFold, leaseStateSchema, type LeaseState} from './LeaseFold.js';
import {MoveFold, moveSchema} from './MoveFold.js';
import {QuarantineFold, quarantineSchema, type Quarantine} from './QuarantineFold.js';

const fleetStateSchema = z.strictObject({
  lease: leaseStateSchema,
  moves: z.array(moveSchema),
  failureDomains: z.array(failureDomainStatusSchema),
  quarantines: z.array(quarantineSchema),
  drains: z.array(instanceDrainSchema).default([]),
  lastSequences: z.array(
    z.strictObject({
      writer: z.string(),
      sequence: z.number().int(),
      offset: z.number().int().optional(),
    }),
  ),
});

/** Folds the fleet stream. After a gap it rejects every record until a snapshot has restored the complete state. */
export class FleetFold implements RelayedFold {
  private readonly duplicateFilter: DuplicateFilter;
  private readonly lease = new LeaseFold();
  private readonly moves = new MoveFold();
  private readonly failureDomains = new FailureDomainFold();
  private readonly quarantines = new QuarantineFold();
  private readonly drains = new DrainFold();
  private isStateComplete = true;
  private lastResult: FleetRecordResult = ACCEPTED;

  constructor(options?: DuplicateFilterOptions) {
    this.duplicateFilter = new DuplicateFilter(options);
  }

  applyRecord(placed: PlacedRecord): void {
    this.lastResult = this.evaluateRecord(placed);
  }

  /** Marks the state incomplete: the log dropped records before they were read. */
  markIncomplete(): void {
    this.isStateComplete = false;
  }

  /** Returns whether the state covers every record of the stream up to the last one applied. */
  isComplete(): boolean {
    return this.isStateComplete;
  }

  /** Returns the lease of the fleet daemons. */
  getLease(): LeaseState {
    return this.lease.getState();
  }

  /** Returns the newest move of each service, then earlier completed ones, newest first for each service. */
  getMoves(): readonly Move[] {
    return this.moves.getMoves();
  }

  /** Returns the failure domains that have ever had an order; all others are in service, at revision 0. */
  getFailureDomains(): readonly FailureDomainStatus[] {
    return this.failureDomains.getStatuses();
  }

  /**
   * Returns the quarantines that have not expired.
   * @param nowMs - Current Unix time in milliseconds.
   */
  getQuarantines(nowMs: number): readonly Quarantine[] {
    return this.quarantines.getQuarantines(nowMs);
  }

  /** Returns the backend servers that get no new requests because the lease holder is stopping them. */
  getDrains(): readonly InstanceDrain[] {
    return this.drains.getDrains();
  }

  /** Returns whether the last applied record was accepted, and if not, why. */
  getLastResult(): FleetRecordResult {
    return this.lastResult;
  }

  restoreSnapshot(body: LogBody): void {
    if (body.kind === 'fleet-snapshot') this.restore(body);
  }

  createSnapshot(coversOffset: number): readonly LogBody[] {
    return [{kind: 'fleet-snapshot', coversOffset, state: this.getSnapshotState()}];
  }

  /** Returns the complete state as JSON, for the `state` field of a snapshot record. */
  getSnapshotState(): string {
    return JSON.stringify({
      lease: this.getLease(),
      moves: this.getMoves(),
      failureDomains: this.getFailureDomains(),
      quarantines: this.quarantines.getAllQuarantines(),
      drains: this.getDrains(),
      lastSequences: this.duplicateFilter.getPositions(),
    });
  }

  private evaluateRecord(placed: PlacedRecord): FleetRecordResult {
    const {body} = placed.record;
    if (body.kind === 'fleet-snapshot') return this.applySnapshot(body, placed);
    if (!this.isStateComplete) return reject('incomplete-history');
    if (this.duplicateFilter.isDuplicate(placed)) return reject('repeat');
    switch (body.kind) {
      case 'lease-claim':
        return this.lease.applyClaim(body, placed.offset);
      case 'lease-renewal':
        return this.lease.applyRenewal(body, placed.offset);
      case 'lease-release':
        return this.lease.applyRelease(body, placed.offset);
      case 'move-request':
        return this.moves.applyRequest(body);
      case 'move-step':
        return this.applyMoveStep(body);
      case 'move-abort':
        return this.moves.applyAbort(body);
      case 'instance-drain':
        return this.applyDrain(body);
      case 'domain-order':
        return this.failureDomains.applyOrder(body);
      case 'quarantine':
        return this.quarantines.applyQuarantine(body);
      default:
        return reject('other-stream');
    }
  }

  private applyMoveStep(body: LogBodyOf<'move-step'>): FleetRecordResult {
    if (!this.lease.isCurrentToken(body.fencingToken)) return reject('old-fencing-token');
    return this.moves.applyStep(body);
  }

  private applyDrain(body: LogBodyOf<'instance-drain'>): FleetRecordResult {
    if (!this.lease.isCurrentToken(body.fencingToken)) return reject('old-fencing-token');
    return this.drains.applyDrain(body);
  }

  /** Accepts a snapshot only if no record lies between it and the last one that it covers. */
  private applySnapshot(
    body: LogBodyOf<'fleet-snapshot'>,
    placed: PlacedRecord,
  ): FleetRecordResult {
    if (body.coversOffset !== placed.offset - 1) return reject('records-in-between');
    if (!this.isStateComplete) this.restore(body);
    if (this.duplicateFilter.isDuplicate(placed)) return reject('repeat');
    return ACCEPTED;
  }

  /**
   * Replaces the state. Older daemons stored no offset with a writer's last sequence number; the snapshot's own offset
   * is used then.
   */
  private restore({state: stateText, coversOffset}: LogBodyOf<'fleet-snapshot'>): void {
    const state = fleetStateSchema.parse(JSON.parse(stateText));
    this.lease.restore(state.lease);
    this.moves.restore(state.moves);
    this.failureDomains.restore(state.failureDomains);
    this.quarantines.restore(state.quarantines);
    this.drains.restore(state.drains);
    this.duplicateFilter.restore(
      state.lastSequences.map(position => ({...position, offset: position.offset ?? coversOffset})),
    );
    this.isStateComplete = true;
  }
}
