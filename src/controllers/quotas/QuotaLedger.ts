/** Enforces the quota of each workspace over all gateways. */
import type {WorkspaceQuota} from '../../catalog/index.js';
import {getTextKey} from '../../utils/index.js';
import {Exposure} from './Exposure.js';
import {
  getAdmittedShare,
  getBucketLimits,
  projectLevel,
  type BucketLimits,
  type QuotaTolerance,
} from './bucketLimits.js';

/** Token bucket of one workspace. Amounts are in the unit of its quota: requests or tokens. */
interface Bucket {
  /** Undefined while the workspace is known from reports only, which carry its key. */
  workspace: string | undefined;
  /** Estimate of the amount that may still be admitted; negative while more was admitted. */
  level: number;
  /** Those of the latest request; undefined while the quota isn't known. */
  limits: BucketLimits | undefined;
  updatedAtMs: number;
  /** Total amount that this gateway has admitted since its start. */
  admitted: number;
  /** Sum of the admitted shares of requests that aren't admitted yet, see `QuotaLedger.admit`. */
  credit: number;
  /** How much time the past counts for, with each moment weighted by the admitted share then. */
  readonly exposure: Exposure;
  /** Sum of the demands of the sources. */
  peerDemand: number;
  sweptAtMs: number;
  /** Usage of the other gateways by source: a gateway, or the representative of several. */
  readonly peers: Map<string, PeerUsage>;
}

/** Usage of a workspace's quota by the gateways of one source. */
interface PeerUsage {
  /** Identifies the starts of the gateways. */
  composition: bigint;
  /** Total amount that they reported as admitted since their starts. */
  admitted: number;
  receivedAtMs: number;
  /** Mean time of the states in the last report. */
  reportedAtMs: number;
  /** Exposure of the bucket at that time. */
  reportedExposureMs: number;
  /** Smoothed amount that the reports add, and exposure in which it was admitted. */
  recentAmount: number;
  recentExposureMs: number;
  /** Estimated amount per millisecond that they would admit if they admitted all requests. */
  demand: number;
  /** Amount that was assumed as admitted before `demand` was set to 0, because no report had come for too long. */
  assumed: number;
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

/** State of a bucket when a request was decided on. Amounts are in the unit of the quota. */
export interface BucketState {
  /** Estimate of the amount that all gateways may still admit; negative while more was admitted. */
  readonly level: number;
  /** Part of the deducted amounts that other gateways have probably admitted, but haven't reported yet. */
  readonly assumed: number;
  /** Fraction of the requests that are admitted at this level. */
  readonly admittedShare: number;
}

/** Whether a request is within the quota of its workspace. */
export type QuotaDecision =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'over'; readonly retryAfterMs: number; readonly bucket: BucketState};

/** What a decision depends on besides the cost. */
export interface QuotaCaller {
  /** Whether the caller was probably refused before. */
  readonly isReturning: boolean;
  /** Longest delay before a retry that the caller honours. */
  readonly maxRetryAfterMs: number;
}

/** Time constant for the demand of a source; with a shorter one it follows single large requests. */
const DEMAND_SMOOTHING_MS = 1_500;
/** Added to the exposure that a demand is divided by, which may be close to 0. */
const MIN_EXPOSURE_MS = 10;
/**
 * Longest time after the states of a report for which admissions are assumed. By then the reachable share takes account
 * of gateways that aren't heard.
 */
const MAX_ASSUMED_MS = 3_500;
/** Interval at which sources without reports are looked for. */
const SWEEP_INTERVAL_MS = 500;
/** Demands of the sources are estimated up to this multiple of the rate: higher ones come from few admissions. */
const MAX_DEMAND = 10;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 4_000;
/** Lowest part of a delay before a retry; the rest of it is random, so that callers don't return together. */
const MIN_RETRY_PART = 0.6;
/** Factor of the admitted share for returning callers. */
const RETURNING_PREFERENCE = 4;
const NEW_CALLER: QuotaCaller = {isReturning: false, maxRetryAfterMs: MAX_RETRY_AFTER_MS};

/** Largest credit that requests which were too large leave to later ones. */
const MAX_CREDIT = 2;

