/** Enforces the quota of each workspace over all gateways. */
import type {WorkspaceQuota} from '../../catalog/index.js';
import {getTextKey} from '../../utils/index.js';

/** Token bucket of one workspace. Amounts are in the unit of its quota: requests or tokens. */
interface Bucket {
  /** Undefined while the workspace is known from reports only, which carry its key. */
  workspace: string | undefined;
  /** Amount that may still be admitted; negative if several gateways admitted the same amount at once. */
  level: number;
  /** Whether the bucket got its initial fill. */
  isFilled: boolean;
  updatedAtMs: number;
  /** Total amount that this gateway has admitted since its start. */
  admitted: number;
  /** Usage of the other gateways by source: a gateway, or the representative of several. */
  readonly peers: Map<string, PeerUsage>;
}

/** Usage of a workspace's quota by the gateways of one source. */
interface PeerUsage {
  /** Identifies the starts of the gateways. */
  composition: bigint;
  /** Total amount that they reported as admitted since their starts. */
  admitted: number;
  /** Smoothed rate between its reports. */
  admittedPerSecond: number;
  reportedAtMs: number;
}

/** Admissions of a workspace that one source reports. */
export interface AdmissionReport {
  /** Key of the workspace's name. */
  readonly workspaceKey: number;
  /** Total amount that the gateways of the source have admitted since their starts. */
  readonly admitted: number;
  /**
   * Amount that was already admitted when the source became known, if this is its first report of the workspace;
   * undefined if that isn't known.
   */
  readonly baseline: number | undefined;
  /** Identifies the starts of these gateways. */
  readonly composition: bigint;
  /** Number of these gateways. */
  readonly gateways: number;
  /** Mean age of their states when the report was received. */
  readonly ageMs: number;
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
const MAX_EXTRAPOLATION_MS = 2_000;
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
  /** By the key of the workspace's name. */
  private readonly buckets = new Map<number, Bucket>();
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
    const bucket = this.buckets.get(getTextKey(workspace));
    if (!bucket) return;
    bucket.level += cost;
    bucket.admitted -= cost;
  }

  /**
   * Applies the report of another gateway, or of the representative of several. The first report of a source only sets
   * the baseline for later ones, unless it states one. After a restart of a single gateway its whole total is deducted; after another change
   * of the gateways that a source represents, the totals can't be compared, and its last rate is deducted instead.
   * @param sourceId - Identifies the source; no gateway may be part of two sources.
   * @param nowMs - Monotonic time in milliseconds at which the report was received.
   */
  applyPeerReport(sourceId: string, report: AdmissionReport, nowMs: number): void {
    const {workspaceKey, admitted, composition, gateways} = report;
    const bucket = this.getBucket(workspaceKey, nowMs);
    const reportedAtMs = nowMs - report.ageMs;
    const peer = bucket.peers.get(sourceId);
    if (!peer) {
      bucket.peers.set(sourceId, {composition, admitted, admittedPerSecond: 0, reportedAtMs});
      bucket.level -= admitted - (report.baseline ?? admitted);
      return;
    }
    const elapsedMs = Math.max(1, reportedAtMs - peer.reportedAtMs);
    if (peer.composition !== composition) {
      const isRestart = gateways === 1;
      bucket.level -= isRestart ? admitted : (peer.admittedPerSecond * elapsedMs) / MS_PER_SECOND;
      if (isRestart) peer.admittedPerSecond = 0;
    } else {
      const added = admitted - peer.admitted;
      bucket.level -= added;
      peer.admittedPerSecond +=
        RATE_WEIGHT * ((Math.max(0, added) * MS_PER_SECOND) / elapsedMs - peer.admittedPerSecond);
    }
    peer.composition = composition;
    peer.admitted = admitted;
    peer.reportedAtMs = reportedAtMs;
  }

  /** Returns the total amount that this gateway has admitted since its start, by workspace; it's reported to peers. */
  getAdmittedTotals(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const {workspace, admitted} of this.buckets.values()) {
      if (workspace !== undefined) totals.set(workspace, admitted);
    }
    return totals;
  }

  private refill(
    workspace: string,
    quota: WorkspaceQuota,
    reachability: PeerReachability,
    nowMs: number,
  ): Bucket {
    const capacity = this.getCapacity(quota);
    const bucket = this.getBucket(getTextKey(workspace), nowMs);
    bucket.workspace = workspace;
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

  private getBucket(workspaceKey: number, nowMs: number): Bucket {
    const found = this.buckets.get(workspaceKey);
    if (found) return found;
    const newBucket = {
      workspace: undefined,
      level: 0,
      isFilled: false,
      updatedAtMs: nowMs,
      admitted: 0,
      peers: new Map(),
    };
    this.buckets.set(workspaceKey, newBucket);
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
