/** Enforces the quota of each workspace over all gateways. */
import type {WorkspaceQuota} from '../../catalog/index.js';

/** Token bucket of one workspace. Amounts are in the unit of its quota: requests or tokens. */
interface Bucket {
  /** Amount that may still be admitted; negative if several gateways admitted the same amount at once. */
  level: number;
  /** Whether the bucket got its initial fill. */
  isFilled: boolean;
  updatedAtMs: number;
  /** Total amount that this gateway has admitted since its start. */
  admitted: number;
  /** Usage of the other gateways by gateway id. */
  readonly peers: Map<string, PeerUsage>;
}

/** Usage of a workspace's quota by another gateway. */
interface PeerUsage {
  /** Identifies one process start of the gateway. */
  incarnation: number;
  /** Total amount that it reported as admitted since its start. */
  admitted: number;
  /** Smoothed rate between its reports. */
  admittedPerSecond: number;
  reportedAtMs: number;
}

/** How many of the gateways this gateway can reach. */
export interface PeerReachability {
  /** Gateways whose reports are received, this one included. */
  readonly reportingGateways: number;
  /** Gateways that may be admitting requests, this one included. */
  readonly knownGateways: number;
}

/** Whether a request is within the quota of its workspace. */
export type QuotaDecision =
  {readonly kind: 'admitted'} | {readonly kind: 'over'; readonly retryAfterMs: number};

const MS_PER_SECOND = 1_000;
/** Weight of the newest rate in a peer's smoothed rate. */
const RATE_WEIGHT = 0.5;
/** Longest time after a peer's report for which its usage is extrapolated. */
const MAX_EXTRAPOLATION_MS = 1_000;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 4_000;

/** Options of a `QuotaLedger`. */
export interface QuotaLedgerOptions {
  /** Whether buckets start full. False if a previous process of this gateway may just have admitted requests. */
  readonly startsFull: boolean;
  /** Fraction of a quota by which it may be exceeded; 0.1 for a tenth. */
  readonly toleratedShare: number;
}

/**
 * Fraction of `toleratedShare` that is used to refill buckets faster. The rest covers what gateways admit before they
 * receive each other's reports.
 */
const RATE_TOLERANCE_SHARE = 0.5;

/**
 * Distributed token buckets, one for each workspace, that account for the admissions of all gateways.
 *
 * Each gateway reports its total admissions to the others, which deduct the increase from their own buckets. The amount
 * that peers have probably admitted since their last reports is reserved. A gateway that can't reach all of the
 * others is limited to the fraction of the quota that belongs to the gateways it reaches.
 */
export class QuotaLedger {
  private readonly buckets = new Map<string, Bucket>();
  private readonly options: QuotaLedgerOptions;

  constructor(options: QuotaLedgerOptions) {
    this.options = options;
  }

  /**
   * Admits a request if the quota of its workspace allows it, and deducts the cost.
   * @param cost - Amount in the unit of the quota, requests or tokens.
   * @param reachability - Gateways that this gateway can reach now.
   * @param nowMs - Monotonic time in milliseconds.
   */
  admit(
    workspace: string,
    quota: WorkspaceQuota,
    cost: number,
    reachability: PeerReachability,
    nowMs: number,
  ): QuotaDecision {
    const bucket = this.refill(workspace, quota, reachability, nowMs);
    const available = bucket.level - estimateUnreported(bucket, nowMs);
    if (available < Math.min(cost, this.getCapacity(quota) * getReachableShare(reachability))) {
      return {kind: 'over', retryAfterMs: getRetryAfterMs(quota, cost - available)};
    }
    bucket.level -= cost;
    bucket.admitted += cost;
    return {kind: 'admitted'};
  }

  /** Refunds the cost of an admitted request that no backend server ran. */
  refund(workspace: string, cost: number): void {
    const bucket = this.buckets.get(workspace);
    if (!bucket) return;
    bucket.level += cost;
    bucket.admitted -= cost;
  }

