/** Claims idempotency keys in the log, so that a request that isn't idempotent runs at most once. */
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
import {GathererCalls, type ClaimGathering} from './GathererCalls.js';
import {KeyWaiters} from './KeyWaiters.js';

/** Options of a `ClaimService`. */
export interface ClaimServiceOptions {
  readonly log: LogAccess;
  /** Incarnation of this process; unique among all that ever claimed. */
  readonly claimant: string;
  readonly getNowMs: () => number;
  /** Returns whether the process of a claimant is known to run. */
  readonly isClaimantLive: (claimant: string) => boolean;
  /** Shortest time for which claims are gathered before an append. */
  readonly batchIntervalMs?: number;
  /** Appends a second of all entries together; below the log's rate. */
  readonly appendsPerSecond?: number;
  /** Time after which a claim that wasn't read back is refused. */
  readonly claimTimeoutMs?: number;
  /** Other entries that gather claims; without them this one claims for itself. */
  readonly gathering?: ClaimGathering;
  /** Time after which this entry claims for itself, where another one gathers. */
  readonly gathererTimeoutMs?: number;
  /** Shortest time between the starts of two calls to a gatherer. */
  readonly gathererCallGapMs?: number;
  /** Time for which claims are kept; the same at every entry. */
  readonly keepMs?: number;
  /** Longest time without a snapshot of the claims; well below the log's retention. */
  readonly snapshotIntervalMs?: number;
  /** Returns a number from 0 up to 1; spreads the snapshots of a deployment. */
  readonly random?: () => number;
  /** Waits for a time; the system's timer where absent. */
  readonly sleep?: Sleep;
}

const DEFAULT_BATCH_INTERVAL_MS = 10;
const DEFAULT_APPENDS_PER_SECOND = 90;
/** Entries that are reckoned with where nothing is known of the others. */
const DEFAULT_APPENDER_COUNT = 9;
const DEFAULT_CLAIM_TIMEOUT_MS = 3_000;
const DEFAULT_SNAPSHOT_INTERVAL_MS = 900_000;
const DEFAULT_GATHERER_TIMEOUT_MS = 500;
const DEFAULT_GATHERER_CALL_GAP_MS = 25;

/** Age up to which a read of the log's end counts as standing at its end. */
const LOG_READ_WINDOW_MS = 4_000;
/** Attempts that are remembered so that none claims twice. */
const MAX_USED_ATTEMPTS = 50_000;
/** Refused attempts that are remembered in case their claims turn up in the log. */
const MAX_ABANDONED_ATTEMPTS = 50_000;

const HELD: ClaimAnswer = {verdict: 'held', isKnownNotRun: false};
const UNAVAILABLE: ClaimAnswer = {verdict: 'unavailable', isKnownNotRun: false};

/** Claims keys and records outcomes; every verdict comes from records that were read back. */
export class ClaimService {
  private readonly options: ClaimServiceOptions;
  private readonly claimTimeoutMs: number;
  private readonly gathererTimeoutMs: number;
  private readonly fold: ClaimsFold;
  private readonly writer: LogWriter;
  private readonly follower: StreamFollower;
  private readonly batcher: ClaimBatcher;
  private readonly publisher: SnapshotPublisher;
  private readonly waiters: KeyWaiters;
  private readonly gathererCalls: GathererCalls;
  private readonly openRecords = new Set<Promise<boolean>>();
  private readonly usedAttempts = new BoundedSet(MAX_USED_ATTEMPTS);
  private readonly abandonedAttempts = new BoundedSet(MAX_ABANDONED_ATTEMPTS);
  private isStopped = false;

  constructor(options: ClaimServiceOptions) {
    this.options = options;
    this.claimTimeoutMs = options.claimTimeoutMs ?? DEFAULT_CLAIM_TIMEOUT_MS;
    this.fold = new ClaimsFold(options.keepMs === undefined ? undefined : {keepMs: options.keepMs});
    const {log, claimant, getNowMs, sleep = systemSleep} = options;
    this.gathererTimeoutMs = options.gathererTimeoutMs ?? DEFAULT_GATHERER_TIMEOUT_MS;
    this.waiters = new KeyWaiters(sleep);
    this.gathererCalls = new GathererCalls({
      getNowMs,
      sleep,
      timeoutMs: this.gathererTimeoutMs,
      callGapMs: options.gathererCallGapMs ?? DEFAULT_GATHERER_CALL_GAP_MS,
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
      isOutcomeKept: outcome => this.isOutcomeKept(outcome),
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
      isCaughtUp: () => this.isLogRead(),
    });
  }

  /** Starts reading the claims stream. */
  start(): void {
    this.follower.start();
    this.publisher.start();
  }

  /** Refuses open claims and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.waiters.wakeAll();
    this.gathererCalls.stop();
    await Promise.allSettled(this.openRecords);
    await Promise.all([this.batcher.stop(), this.publisher.stop()]);
    await this.follower.stop();
  }

  /**
   * Claims the key of a request. Only where the verdict is `granted` may the request be sent, and once.
   * @param request - The request; its attempt id serves for this call only, and a second call never gets the key.
   */
  async claim(request: ClaimRequest): Promise<ClaimAnswer> {
    const {attemptId} = request;
    const proposal = {...request, claimant: this.options.claimant};
    if (this.isStopped) return UNAVAILABLE;
    const earlier = this.getVerdict(proposal);
    if (earlier) return withoutGrant(earlier);
    if (!this.usedAttempts.add(attemptId)) return HELD;
    const answer = (await this.claimAtGatherer(proposal)) ?? (await this.claimHere(proposal));
    if (answer) return answer;
    if (!this.batcher.removeClaim(attemptId)) this.abandonedAttempts.add(attemptId);
    return UNAVAILABLE;
  }

