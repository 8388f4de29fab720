/** Claims idempotency keys in the shared log, so that a request that isn't idempotent runs at most once. */
import {decideClaim, type ClaimAnswer, type ClaimRequest} from '../controllers/claims/index.js';
import {ClaimsFold} from '../folds/index.js';
import {
  LogWriter,
  SnapshotPublisher,
  StreamFollower,
  systemSleep,
  type LogAccess,
  type Sleep,
} from '../log/index.js';
import type {ClaimProposal, OutcomeProposal, PlacedRecord} from '../records/index.js';
import {BoundedSet} from './BoundedSet.js';
import {ClaimBatcher} from './ClaimBatcher.js';
import {AggregatorCalls, type ClaimAggregation} from './AggregatorCalls.js';
import {KeyWaiters} from './KeyWaiters.js';

/** Options of a `ClaimService`. */
export interface ClaimServiceOptions {
  /** Log that holds the `claims` stream. */
  readonly log: LogAccess;
  /** Identifies this run of the process; no other process may ever have used the same value. */
  readonly claimant: string;
  /** Returns monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns whether a claimant's process is known to be running. */
  readonly isClaimantLive: (claimant: string) => boolean;
  /** Shortest time for which claims are collected before an append; 10 ms by default. */
  readonly batchIntervalMs?: number;
  /** Appends per second of all entries together; must be below the log's limit. 90 by default. */
  readonly appendsPerSecond?: number;
  /** Time after which a claim that wasn't read back is refused; 3 s by default. */
  readonly claimTimeoutMs?: number;
  /** Chooses other entries that aggregate claims; if absent, this entry appends its own claims. */
  readonly aggregation?: ClaimAggregation;
  /** Time limit of calls to an aggregator, after which this entry appends the claim itself; 500 ms by default. */
  readonly aggregatorTimeoutMs?: number;
  /** Shortest time between the starts of two calls to an aggregator; 25 ms by default. */
  readonly aggregatorCallIntervalMs?: number;
  /** Retention time of claims by the log's clock; must be the same at every entry. Seven days by default. */
  readonly retentionMs?: number;
  /** Longest time between snapshots of the claims; must be well below the log's retention time. 15 min by default. */
  readonly snapshotIntervalMs?: number;
  /** Returns a number from 0 up to 1, for jitter between the entries' snapshots; `Math.random` by default. */
  readonly random?: () => number;
  /** Timer; the system's timer by default. */
  readonly sleep?: Sleep;
}

const DEFAULT_BATCH_INTERVAL_MS = 10;
const DEFAULT_APPENDS_PER_SECOND = 90;
/** Number of entries that are assumed to append if nothing is known about the others. */
const DEFAULT_APPENDER_COUNT = 9;
const DEFAULT_CLAIM_TIMEOUT_MS = 3_000;
const DEFAULT_SNAPSHOT_INTERVAL_MS = 900_000;
const DEFAULT_AGGREGATOR_TIMEOUT_MS = 500;
const DEFAULT_AGGREGATOR_CALL_INTERVAL_MS = 25;

/** This entry counts as caught up if it has read to the end of the stream no longer ago than this. */
const MAX_CAUGHT_UP_AGE_MS = 4_000;
/** Number of attempt ids remembered, so that none claims a key twice. */
const MAX_USED_ATTEMPTS = 50_000;
/** Number of refused attempts remembered, in case their claims appear in the log later. */
const MAX_ABANDONED_ATTEMPTS = 50_000;

const HELD: ClaimAnswer = {verdict: 'held', isKnownNotRun: false};
const UNAVAILABLE: ClaimAnswer = {verdict: 'unavailable', isKnownNotRun: false};

/** Claims keys and records outcomes. Every decision is derived from records that were read back from the log. */
export class ClaimService {
  private readonly options: ClaimServiceOptions;
  private readonly claimTimeoutMs: number;
  private readonly aggregatorTimeoutMs: number;
  private readonly fold: ClaimsFold;
  private readonly writer: LogWriter;
  private readonly follower: StreamFollower;
  private readonly batcher: ClaimBatcher;
  private readonly publisher: SnapshotPublisher;
  private readonly waiters: KeyWaiters;
  private readonly aggregatorCalls: AggregatorCalls;
  private readonly pendingOutcomes = new Set<Promise<boolean>>();
  private readonly usedAttempts = new BoundedSet(MAX_USED_ATTEMPTS);
  private readonly abandonedAttempts = new BoundedSet(MAX_ABANDONED_ATTEMPTS);
  private isStopped = false;

