/** The lease of the fleet's holder, as claims, renewals and releases give it. */
import {z} from 'zod';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, reject, type FleetVerdict} from './FleetVerdict.js';

/** Schema of the lease within a snapshot. */
export const leaseStateSchema = z.strictObject({
  /** Writer that holds the lease; absent before the first claim and after a release. */
  holder: z.string().optional(),
  /** Offset of the newest claim that holds; the fencing token of the holder's orders. -1 before the first. */
  fencingToken: z.number().int(),
  termMs: z.number().int(),
  /** Offset of the newest claim, renewal or release that holds; a claim names it. -1 before the first. */
  newestOffset: z.number().int(),
});

/** The lease as the log gives it. */
export type LeaseState = Readonly<z.infer<typeof leaseStateSchema>>;

const NO_LEASE: LeaseState = {fencingToken: -1, termMs: 0, newestOffset: -1};

/** Accepts a claim where it follows the newest lease record, and the rest from the holder only. */
export class LeaseFold {
  private state: LeaseState = NO_LEASE;

  /** Returns the lease. */
  getState(): LeaseState {
    return this.state;
  }

  /**
   * Takes over the lease of a snapshot.
   * @param state - The lease.
   */
  restore(state: LeaseState): void {
    this.state = state;
  }

  /**
   * Applies a claim.
   * @param body - The claim.
   * @param offset - Its offset.
   */
  applyClaim(body: LogBodyOf<'lease-claim'>, offset: number): FleetVerdict {
    if (body.followsOffset !== this.state.newestOffset) return reject('not-newest-lease-record');
    const {holder, termMs} = body;
    this.state = {holder, termMs, fencingToken: offset, newestOffset: offset};
    return ACCEPTED;
  }

  /**
   * Applies a renewal.
   * @param body - The renewal.
   * @param offset - Its offset.
   */
  applyRenewal(body: LogBodyOf<'lease-renewal'>, offset: number): FleetVerdict {
    if (!this.isHolder(body)) return reject('not-the-holder');
    this.state = {...this.state, newestOffset: offset};
    return ACCEPTED;
  }

  /**
   * Applies a release.
   * @param body - The release.
   * @param offset - Its offset.
   */
  applyRelease(body: LogBodyOf<'lease-release'>, offset: number): FleetVerdict {
    if (!this.isHolder(body)) return reject('not-the-holder');
    this.state = {...this.state, holder: undefined, newestOffset: offset};
    return ACCEPTED;
  }

  /**
   * Tells whether a fencing token is the present holder's.
   * @param fencingToken - The token.
   */
  isCurrentToken(fencingToken: number): boolean {
    return this.state.holder !== undefined && this.state.fencingToken === fencingToken;
  }

  private isHolder({holder, claimOffset}: {readonly holder: string; readonly claimOffset: number}) {
    return this.state.holder === holder && this.state.fencingToken === claimOffset;
  }
}