  /**
   * Claims a key for another entry.
   * @param proposal - The other's claim.
   */
  async claimFor(proposal: ClaimProposal): Promise<ClaimAnswer> {
    if (this.isStopped || !this.fold.isComplete()) return UNAVAILABLE;
    return this.getVerdict(proposal) ?? (await this.claimHere(proposal)) ?? UNAVAILABLE;
  }

  /**
   * Records how a claimed request ended; proposed again until it stands, also after this call gave up waiting.
   * @param outcome - The outcome of an attempt that was granted its key.
   * @returns Whether the outcome was read back in time.
   */
  async recordOutcome(outcome: OutcomeProposal): Promise<boolean> {
    if (this.isStopped) return false;
    const record = this.recordOpenOutcome(outcome);
    this.openRecords.add(record);
    return record.finally(() => this.openRecords.delete(record));
  }

  /**
   * Takes over an outcome of another entry, which sees in the log whether it stands.
   * @param outcome - The outcome.
   */
  addOutcomeFor(outcome: OutcomeProposal): void {
    if (!this.isStopped) this.batcher.addOutcome(outcome);
  }

  private async recordOpenOutcome(outcome: OutcomeProposal): Promise<boolean> {
    if (await this.recordAtGatherer(outcome)) return true;
    this.batcher.addOutcome(outcome);
    return this.waitForOutcome(outcome, this.claimTimeoutMs);
  }

  private async waitForOutcome(outcome: OutcomeProposal, timeoutMs: number): Promise<boolean> {
    const {workspace, key} = outcome;
    const giveUpAtMs = this.options.getNowMs() + timeoutMs;
    while (!this.isOutcomeKept(outcome) && !this.isStopped) {
      const restMs = giveUpAtMs - this.options.getNowMs();
      if (restMs <= 0) break;
      await this.waiters.wait(workspace, key, restMs);
    }
    return this.isOutcomeKept(outcome);
  }

  private async claimAtGatherer(proposal: ClaimProposal): Promise<ClaimAnswer | undefined> {
    const gatherer = this.options.gathering?.getGatherer();
    if (!gatherer) return undefined;
    try {
      const answer = await this.gathererCalls.claim(gatherer, proposal);
      return answer.verdict === 'unavailable' ? undefined : answer;
    } catch {
      return undefined;
    }
  }

  private async recordAtGatherer(outcome: OutcomeProposal): Promise<boolean> {
    const gatherer = this.options.gathering?.getGatherer();
    if (!gatherer) return false;
    try {
      await this.gathererCalls.addOutcome(gatherer, outcome);
    } catch {
      return false;
    }
    return this.waitForOutcome(outcome, this.gathererTimeoutMs);
  }

  private async claimHere(proposal: ClaimProposal): Promise<ClaimAnswer | undefined> {
    const earlier = this.getVerdict(proposal);
    if (earlier || this.isStopped) return earlier;
    const {workspace, key} = proposal;
    this.batcher.addClaim(proposal);
    await this.waiters.wait(workspace, key, this.claimTimeoutMs);
    return this.isStopped ? undefined : this.getVerdict(proposal);
  }

  private getVerdict(proposal: ClaimProposal): ClaimAnswer | undefined {
    const {fold, options} = this;
    const {claimant} = proposal;
    const claim = fold.getClaim(proposal.workspace, proposal.key);
    const isClaimantLive =
      claim !== undefined &&
      (claim.claimant === options.claimant || options.isClaimantLive(claim.claimant));
    const isHistoryWhole = fold.isComplete();
    const forgottenBeforeMs = fold.getForgottenBeforeMs();
    const view = {claim, claimant, isClaimantLive, isHistoryWhole, forgottenBeforeMs};
    return decideClaim(view, proposal);
  }

  private isOutcomeKept({workspace, key, attemptId, run}: OutcomeProposal): boolean {
    const claim = this.fold.getClaim(workspace, key);
    return claim?.attemptId === attemptId && claim.outcome?.run === run;
  }

  private getAppendsPerSecond(): number {
    const {appendsPerSecond = DEFAULT_APPENDS_PER_SECOND, gathering} = this.options;
    const appenderCount = gathering?.getAppenderCount() ?? DEFAULT_APPENDER_COUNT;
    return appendsPerSecond / Math.max(appenderCount, 1);
  }

  private isLogRead(): boolean {
    const readAtMs = this.follower.getCaughtUpAtMs();
    return readAtMs !== undefined && this.options.getNowMs() - readAtMs <= LOG_READ_WINDOW_MS;
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

  /** A claim that stands only after its request was refused never runs, and only this process knows it. */
  private releaseAbandonedClaim(workspace: string, key: string): void {
    const claim = this.fold.getClaim(workspace, key);
    if (!claim || !this.fold.isComplete()) return;
    if (!this.abandonedAttempts.delete(claim.attemptId)) return;
    const {attemptId} = claim;
    this.batcher.addOutcome({workspace, key, attemptId, run: 'not-run'});
  }
}

/** A claim that stood before the call was granted to another call, whatever its attempt id. */
function withoutGrant(answer: ClaimAnswer): ClaimAnswer {
  return answer.verdict === 'granted' ? HELD : answer;
}