/** Options of a `QuotaLedger`. */
export interface QuotaLedgerOptions extends QuotaTolerance {
  /** Whether buckets start full. False if a previous process of this gateway may just have admitted requests. */
  readonly startsFull: boolean;
  /**
   * Returns the quota of a workspace that other gateways report, so that the bucket is kept before the first request of
   * the workspace; undefined if it isn't known.
   */
  readonly findQuota: (workspaceKey: number) => WorkspaceQuota | undefined;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/**
 * Distributed token buckets, one for each workspace, that account for the admissions of all gateways.
 *
 * Each gateway reports its total admissions to the others, which deduct the increase from their own buckets. The amount
 * that peers have probably admitted since their last reports is reserved. A gateway that can't reach all of the
 * others is limited to the fraction of the quota that belongs to the gateways it reaches.
 *
 * All requests are admitted while the level is positive. Below, the admitted share of them falls with the level, the
 * same for all sizes, until the gateways together admit what the quota allows.
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
    caller: QuotaCaller = NEW_CALLER,
  ): QuotaDecision {
    const limits = getBucketLimits(quota, getReachableShare(reachability), this.options);
    const bucket = this.refill(workspace, limits, nowMs);
    const {level} = bucket;
    const share = getCallerShare(level, limits, caller);
    // Each request adds its share to the credit, and one is admitted for each unit of it: the order of sizes doesn't
    // matter, and a request that only its size prevents leaves its credit to the next one.
    bucket.credit = Math.min(MAX_CREDIT, bucket.credit + share);
    const isWithinDebt = level - cost >= -limits.maxDebt;
    const isFull = limits.isWhole && level >= limits.capacity;
    if (bucket.credit >= 1 && (isWithinDebt || isFull)) {
      bucket.credit -= 1;
      bucket.level -= cost;
      bucket.admitted += cost;
      return {kind: 'admitted'};
    }
    const shortfall = Math.max(-level, cost - limits.maxDebt - level);
    return {
      kind: 'over',
      retryAfterMs: this.getRetryAfterMs(shortfall / limits.ratePerMs, caller),
      bucket: {level, assumed: getAssumed(bucket), admittedShare: share},
    };
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
    advanceBucket(bucket, nowMs);
    const reportedAtMs = nowMs - Math.max(0, report.ageMs);
    const reportedExposureMs = bucket.exposure.getAt(reportedAtMs);
    const state = {composition, admitted, receivedAtMs: nowMs, reportedAtMs, reportedExposureMs};
    const peer = bucket.peers.get(sourceId);
    if (!peer) {
      const unknown = {recentAmount: 0, recentExposureMs: 0, demand: 0, assumed: 0};
      bucket.peers.set(sourceId, {...state, ...unknown});
      bucket.level -= admitted - (report.baseline ?? admitted);
      return;
    }
    const exposureMs = Math.max(0, reportedExposureMs - peer.reportedExposureMs);
    const isComparable = peer.composition === composition;
    const isRestart = !isComparable && gateways === 1;
    const added = isComparable ? admitted - peer.admitted : isRestart ? admitted : undefined;
    bucket.level += peer.assumed + getAssumedOf(peer, bucket);
    bucket.level -= added ?? peer.assumed + peer.demand * exposureMs;
    bucket.peerDemand -= peer.demand;
    if (added !== undefined) updateDemand(peer, Math.max(0, added), exposureMs, nowMs);
    bucket.peerDemand += peer.demand;
    Object.assign(peer, state, {assumed: 0});
    bucket.level -= getAssumedOf(peer, bucket);
  }

  /**
   * Forgets a source whose gateways fail or belong to another source from now on. What they have probably admitted
   * since the last report stays deducted.
   * @param nowMs - Monotonic time in milliseconds.
   */
  removeSource(sourceId: string, nowMs: number): void {
    for (const bucket of this.buckets.values()) {
      const peer = bucket.peers.get(sourceId);
      if (!peer) continue;
      advanceBucket(bucket, nowMs);
      bucket.peerDemand -= peer.demand;
      bucket.peers.delete(sourceId);
    }
  }

