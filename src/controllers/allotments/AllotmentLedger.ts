/** Holds the requests of each workspace within what all gateways together may admit. */
import type {WorkspaceAllotment} from '../../catalog/index.js';

interface Bucket {
  /** What may still be admitted; below 0 after other gateways admitted the same. */
  level: number;
  /** Whether the first fill has been made. */
  isFilled: boolean;
  updatedAtMs: number;
  /** Total of what this gateway admitted since its start. */
  admitted: number;
  /** Admitted by other gateways a second, as they report. */
  readonly peers: Map<string, PeerUse>;
}

interface PeerUse {
  incarnation: number;
  admitted: number;
  perSecond: number;
  reportedAtMs: number;
}

/** How much of the deployment this gateway hears. */
export interface PeerReach {
  /** Gateways that are heard, this one included. */
  readonly heard: number;
  /** Gateways that may be admitting requests, this one included. */
  readonly known: number;
}

/** The verdict on a request. */
export type AllotmentDecision =
  {readonly kind: 'admitted'} | {readonly kind: 'over'; readonly retryAfterMs: number};

const MS_PER_SECOND = 1_000;
/** Weight of a peer's newest rate in its smoothed rate. */
const RATE_WEIGHT = 0.5;
/** A peer's use is extrapolated for this long after its report. */
const MAX_EXTRAPOLATION_MS = 1_000;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 4_000;

/** Options of an `AllotmentLedger`. */
export interface AllotmentLedgerOptions {
  /** Whether buckets begin full; false where this process may follow one that has admitted requests. */
  readonly beginsFull: boolean;
  /** Share of an allotment that may be admitted beyond it. */
  readonly toleratedShare: number;
}

/**
 * Part of the tolerated share by which buckets fill faster; the rest covers what gateways admit before they hear of each
 * other.
 */
const RATE_TOLERANCE_SHARE = 0.5;

/**
 * Token buckets that count the admissions of all gateways.
 *
 * Each gateway tells the others its total; what they have admitted since is taken off the own bucket, and what they are
 * likely to have admitted since their last report is held back. A gateway that doesn't hear the others uses its part.
 */
export class AllotmentLedger {
  private readonly buckets = new Map<string, Bucket>();
  private readonly options: AllotmentLedgerOptions;

  constructor(options: AllotmentLedgerOptions) {
    this.options = options;
  }

  /**
   * Admits a request or refuses it.
   * @param workspace - Name of the workspace.
   * @param allotment - Its limit.
   * @param cost - Requests or tokens, as the limit counts.
   * @param reach - How much of the deployment is heard.
   * @param nowMs - Present time.
   */
  admit(
    workspace: string,
    allotment: WorkspaceAllotment,
    cost: number,
    reach: PeerReach,
    nowMs: number,
  ): AllotmentDecision {
    const bucket = this.refill(workspace, allotment, reach, nowMs);
    const available = bucket.level - getUnreported(bucket, nowMs);
    if (available < Math.min(cost, this.getDepth(allotment) * getShare(reach))) {
      return {kind: 'over', retryAfterMs: getRetryAfterMs(allotment, cost - available)};
    }
    bucket.level -= cost;
    bucket.admitted += cost;
    return {kind: 'admitted'};
  }

  /**
   * Gives back what was admitted for a request that no backend server ran.
   * @param workspace - Name of the workspace.
   * @param cost - What was admitted.
   */
  giveBack(workspace: string, cost: number): void {
    const bucket = this.buckets.get(workspace);
    if (!bucket) return;
    bucket.level += cost;
    bucket.admitted -= cost;
  }

  /**
   * Takes the report of another gateway.
   * @param gatewayId - The gateway.
   * @param incarnation - Names one start of the gateway.
   * @param workspace - Name of the workspace.
   * @param admitted - What it admitted since its start.
   * @param nowMs - Present time.
   */
  applyPeer(
    gatewayId: string,
    incarnation: number,
    workspace: string,
    admitted: number,
    nowMs: number,
  ): void {
    const bucket = this.getBucket(workspace, nowMs);
    const peer = bucket.peers.get(gatewayId);
    if (!peer || peer.incarnation !== incarnation) {
      bucket.peers.set(gatewayId, {incarnation, admitted, perSecond: 0, reportedAtMs: nowMs});
      bucket.level -= peer ? admitted : 0;
      return;
    }
    const added = admitted - peer.admitted;
    const elapsedMs = Math.max(1, nowMs - peer.reportedAtMs);
    bucket.level -= added;
    peer.perSecond +=
      RATE_WEIGHT * ((Math.max(0, added) * MS_PER_SECOND) / elapsedMs - peer.perSecond);
    peer.admitted = admitted;
    peer.reportedAtMs = nowMs;
  }

  /** Returns what this gateway has admitted since its start, by workspace. */
  getAdmitted(): ReadonlyMap<string, number> {
    return new Map([...this.buckets].map(([workspace, {admitted}]) => [workspace, admitted]));
  }

  private refill(
    workspace: string,
    allotment: WorkspaceAllotment,
    reach: PeerReach,
    nowMs: number,
  ): Bucket {
    const depth = this.getDepth(allotment);
    const bucket = this.getBucket(workspace, nowMs);
    if (!bucket.isFilled && this.options.beginsFull) bucket.level += depth;
    bucket.isFilled = true;
    const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
    const added = elapsedMs * this.getRatePerMs(allotment) * getShare(reach);
    bucket.level = Math.min(depth * getShare(reach), bucket.level + added);
    bucket.updatedAtMs = nowMs;
    return bucket;
  }

  private getDepth({burst}: WorkspaceAllotment): number {
    return burst * (1 + this.options.toleratedShare);
  }

  private getRatePerMs({ratePerSecond}: WorkspaceAllotment): number {
    const tolerated = 1 + RATE_TOLERANCE_SHARE * this.options.toleratedShare;
    return (ratePerSecond * tolerated) / MS_PER_SECOND;
  }

  private getBucket(workspace: string, nowMs: number): Bucket {
    const found = this.buckets.get(workspace);
    if (found) return found;
    const created = {level: 0, isFilled: false, updatedAtMs: nowMs, admitted: 0, peers: new Map()};
    this.buckets.set(workspace, created);
    return created;
  }
}

function getShare({heard, known}: PeerReach): number {
  return heard / Math.max(heard, known);
}

function getUnreported({peers}: Bucket, nowMs: number): number {
  let unreported = 0;
  for (const {perSecond, reportedAtMs} of peers.values()) {
    const ageMs = nowMs - reportedAtMs;
    if (ageMs <= MAX_EXTRAPOLATION_MS) unreported += (perSecond * ageMs) / MS_PER_SECOND;
  }
  return unreported;
}

function getRetryAfterMs({ratePerSecond}: WorkspaceAllotment, missing: number): number {
  const waitMs = (missing * MS_PER_SECOND) / Math.max(1, ratePerSecond);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
