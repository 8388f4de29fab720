/** Simulates lease candidates, the log and backend servers in virtual time, for property tests of the lease. */
import {
  decideLease,
  decideOrderPermission,
  getHeldUntilMs,
  type LeaseEffect,
  type LeaseView,
} from '../../src/controllers/lease/index.js';
import {FleetFold} from '../../src/folds/index.js';
import type {LogBody, LogRecord, PlacedRecord} from '../../src/records/index.js';

/** Length of a simulation step in milliseconds of virtual time. */
export const STEP_MS = 50;
const TERM_MS = 1_000;
const MARGIN_MS = 100;
const MAX_ORDER_DELAY_MS = 400;
const PROPOSAL_TIMEOUT_MS = 800;

/** Faults of one simulation step, chosen by the test. */
export interface StepFaults {
  readonly isLogOut: boolean;
  readonly isAppendLost: boolean;
  readonly isAppendRepeated: boolean;
  readonly appendDelayMs: number;
  readonly isReadSlow: boolean;
  /** Candidate that freezes in this step, and for how long. */
  readonly freeze?: {readonly index: number; readonly durationMs: number};
  /** Candidate that is cut off from the log in this step while others still reach it, and for how long. */
  readonly cut?: {readonly index: number; readonly durationMs: number};
  /** Candidate that is killed and restarted in this step; undefined for none. */
  readonly restartIndex?: number;
  readonly orderDelayMs: number;
}

interface PendingAppend {
  readonly atMs: number;
  readonly record: LogRecord;
}

interface PendingOrder {
  readonly atMs: number;
  readonly fencingToken: number;
  readonly honoursFencingTokens: boolean;
}

/** A lease candidate with its fold, its drifting clock and at most one open proposal, as in the fleet daemon. */
class Candidate {
  readonly fold = new FleetFold();
  frozenUntilMs = 0;
  cutUntilMs = 0;
  readOffset = 0;
  private readonly incarnation: string;
  private readonly clockRate: number;
  private newestLeaseOffset = -1;
  private newestLeaseReadAtMs: number;
  private ownToken = -1;
  private claimReadAtMs = 0;
  private confirmedSentAtMs: number | undefined;
  private sequence = 0;
  private openProposal: {sentAtMs: number; record: LogRecord} | undefined;

  constructor(incarnation: string, clockRate: number, trueMs: number) {
    this.incarnation = incarnation;
    this.clockRate = clockRate;
    this.newestLeaseReadAtMs = this.getNowMs(trueMs);
  }

  getNowMs(trueMs: number): number {
    return trueMs * this.clockRate;
  }

  getView(): LeaseView {
    return {
      candidate: this.incarnation,
      timing: {termMs: TERM_MS, marginMs: MARGIN_MS, claimDelayMs: 0},
      lease: this.fold.getLease(),
      isHistoryComplete: true,
      newestReadAtMs: this.newestLeaseReadAtMs,
      confirmedSentAtMs: this.confirmedSentAtMs,
      hasPendingProposal: this.openProposal !== undefined,
      isStopping: false,
    };
  }

  isHolder(trueMs: number): boolean {
    return decideLease(this.getView(), this.getNowMs(trueMs)).changes.isHeld;
  }

  isOrderAllowed(trueMs: number, honoursFencingTokens: boolean): boolean {
    const view = {
      heldUntilMs: getHeldUntilMs(this.getView()),
      claimReadAtMs: this.claimReadAtMs,
      maxOrderDelayMs: MAX_ORDER_DELAY_MS,
      honoursFencingTokens,
    };
    return decideOrderPermission(view, this.getNowMs(trueMs)) === 'allowed';
  }

  read(records: readonly PlacedRecord[], trueMs: number): void {
    for (const placed of records) {
      this.readOffset = placed.offset + 1;
      this.fold.applyRecord(placed);
      this.recordLease(trueMs);
      const {openProposal} = this;
      const {isAccepted, rejection} = this.fold.getLastResult();
      if (rejection === 'repeat' || openProposal?.record.sequence !== placed.record.sequence)
        continue;
      if (openProposal.record.writer !== placed.record.writer) continue;
      if (isAccepted) this.confirmedSentAtMs = openProposal.sentAtMs;
      this.openProposal = undefined;
    }
  }

  /** Returns the record to append now: the open proposal again, or a new one; undefined if there is nothing to propose. */
  propose(trueMs: number): LogRecord | undefined {
    const nowMs = this.getNowMs(trueMs);
    if (this.openProposal && nowMs - this.openProposal.sentAtMs > PROPOSAL_TIMEOUT_MS)
      this.openProposal = undefined;
    if (this.openProposal) return this.openProposal.record;
    const [effect] = decideLease(this.getView(), nowMs).effects;
    if (!effect) return undefined;
    this.sequence += 1;
    const body = this.toBody(effect);
    const record = {writer: this.incarnation, sequence: this.sequence, body};
    this.openProposal = {sentAtMs: nowMs, record};
    return record;
  }

  private recordLease(trueMs: number): void {
    const {newestOffset, holder, fencingToken} = this.fold.getLease();
    if (newestOffset === this.newestLeaseOffset) return;
    this.newestLeaseOffset = newestOffset;
    this.newestLeaseReadAtMs = this.getNowMs(trueMs);
    if (holder !== this.incarnation || fencingToken === this.ownToken) return;
    this.ownToken = fencingToken;
    this.claimReadAtMs = this.getNowMs(trueMs);
    this.confirmedSentAtMs = undefined;
  }

  private toBody(effect: LeaseEffect): LogBody {
    const holder = this.incarnation;
    if (effect.kind === 'propose-claim') {
      return {kind: 'lease-claim', holder, followsOffset: effect.followsOffset, termMs: TERM_MS};
    }
    return {kind: 'lease-renewal', holder, claimOffset: effect.claimOffset};
  }
}