  /** Returns the total amount that this gateway has admitted since its start, by workspace; it's reported to peers. */
  getAdmittedTotals(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const {workspace, admitted} of this.buckets.values()) {
      if (workspace !== undefined) totals.set(workspace, admitted);
    }
    return totals;
  }

  private refill(workspace: string, limits: BucketLimits, nowMs: number): Bucket {
    const bucket = this.getBucket(getTextKey(workspace), nowMs);
    bucket.workspace = workspace;
    if (bucket.limits === undefined && this.options.startsFull) bucket.level += limits.capacity;
    bucket.limits = limits;
    if (nowMs - bucket.sweptAtMs >= SWEEP_INTERVAL_MS) sweepSources(bucket, nowMs);
    advanceBucket(bucket, nowMs);
    return bucket;
  }

  /** Returns the delay until the level is probably positive again, within what the caller honours. */
  private getRetryAfterMs(waitMs: number, {maxRetryAfterMs}: QuotaCaller): number {
    const longestMs = Math.min(MAX_RETRY_AFTER_MS, maxRetryAfterMs);
    const part = MIN_RETRY_PART + (1 - MIN_RETRY_PART) * this.options.random();
    const spreadMs = Math.min(longestMs, waitMs / MIN_RETRY_PART) * part;
    return Math.min(longestMs, Math.max(MIN_RETRY_AFTER_MS, spreadMs));
  }

  private getBucket(workspaceKey: number, nowMs: number): Bucket {
    const found = this.buckets.get(workspaceKey);
    if (found) return found;
    const quota = this.options.findQuota(workspaceKey);
    const limits = quota && getBucketLimits(quota, 1, this.options);
    const newBucket = {
      workspace: undefined,
      level: this.options.startsFull ? (limits?.capacity ?? 0) : 0,
      limits,
      updatedAtMs: nowMs,
      admitted: 0,
      // Random, so that not all gateways refuse their first request.
      credit: this.options.random(),
      exposure: new Exposure(nowMs),
      peerDemand: 0,
      sweptAtMs: nowMs,
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

/** Adds the refill until a moment to a bucket, and deducts what other gateways probably admit meanwhile. */
function advanceBucket(bucket: Bucket, nowMs: number): void {
  const {limits, exposure, peerDemand} = bucket;
  if (limits === undefined) return exposure.advance(nowMs, nowMs - exposure.atMs);
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const demand = Math.min(Math.max(0, peerDemand), MAX_DEMAND * limits.ratePerMs);
  const {level, exposureMs} = projectLevel(bucket.level, demand, elapsedMs, limits);
  bucket.level = level;
  bucket.updatedAtMs = Math.max(bucket.updatedAtMs, nowMs);
  exposure.advance(nowMs, exposureMs);
}

function updateDemand(peer: PeerUsage, added: number, exposureMs: number, nowMs: number): void {
  const keptShare = Math.exp((peer.receivedAtMs - nowMs) / DEMAND_SMOOTHING_MS);
  peer.recentAmount = peer.recentAmount * keptShare + added;
  peer.recentExposureMs = peer.recentExposureMs * keptShare + exposureMs;
  peer.demand = peer.recentAmount / (peer.recentExposureMs + MIN_EXPOSURE_MS);
}

/** Estimates the amount that a source has admitted since its last report. */
function getAssumedOf({demand, reportedExposureMs}: PeerUsage, {exposure}: Bucket): number {
  return demand * Math.max(0, exposure.totalMs - reportedExposureMs);
}

/** Returns the amount that was deducted from a bucket without a report. */
function getAssumed(bucket: Bucket): number {
  let assumed = 0;
  for (const peer of bucket.peers.values()) assumed += peer.assumed + getAssumedOf(peer, bucket);
  return assumed;
}

/** Assumes no further admissions of sources without reports for too long. */
function sweepSources(bucket: Bucket, nowMs: number): void {
  bucket.sweptAtMs = nowMs;
  advanceBucket(bucket, nowMs);
  bucket.peerDemand = 0;
  for (const peer of bucket.peers.values()) {
    if (nowMs - peer.reportedAtMs > MAX_ASSUMED_MS) {
      peer.assumed += getAssumedOf(peer, bucket);
      peer.demand = 0;
    }
    bucket.peerDemand += peer.demand;
  }
}

/** Returns the share of the requests of a caller to admit at a level. */
function getCallerShare(level: number, limits: BucketLimits, {isReturning}: QuotaCaller): number {
  const share = getAdmittedShare(level, limits);
  return isReturning ? Math.min(1, share * RETURNING_PREFERENCE) : share;
}
