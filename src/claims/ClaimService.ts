/** Claims idempotency keys in the log, so that a request that isn't idempotent runs at most once. */
import {decideClaim, type ClaimAnswer, type ClaimRequest} from '../controllers/claims/index.js';
import {ServingError} from '../errors/index.js';
import {ClaimsFold} from '../folds/index.js';
import {LogWriter, StreamFollower, systemSleep, type LogAccess, type Sleep} from '../log/index.js';
import type {OutcomeProposal, PlacedRecord} from '../records/index.js';
import {ClaimBatcher} from './ClaimBatcher.js';
import {KeyWaiters} from './KeyWaiters.js';

/** Options of a `ClaimService`. */
export interface ClaimServiceOptions {
  readonly log: LogAccess;
  /** Incarnation of this process; unique among all that ever claimed. */
  readonly claimant: string;
  readonly getNowMs: () => number;
  /** Returns whether the process of a claimant is known to run. */
  readonly isClaimantLive: (claimant: string) => boolean;
  /** Time for which claims are gathered before an append. */
  readonly batchIntervalMs?: number;
  /** Time after which a claim that wasn't read back is refused. */
  readonly claimTimeoutMs?: number;
  /** Time for which claims are kept; the same at every entry. */
  readonly keepMs?: number;
  /** Waits for a time; the system's timer where absent. */
  readonly sleep?: Sleep;
}

const DEFAULT_BATCH_INTERVAL_MS = 20;
const DEFAULT_CLAIM_TIMEOUT_MS = 3_000;

/** Refused attempts that are remembered in case their claims turn up in the log. */
const MAX_ABANDONED_ATTEMPTS = 50_000;

const UNAVAILABLE: ClaimAnswer = {verdict: 'unavailable', isKnownNotRun: false};

/** Claims keys and records outcomes; every verdict comes from records that were read back. */
export class ClaimService {
  private readonly options: ClaimServiceOptions;
  private readonly claimTimeoutMs: number;
  private readonly fold: ClaimsFold;
  private readonly writer: LogWriter;
  private readonly follower: StreamFollower;
  private readonly batcher: ClaimBatcher;
  private readonly waiters: KeyWaiters;
  private readonly openAttempts = new Set<string>();
  private readonly abandonedAttempts = new Set<string>();
  private isStopped = false;

  constructor(options: ClaimServiceOptions) {
    this.options = options;
    this.claimTimeoutMs = options.claimTimeoutMs ?? DEFAULT_CLAIM_TIMEOUT_MS;
    this.fold = new ClaimsFold(options.keepMs === undefined ? undefined : {keepMs: options.keepMs});
    const {log, claimant, getNowMs, sleep = systemSleep} = options;
    this.waiters = new KeyWaiters(sleep);
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
  }

  /** Starts reading the claims stream. */
  start(): void {
    this.follower.start();
  }

  /** Refuses open claims and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.waiters.wakeAll();
    await this.batcher.stop();
    await this.follower.stop();
  }

  /**
   * Claims the key of a request. Only where the verdict is `granted` may the request be sent, and once.
   * @param request - The request; its attempt id serves for this call only.
   */
  async claim(request: ClaimRequest): Promise<ClaimAnswer> {
    const {workspace, key, attemptId, fingerprint} = request;
    if (this.openAttempts.has(attemptId)) {
      throw new ServingError(`attempt ${attemptId} claims twice`, {kind: 'internal'});
    }
    if (this.isStopped) return UNAVAILABLE;
    const earlier = this.getVerdict(request);
    if (earlier) return earlier.verdict === 'granted' ? {...earlier, verdict: 'held'} : earlier;
    this.openAttempts.add(attemptId);
    try {
      const {claimant} = this.options;
      this.batcher.addClaim({workspace, key, attemptId, fingerprint, claimant});
      await this.waiters.wait(workspace, key, this.claimTimeoutMs);
      const verdict = this.isStopped ? undefined : this.getVerdict(request);
      if (!verdict) this.abandonAttempt(attemptId);
      return verdict ?? UNAVAILABLE;
    } finally {
      this.openAttempts.delete(attemptId);
    }
  }

  /**
   * Records how a claimed request ended; proposed again until it stands, also after this call gave up waiting.
   * @param outcome - The outcome of an attempt that was granted its key.
   * @returns Whether the outcome was read back in time.
   */
  async recordOutcome(outcome: OutcomeProposal): Promise<boolean> {
    const {workspace, key} = outcome;
    if (this.isStopped) return false;
    this.batcher.addOutcome(outcome);
    const giveUpAtMs = this.options.getNowMs() + this.claimTimeoutMs;
    while (!this.isOutcomeKept(outcome) && !this.isStopped) {
      const restMs = giveUpAtMs - this.options.getNowMs();
      if (restMs <= 0) break;
      await this.waiters.wait(workspace, key, restMs);
    }
    return this.isOutcomeKept(outcome);
  }

  private abandonAttempt(attemptId: string): void {
    if (this.batcher.removeClaim(attemptId)) return;
    this.abandonedAttempts.add(attemptId);
    if (this.abandonedAttempts.size <= MAX_ABANDONED_ATTEMPTS) return;
    for (const oldest of this.abandonedAttempts) {
      this.abandonedAttempts.delete(oldest);
      return;
    }
  }

  private getVerdict(request: ClaimRequest): ClaimAnswer | undefined {
    const {fold, options} = this;
    const claim = fold.getClaim(request.workspace, request.key);
    const isClaimantLive =
      claim !== undefined &&
      (claim.claimant === options.claimant || options.isClaimantLive(claim.claimant));
    const isHistoryWhole = fold.isComplete();
    const forgottenBeforeMs = fold.getForgottenBeforeMs();
    return decideClaim({claim, isClaimantLive, isHistoryWhole, forgottenBeforeMs}, request);
  }

  private isOutcomeKept({workspace, key, attemptId, run}: OutcomeProposal): boolean {
    const claim = this.fold.getClaim(workspace, key);
    return claim?.attemptId === attemptId && claim.outcome?.run === run;
  }

  private handleRecord({record}: PlacedRecord): void {
    const {body} = record;
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
