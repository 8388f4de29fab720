/** Queue of claims and outcomes that are appended to the log in batches. */
import type {LogWriter, Sleep} from '../log/index.js';
import {AppendPacer} from './AppendPacer.js';
import type {ClaimProposal, LogBody, OutcomeProposal} from '../records/index.js';

/** Options of a `ClaimBatcher`. */
export interface ClaimBatcherOptions {
  /** Appends records and confirms them once they have been read back. */
  readonly writer: LogWriter;
  /** Shortest time for which claims and outcomes are collected before an append. */
  readonly batchIntervalMs: number;
  /** Returns this entry's share of the log's append rate. */
  readonly getAppendsPerSecond: () => number;
  /** Returns monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  readonly sleep: Sleep;
  /** Returns whether an outcome has already been read back from the log. */
  readonly isOutcomeRecorded: (outcome: OutcomeProposal) => boolean;
}

/** Number of appends that need not wait after an idle period. */
const APPEND_BURST = 5;
const MAX_CLAIMS_PER_BATCH = 1_000;
const MAX_OUTCOMES_PER_BATCH = 200;
/** Largest number of outcomes queued during a log outage; beyond it the oldest are dropped. */
const MAX_QUEUED_OUTCOMES = 10_000;

/**
 * Appends one batch at a time. If a batch isn't read back in time, its claims are dropped, since their requests have
 * been refused by then; its outcomes are queued again until the log contains them.
 */
export class ClaimBatcher {
  private readonly options: ClaimBatcherOptions;
  private readonly pacer = new AppendPacer(APPEND_BURST);
  private queuedClaims: ClaimProposal[] = [];
  private queuedOutcomes: OutcomeProposal[] = [];
  private running: Promise<void> | undefined;
  private isStopped = false;

  constructor(options: ClaimBatcherOptions) {
    this.options = options;
  }

  /**
   * Queues a claim for the next batch; it is appended at most once.
   * @param claim - Claim to append.
   */
  addClaim(claim: ClaimProposal): void {
    this.queuedClaims.push(claim);
    this.wake();
  }

  /**
   * Removes a claim from the queue.
   * @param attemptId - Attempt of the claim.
   * @returns Whether the claim was still queued, so that it never reaches the log.
   */
  removeClaim(attemptId: string): boolean {
    const remaining = this.queuedClaims.filter(claim => claim.attemptId !== attemptId);
    const isRemoved = remaining.length < this.queuedClaims.length;
    this.queuedClaims = remaining;
    return isRemoved;
  }

  /**
   * Queues an outcome; it is appended repeatedly until the log contains it.
   * @param outcome - Outcome to append.
   */
  addOutcome(outcome: OutcomeProposal): void {
    this.queuedOutcomes.push(outcome);
    const excess = this.queuedOutcomes.length - MAX_QUEUED_OUTCOMES;
    if (excess > 0) this.queuedOutcomes.splice(0, excess);
    this.wake();
  }

  /** Drops queued claims, makes one more attempt to append queued outcomes, and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.queuedClaims = [];
    await this.running;
    await this.proposeBatch();
  }

  private wake(): void {
    this.running ??= this.run().finally(() => (this.running = undefined));
  }

  private async run(): Promise<void> {
    while (!this.isStopped && this.queuedClaims.length + this.queuedOutcomes.length > 0) {
      const {sleep, batchIntervalMs, getAppendsPerSecond, getNowMs} = this.options;
      const paceDelayMs = this.pacer.reserveAppend(getNowMs(), getAppendsPerSecond());
      await sleep(Math.max(batchIntervalMs, paceDelayMs));
      await this.proposeBatch();
    }
  }

  private async proposeBatch(): Promise<void> {
    if (this.queuedClaims.length + this.queuedOutcomes.length === 0) return;
    const claims = this.queuedClaims.splice(0, MAX_CLAIMS_PER_BATCH);
    const outcomes = this.queuedOutcomes.splice(0, MAX_OUTCOMES_PER_BATCH);
    const bodies: LogBody[] = [];
    if (claims.length > 0) bodies.push({kind: 'claim-batch', claims});
    if (outcomes.length > 0) bodies.push({kind: 'outcome-batch', outcomes});
    try {
      await this.options.writer.proposeAll(bodies);
    } catch {
      const {isOutcomeRecorded} = this.options;
      this.queuedOutcomes.unshift(...outcomes.filter(outcome => !isOutcomeRecorded(outcome)));
    }
  }
}
