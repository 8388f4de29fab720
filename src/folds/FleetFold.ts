/** The state of the fleet stream: lease, version moves, failure domains and quarantines. */
import {z} from 'zod';
import type {FailureDomainStatus, Move} from '../blackboard/index.js';
import type {LogBody, LogBodyOf, PlacedRecord} from '../records/index.js';
import {DrainFold, instanceDrainSchema, type InstanceDrain} from './DrainFold.js';
import {FailureDomainFold, failureDomainStatusSchema} from './FailureDomainFold.js';
import {ACCEPTED, reject, type FleetVerdict} from './FleetVerdict.js';
import {RepeatFilter, type RelayedFold, type RepeatFilterOptions} from './Fold.js';
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

/** Folds the fleet stream; after a gap it ignores records until a snapshot gives it the whole state again. */
export class FleetFold implements RelayedFold {
  private readonly repeats: RepeatFilter;
  private readonly lease = new LeaseFold();
  private readonly moves = new MoveFold();
  private readonly failureDomains = new FailureDomainFold();
  private readonly quarantines = new QuarantineFold();
  private readonly drains = new DrainFold();
  private isWhole = true;
  private lastVerdict: FleetVerdict = ACCEPTED;

  constructor(options?: RepeatFilterOptions) {
    this.repeats = new RepeatFilter(options);
  }

  applyRecord(placed: PlacedRecord): void {
    this.lastVerdict = this.judge(placed);
  }

  /** Notes that records were dropped before they were read. */
  markIncomplete(): void {
    this.isWhole = false;
  }

  /** Tells whether the state covers every record of the stream. */
  isComplete(): boolean {
    return this.isWhole;
  }

  /** Returns the lease. */
  getLease(): LeaseState {
    return this.lease.getState();
  }

  /** Returns the newest move of each service, then the earlier ones that are done, newest first. */
  getMoves(): readonly Move[] {
    return this.moves.getMoves();
  }

  /** Returns the failure domains that ever had an order; others are in service at revision 0. */
  getFailureDomains(): readonly FailureDomainStatus[] {
    return this.failureDomains.getStatuses();
  }

  /**
   * Returns the quarantines that stand.
   * @param nowMs - Present time.
   */
  getQuarantines(nowMs: number): readonly Quarantine[] {
    return this.quarantines.getQuarantines(nowMs);
  }

  /** Returns the backend servers that get no new work since the lease's holder stops them. */
  getDrains(): readonly InstanceDrain[] {
    return this.drains.getDrains();
  }

  /** Returns the verdict on the record applied last. */
  getLastVerdict(): FleetVerdict {
    return this.lastVerdict;
  }

  restoreSnapshot(body: LogBody): void {
    if (body.kind === 'fleet-snapshot') this.restore(body);
  }

  createSnapshot(coversOffset: number): readonly LogBody[] {
    return [{kind: 'fleet-snapshot', coversOffset, state: this.getSnapshotState()}];
  }

  /** Returns the whole state for the `state` field of a snapshot record. */
  getSnapshotState(): string {
    return JSON.stringify({
      lease: this.getLease(),
      moves: this.getMoves(),
      failureDomains: this.getFailureDomains(),
      quarantines: this.quarantines.getAllQuarantines(),
      drains: this.getDrains(),
      lastSequences: this.repeats.getMarks(),
    });
  }

  private judge(placed: PlacedRecord): FleetVerdict {
    const {body} = placed.record;
    if (body.kind === 'fleet-snapshot') return this.applySnapshot(body, placed);
    if (!this.isWhole) return reject('incomplete-history');
    if (this.repeats.isRepeat(placed)) return reject('repeat');
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

  private applyMoveStep(body: LogBodyOf<'move-step'>): FleetVerdict {
    if (!this.lease.isCurrentToken(body.fencingToken)) return reject('old-fencing-token');
    return this.moves.applyStep(body);
  }

  private applyDrain(body: LogBodyOf<'instance-drain'>): FleetVerdict {
    if (!this.lease.isCurrentToken(body.fencingToken)) return reject('old-fencing-token');
    return this.drains.applyDrain(body);
  }

  /** A snapshot holds only where no record stands between it and the last one that it covers. */
  private applySnapshot(body: LogBodyOf<'fleet-snapshot'>, placed: PlacedRecord): FleetVerdict {
    if (body.coversOffset !== placed.offset - 1) return reject('records-in-between');
    if (!this.isWhole) this.restore(body);
    if (this.repeats.isRepeat(placed)) return reject('repeat');
    return ACCEPTED;
  }

  /** A mark without an offset comes from a daemon that kept none; it counts from the snapshot on. */
  private restore({state: stateText, coversOffset}: LogBodyOf<'fleet-snapshot'>): void {
    const state = fleetStateSchema.parse(JSON.parse(stateText));
    this.lease.restore(state.lease);
    this.moves.restore(state.moves);
    this.failureDomains.restore(state.failureDomains);
    this.quarantines.restore(state.quarantines);
    this.drains.restore(state.drains);
    this.repeats.restore(
      state.lastSequences.map(mark => ({...mark, offset: mark.offset ?? coversOffset})),
    );
    this.isWhole = true;
  }
}