  constructor(options: ClaimServiceOptions) {
    this.options = options;
    this.claimTimeoutMs = options.claimTimeoutMs ?? DEFAULT_CLAIM_TIMEOUT_MS;
    this.fold = new ClaimsFold(
      options.retentionMs === undefined ? undefined : {retentionMs: options.retentionMs},
    );
    const {log, claimant, getNowMs, sleep = systemSleep} = options;
    this.aggregatorTimeoutMs = options.aggregatorTimeoutMs ?? DEFAULT_AGGREGATOR_TIMEOUT_MS;
    this.waiters = new KeyWaiters(sleep);
    this.aggregatorCalls = new AggregatorCalls({
      getNowMs,
      sleep,
      timeoutMs: this.aggregatorTimeoutMs,
      callIntervalMs: options.aggregatorCallIntervalMs ?? DEFAULT_AGGREGATOR_CALL_INTERVAL_MS,
    });
    this.writer = new LogWriter({
      stream: 'claims',
      log,
      writer: claimant,
      timeoutMs: this.claimTimeoutMs,
      sleep,
    });
    this.batcher = new ClaimBatcher({
      writer: this.writer,
      batchIntervalMs: options.batchIntervalMs ?? DEFAULT_BATCH_INTERVAL_MS,
      sleep,
      getNowMs,
      getAppendsPerSecond: () => this.getAppendsPerSecond(),
      isOutcomeRecorded: outcome => this.isOutcomeRecorded(outcome),
    });
    this.follower = new StreamFollower({
      stream: 'claims',
      log,
      getNowMs,
      fold: this.fold,
      writer: this.writer,
      sleep,
      onApplied: placed => this.handleRecord(placed),
    });
    this.publisher = new SnapshotPublisher({
      fold: this.fold,
      writer: this.writer,
      getNowMs,
      sleep,
      random: options.random ?? Math.random,
      intervalMs: options.snapshotIntervalMs ?? DEFAULT_SNAPSHOT_INTERVAL_MS,
      getNextOffset: () => this.follower.getNextOffset(),
      isCaughtUp: () => this.isCaughtUp(),
    });
  }

  /** Starts following the claims stream and publishing snapshots. */
  start(): void {
    this.follower.start();
    this.publisher.start();
  }

  /** Refuses claims in progress, makes one more attempt to append queued outcomes, and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.waiters.wakeAll();
    this.aggregatorCalls.stop();
    await Promise.allSettled(this.pendingOutcomes);
    await Promise.all([this.batcher.stop(), this.publisher.stop()]);
    await this.follower.stop();
  }

  /**
   * Claims the key of a request. The request may be sent, once, only if the verdict is `granted`.
   * @param request - Request with its key. The attempt id is valid for one call: a second call with it is never
   * granted.
   */
  async claim(request: ClaimRequest): Promise<ClaimAnswer> {
    const {attemptId} = request;
    const proposal = {...request, claimant: this.options.claimant};
    if (this.isStopped) return UNAVAILABLE;
    const earlier = this.getDecision(proposal);
    if (earlier) return replaceGrantWithHeld(earlier);
    if (!this.usedAttempts.add(attemptId)) return HELD;
    const answer = (await this.claimAtAggregator(proposal)) ?? (await this.claimInLog(proposal));
    if (answer) return answer;
    if (!this.batcher.removeClaim(attemptId)) this.abandonedAttempts.add(attemptId);
    return UNAVAILABLE;
  }

  /**
   * Claims a key as the aggregator of another entry.
   * @param proposal - Claim with the other entry as claimant.
   */
  async claimForEntry(proposal: ClaimProposal): Promise<ClaimAnswer> {
    if (this.isStopped || !this.fold.isComplete()) return UNAVAILABLE;
    return this.getDecision(proposal) ?? (await this.claimInLog(proposal)) ?? UNAVAILABLE;
  }

  /**
   * Records how a claimed request ended. The outcome is appended repeatedly until the log contains it, even after this
   * call has stopped waiting.
   * @param outcome - Outcome of an attempt that was granted its key.
   * @returns Whether the outcome was read back in time.
   */
  async recordOutcome(outcome: OutcomeProposal): Promise<boolean> {
    if (this.isStopped) return false;
    const record = this.recordAndAwaitOutcome(outcome);
    this.pendingOutcomes.add(record);
    return record.finally(() => this.pendingOutcomes.delete(record));
  }

  /**
   * Queues an outcome as the aggregator of another entry, which checks in the log whether it was appended.
   * @param outcome - Outcome that the other entry reported.
   */
  addOutcomeForEntry(outcome: OutcomeProposal): void {
    if (!this.isStopped) this.batcher.addOutcome(outcome);
  }

  private async recordAndAwaitOutcome(outcome: OutcomeProposal): Promise<boolean> {
    if (await this.recordAtAggregator(outcome)) return true;
    this.batcher.addOutcome(outcome);
    return this.waitForOutcome(outcome, this.claimTimeoutMs);
  }