  /**
   * Applies the report of another gateway. Its first report only sets the baseline for later ones; the first report
   * after a restart of that gateway deducts its whole total.
   * @param incarnation - Identifies one process start of the other gateway.
   * @param admitted - Total amount that it has admitted since that start.
   * @param nowMs - Monotonic time in milliseconds at which the report was received.
   */
  applyPeerReport(
    gatewayId: string,
    incarnation: number,
    workspace: string,
    admitted: number,
    nowMs: number,
  ): void {
    const bucket = this.getBucket(workspace, nowMs);
    const peer = bucket.peers.get(gatewayId);
    if (!peer || peer.incarnation !== incarnation) {
      bucket.peers.set(gatewayId, {
        incarnation,
        admitted,
        admittedPerSecond: 0,
        reportedAtMs: nowMs,
      });
      bucket.level -= peer ? admitted : 0;
      return;
    }
    const added = admitted - peer.admitted;
    const elapsedMs = Math.max(1, nowMs - peer.reportedAtMs);
    bucket.level -= added;
    peer.admittedPerSecond +=
      RATE_WEIGHT * ((Math.max(0, added) * MS_PER_SECOND) / elapsedMs - peer.admittedPerSecond);
    peer.admitted = admitted;
    peer.reportedAtMs = nowMs;
  }

  /** Returns the total amount that this gateway has admitted since its start, by workspace; it's reported to peers. */
  getAdmittedTotals(): ReadonlyMap<string, number> {
    return new Map([...this.buckets].map(([workspace, {admitted}]) => [workspace, admitted]));
  }

  private refill(
    workspace: string,
    quota: WorkspaceQuota,
    reachability: PeerReachability,
    nowMs: number,
  ): Bucket {
    const capacity = this.getCapacity(quota);
    const bucket = this.getBucket(workspace, nowMs);
    if (!bucket.isFilled && this.options.startsFull) bucket.level += capacity;
    bucket.isFilled = true;
    const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
    const added = elapsedMs * this.getRatePerMs(quota) * getReachableShare(reachability);
    bucket.level = Math.min(capacity * getReachableShare(reachability), bucket.level + added);
    bucket.updatedAtMs = nowMs;
    return bucket;
  }

  /** Returns the capacity of a bucket: the burst of the quota plus the tolerated excess. */
  private getCapacity({burst}: WorkspaceQuota): number {
    return burst * (1 + this.options.toleratedShare);
  }

  private getRatePerMs({ratePerSecond}: WorkspaceQuota): number {
    const toleratedFactor = 1 + RATE_TOLERANCE_SHARE * this.options.toleratedShare;
    return (ratePerSecond * toleratedFactor) / MS_PER_SECOND;
  }

  private getBucket(workspace: string, nowMs: number): Bucket {
    const found = this.buckets.get(workspace);
    if (found) return found;
    const newBucket = {
      level: 0,
      isFilled: false,
      updatedAtMs: nowMs,
      admitted: 0,
      peers: new Map(),
    };
    this.buckets.set(workspace, newBucket);
    return newBucket;
  }
}

/** Returns the fraction of the known gateways that this gateway can reach, itself included. */
function getReachableShare({reportingGateways, knownGateways}: PeerReachability): number {
  return reportingGateways / Math.max(reportingGateways, knownGateways);
}

/** Estimates the amount that the other gateways have admitted since their last reports, from their smoothed rates. */
function estimateUnreported({peers}: Bucket, nowMs: number): number {
  let unreported = 0;
  for (const {admittedPerSecond, reportedAtMs} of peers.values()) {
    const ageMs = nowMs - reportedAtMs;
    if (ageMs <= MAX_EXTRAPOLATION_MS) unreported += (admittedPerSecond * ageMs) / MS_PER_SECOND;
  }
  return unreported;
}

function getRetryAfterMs({ratePerSecond}: WorkspaceQuota, shortfall: number): number {
  const waitMs = (shortfall * MS_PER_SECOND) / Math.max(1, ratePerSecond);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