/** Violations and statistics of a run. */
export interface LeaseModelResult {
  /** One message for each violated invariant; empty if none was. */
  readonly violations: readonly string[];
  /** Number of steps in which some candidate held the lease by its own clock. */
  readonly heldSteps: number;
  /** Number of distinct fencing tokens seen while replaying the log. */
  readonly holders: number;
  readonly isHeldAtEnd: boolean;
}

/** Runs candidates against a log and two kinds of backend servers: those that check fencing tokens and those that ignore them. */
export class LeaseModel {
  private readonly candidates: Candidate[];
  private readonly log: PlacedRecord[] = [];
  private readonly violations: string[] = [];
  private appends: PendingAppend[] = [];
  private orders: PendingOrder[] = [];
  private highestToken = -1;
  private lastUnfencedToken = -1;
  private heldSteps = 0;
  private restarts = 0;

  constructor(candidateCount: number) {
    this.candidates = Array.from({length: candidateCount}, (ignored, index) =>
      this.createCandidate(index, 0),
    );
  }

  /**
   * Runs the simulation and checks its invariants in each step.
   * @param steps - Number of steps of `STEP_MS`.
   * @param getFaults - Returns the faults of a step; steps count from 1.
   */
  run(steps: number, getFaults: (step: number) => StepFaults): LeaseModelResult {
    for (let step = 1; step <= steps; step++) this.runStep(step * STEP_MS, getFaults(step));
    const fold = new FleetFold();
    const tokens = new Set<number>();
    for (const placed of this.log) {
      fold.applyRecord(placed);
      tokens.add(fold.getLease().fencingToken);
    }
    return {
      violations: this.violations,
      heldSteps: this.heldSteps,
      holders: tokens.size,
      isHeldAtEnd: this.candidates.some(candidate => candidate.isHolder(steps * STEP_MS)),
    };
  }

  private runStep(nowMs: number, faults: StepFaults): void {
    this.applyFaults(nowMs, faults);
    this.commitAppends(nowMs);
    this.runOrders(nowMs);
    for (const candidate of this.candidates) {
      if (candidate.frozenUntilMs > nowMs) continue;
      this.runCandidate(candidate, nowMs, faults);
    }
    this.checkHolders(nowMs);
  }

  private applyFaults(nowMs: number, {freeze, cut, restartIndex}: StepFaults): void {
    const frozen = freeze && this.candidates[freeze.index];
    if (frozen) frozen.frozenUntilMs = nowMs + freeze.durationMs;
    const disconnected = cut && this.candidates[cut.index];
    if (disconnected) disconnected.cutUntilMs = nowMs + cut.durationMs;
    if (restartIndex === undefined || restartIndex >= this.candidates.length) return;
    this.restarts += 1;
    this.candidates[restartIndex] = this.createCandidate(restartIndex, nowMs);
  }

  private runCandidate(candidate: Candidate, nowMs: number, faults: StepFaults): void {
    const isLogOut = faults.isLogOut || candidate.cutUntilMs > nowMs;
    if (!isLogOut && !faults.isReadSlow) {
      candidate.read(this.log.slice(candidate.readOffset), nowMs);
    }
    this.sendOrders(candidate, nowMs, faults);
    const record = candidate.propose(nowMs);
    if (!record || isLogOut || faults.isAppendLost) return;
    const copies = faults.isAppendRepeated ? [0, faults.appendDelayMs] : [faults.appendDelayMs];
    for (const delayMs of copies) this.appends.push({atMs: nowMs + delayMs, record});
  }

  private sendOrders(candidate: Candidate, nowMs: number, {orderDelayMs}: StepFaults): void {
    for (const honoursFencingTokens of [true, false]) {
      if (!candidate.isOrderAllowed(nowMs, honoursFencingTokens)) continue;
      const {fencingToken} = candidate.fold.getLease();
      this.orders.push({atMs: nowMs + orderDelayMs, fencingToken, honoursFencingTokens});
    }
  }

  private commitAppends(nowMs: number): void {
    const due = this.appends.filter(({atMs}) => atMs <= nowMs);
    this.appends = this.appends.filter(({atMs}) => atMs > nowMs);
    for (const {record} of due) this.log.push({offset: this.log.length, record});
  }

  /** The lease must prevent an order from taking effect after an order of a later holder. */
  private runOrders(nowMs: number): void {
    const due = this.orders.filter(({atMs}) => atMs <= nowMs);
    this.orders = this.orders.filter(({atMs}) => atMs > nowMs);
    for (const {fencingToken, honoursFencingTokens} of due) {
      if (honoursFencingTokens) {
        this.highestToken = Math.max(this.highestToken, fencingToken);
      } else if (fencingToken < this.lastUnfencedToken) {
        this.violations.push(`order ${fencingToken} after ${this.lastUnfencedToken} at ${nowMs}`);
      } else {
        this.lastUnfencedToken = fencingToken;
      }
    }
  }

  private checkHolders(nowMs: number): void {
    const holders = this.candidates.filter(candidate => candidate.isHolder(nowMs));
    if (holders.length > 0) this.heldSteps += 1;
    if (holders.length > 1) this.violations.push(`${holders.length} holders at ${nowMs}`);
  }

  /** Each clock runs up to 2% fast or slow. */
  private createCandidate(index: number, nowMs: number): Candidate {
    const clockRate = 0.98 + 0.04 * ((index * 7 + this.restarts * 3) % 5) * 0.25;
    return new Candidate(`candidate-${index}/${this.restarts}`, clockRate, nowMs);
  }
}
