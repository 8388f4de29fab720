/** Computes the lease of the fleet daemons from its claims, renewals and releases. */
import {z} from 'zod';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, reject, type FleetRecordResult} from './FleetRecordResult.js';

/** Schema of the lease within a snapshot. */
export const leaseStateSchema = z.strictObject({
  /** Lease holder; undefined before the first claim and after a release. */
  holder: z.string().optional(),
  /** Offset of the newest accepted claim, which is the fencing token of the holder's orders; -1 before the first. */
  fencingToken: z.number().int(),
  /** Term named in the claim; each renewal extends the lease by it. */
  termMs: z.number().int(),
  /** Offset of the newest accepted claim, renewal or release, which the next claim must name; -1 before the first. */
  newestOffset: z.number().int(),
});

/** State of the lease computed from the log. */
export type LeaseState = Readonly<z.infer<typeof leaseStateSchema>>;

const NO_LEASE: LeaseState = {fencingToken: -1, termMs: 0, newestOffset: -1};

/** Accepts a claim only if it names the newest lease record, and renewals and releases only from the holder. */
export class LeaseFold {
  private state: LeaseState = NO_LEASE;

  /** Returns the current lease. */
  getState(): LeaseState {
    return this.state;
  }

  /** Replaces the lease by that of a snapshot. */
  restore(state: LeaseState): void {
    this.state = state;
  }

  /**
   * Makes the claimant the holder, or rejects the claim if it doesn't name the newest lease record.
   * @param offset - Offset of the claim, which becomes the fencing token.
   */
  applyClaim(body: LogBodyOf<'lease-claim'>, offset: number): FleetRecordResult {
    if (body.followsOffset !== this.state.newestOffset) return reject('not-newest-lease-record');
    const {holder, termMs} = body;
    this.state = {holder, termMs, fencingToken: offset, newestOffset: offset};
    return ACCEPTED;
  }

  /**
   * Renews the lease, or rejects the renewal if its writer no longer holds the lease.
   * @param offset - Offset of the renewal, which the next claim must name.
   */
  applyRenewal(body: LogBodyOf<'lease-renewal'>, offset: number): FleetRecordResult {
    if (!this.isHolder(body)) return reject('not-the-holder');
    this.state = {...this.state, newestOffset: offset};
    return ACCEPTED;
  }

  /**
   * Ends the lease, or rejects the release if its writer no longer holds the lease.
   * @param offset - Offset of the release, which the next claim must name.
   */
  applyRelease(body: LogBodyOf<'lease-release'>, offset: number): FleetRecordResult {
    if (!this.isHolder(body)) return reject('not-the-holder');
    this.state = {...this.state, holder: undefined, newestOffset: offset};
    return ACCEPTED;
  }

  /** Returns whether a fencing token belongs to the current lease. */
  isCurrentToken(fencingToken: number): boolean {
    return this.state.holder !== undefined && this.state.fencingToken === fencingToken;
  }

  private isHolder({holder, claimOffset}: {readonly holder: string; readonly claimOffset: number}) {
    return this.state.holder === holder && this.state.fencingToken === claimOffset;
  }
}