  private async waitForOutcome(outcome: OutcomeProposal, timeoutMs: number): Promise<boolean> {
    const {workspace, key} = outcome;
    const deadlineMs = this.options.getNowMs() + timeoutMs;
    while (!this.isOutcomeRecorded(outcome) && !this.isStopped) {
      const remainingMs = deadlineMs - this.options.getNowMs();
      if (remainingMs <= 0) break;
      await this.waiters.wait(workspace, key, remainingMs);
    }
    return this.isOutcomeRecorded(outcome);
  }

  /** Returns undefined if this entry has no aggregator, or the aggregator can't decide in time. */
  private async claimAtAggregator(proposal: ClaimProposal): Promise<ClaimAnswer | undefined> {
    const aggregator = this.options.aggregation?.getAggregator();
    if (!aggregator) return undefined;
    try {
      const answer = await this.aggregatorCalls.claim(aggregator, proposal);
      return answer.verdict === 'unavailable' ? undefined : answer;
    } catch {
      return undefined;
    }
  }

  /** Returns whether the outcome was appended by the aggregator and read back in time. */
  private async recordAtAggregator(outcome: OutcomeProposal): Promise<boolean> {
    const aggregator = this.options.aggregation?.getAggregator();
    if (!aggregator) return false;
    try {
      await this.aggregatorCalls.addOutcome(aggregator, outcome);
    } catch {
      return false;
    }
    return this.waitForOutcome(outcome, this.aggregatorTimeoutMs);
  }

  /** Appends the claim and waits until it is read back; returns undefined if that takes too long. */
  private async claimInLog(proposal: ClaimProposal): Promise<ClaimAnswer | undefined> {
    const earlier = this.getDecision(proposal);
    if (earlier || this.isStopped) return earlier;
    const {workspace, key} = proposal;
    this.batcher.addClaim(proposal);
    await this.waiters.wait(workspace, key, this.claimTimeoutMs);
    return this.isStopped ? undefined : this.getDecision(proposal);
  }

  private getDecision(proposal: ClaimProposal): ClaimAnswer | undefined {
    const {fold, options} = this;
    const {claimant} = proposal;
    const claim = fold.getClaim(proposal.workspace, proposal.key);
    const isClaimantLive =
      claim !== undefined &&
      (claim.claimant === options.claimant || options.isClaimantLive(claim.claimant));
    const isHistoryComplete = fold.isComplete();
    const keptFromMs = fold.getExpiryLimitMs();
    const view = {claim, claimant, isClaimantLive, isHistoryComplete, keptFromMs};
    return decideClaim(view, proposal);
  }

  private isOutcomeRecorded({workspace, key, attemptId, run}: OutcomeProposal): boolean {
    const claim = this.fold.getClaim(workspace, key);
    return claim?.attemptId === attemptId && claim.outcome?.run === run;
  }

  private getAppendsPerSecond(): number {
    const {appendsPerSecond = DEFAULT_APPENDS_PER_SECOND, aggregation} = this.options;
    const appenderCount = aggregation?.getAppenderCount() ?? DEFAULT_APPENDER_COUNT;
    return appendsPerSecond / Math.max(appenderCount, 1);
  }

  private isCaughtUp(): boolean {
    const readAtMs = this.follower.getCaughtUpAtMs();
    return readAtMs !== undefined && this.options.getNowMs() - readAtMs <= MAX_CAUGHT_UP_AGE_MS;
  }

  private handleRecord(placed: PlacedRecord): void {
    this.publisher.observe(placed);
    const {body} = placed.record;
    if (body.kind === 'claim-batch') {
      for (const {workspace, key} of body.claims) {
        this.releaseAbandonedClaim(workspace, key);
        this.waiters.wake(workspace, key);
      }
    }
    if (body.kind === 'outcome-batch') {
      for (const {workspace, key} of body.outcomes) this.waiters.wake(workspace, key);
    }
  }

  /**
   * Records a claim as not run if it appeared in the log after its request was refused. The request never runs, and
   * only this process knows that.
   */
  private releaseAbandonedClaim(workspace: string, key: string): void {
    const claim = this.fold.getClaim(workspace, key);
    if (!claim || !this.fold.isComplete()) return;
    if (!this.abandonedAttempts.delete(claim.attemptId)) return;
    const {attemptId} = claim;
    this.batcher.addOutcome({workspace, key, attemptId, run: 'not-run'});
  }
}

/**
 * Returns `held` in place of `granted` for a claim that existed before this call: it was granted to another call, even
 * if both have the same attempt id.
 */
function replaceGrantWithHeld(answer: ClaimAnswer): ClaimAnswer {
  return answer.verdict === 'granted' ? HELD : answer;
}
