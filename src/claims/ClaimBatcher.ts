/** Gathers claims and outcomes, and appends them to the log a batch at a time. */
import type {LogWriter, Sleep} from '../log/index.js';
import {AppendPacer} from './AppendPacer.js';
import type {ClaimProposal, LogBody, OutcomeProposal} from '../records/index.js';

/** Options of a `ClaimBatcher`. */
export interface ClaimBatcherOptions {
  readonly writer: LogWriter;
  /** Shortest time for which claims and outcomes are gathered before an append. */
  readonly batchIntervalMs: number;
  /** Returns how many appends a second this entry may make. */
  readonly getAppendsPerSecond: () => number;
  readonly getNowMs: () => number;
  readonly sleep: Sleep;
  /** Returns whether an outcome is in the log already. */
  readonly isOutcomeKept: (outcome: OutcomeProposal) => boolean;
}

/** Appends that may follow each other at once after a quiet time. */
const APPEND_BURST = 5;
const MAX_CLAIMS_PER_BATCH = 1_000;
const MAX_OUTCOMES_PER_BATCH = 200;
/** Outcomes that wait through an outage; the oldest are given up beyond it. */
const MAX_WAITING_OUTCOMES = 10_000;

/**
 * Proposes one batch after another. Claims that weren't read back in time are given up, since their requests were
 * refused by then; outcomes are proposed again until they stand.
 */
export class ClaimBatcher {
  private readonly options: ClaimBatcherOptions;
  private readonly pacer = new AppendPacer(APPEND_BURST);
  private claims: ClaimProposal[] = [];
  private outcomes: OutcomeProposal[] = [];
  private running: Promise<void> | undefined;
  private isStopped = false;

  constructor(options: ClaimBatcherOptions) {
    this.options = options;
  }

  /**
   * Adds a claim to the next batch.
   * @param claim - The claim.
   */
  addClaim(claim: ClaimProposal): void {
    this.claims.push(claim);
    this.wake();
  }

  /**
   * Takes back a claim that was not appended yet.
   * @param attemptId - Attempt of the claim.
   * @returns Whether it was taken back, so that it never reaches the log.
   */
  removeClaim(attemptId: string): boolean {
    const rest = this.claims.filter(claim => claim.attemptId !== attemptId);
    const isRemoved = rest.length < this.claims.length;
    this.claims = rest;
    return isRemoved;
  }

  /**
   * Adds an outcome to the next batch.
   * @param outcome - The outcome.
   */
  addOutcome(outcome: OutcomeProposal): void {
    this.outcomes.push(outcome);
    const excess = this.outcomes.length - MAX_WAITING_OUTCOMES;
    if (excess > 0) this.outcomes.splice(0, excess);
    this.wake();
  }

  /** Drops waiting claims, tries once more to append waiting outcomes, and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.claims = [];
    await this.running;
    await this.proposeBatch();
  }

  private wake(): void {
    this.running ??= this.run().finally(() => (this.running = undefined));
  }

  private async run(): Promise<void> {
    while (!this.isStopped && this.claims.length + this.outcomes.length > 0) {
      const {sleep, batchIntervalMs, getAppendsPerSecond, getNowMs} = this.options;
      const turnMs = this.pacer.takeAppend(getNowMs(), getAppendsPerSecond());
      await sleep(Math.max(batchIntervalMs, turnMs));
      await this.proposeBatch();
    }
  }

  private async proposeBatch(): Promise<void> {
    if (this.claims.length + this.outcomes.length === 0) return;
    const claims = this.claims.splice(0, MAX_CLAIMS_PER_BATCH);
    const outcomes = this.outcomes.splice(0, MAX_OUTCOMES_PER_BATCH);
    const bodies: LogBody[] = [];
    if (claims.length > 0) bodies.push({kind: 'claim-batch', claims});
    if (outcomes.length > 0) bodies.push({kind: 'outcome-batch', outcomes});
    try {
      await this.options.writer.proposeAll(bodies);
    } catch {
      const {isOutcomeKept} = this.options;
      this.outcomes.unshift(...outcomes.filter(outcome => !isOutcomeKept(outcome)));
    }
  }
}
