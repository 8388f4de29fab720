/** Runs the lease's decisions against the fleet stream, and tells whether this daemon may act as the holder. */
import type {LeaseSection} from '../blackboard/index.js';
import {
  decideLease,
  decideOrder,
  getHeldUntilMs,
  type LeaseEffect,
  type LeaseTiming,
  type LeaseView,
  type OrderPermission,
} from '../controllers/lease/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogBody} from '../records/index.js';
import type {FleetClock} from './FleetClock.js';
import type {FleetStream} from './FleetStream.js';

/** Options of a `LeaseKeeper`. */
export interface LeaseKeeperOptions {
  readonly stream: FleetStream;
  readonly clock: FleetClock;
  /** Incarnation of this process; the name under which it holds the lease. */
  readonly incarnation: string;
  readonly timing: LeaseTiming;
  /** Longest time between sending an order and its effect. */
  readonly longestOrderMs: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const TICKS_PER_TERM = 20;
/** The history counts as known while the end of the stream was reached within this many terms. */
const KNOWN_HISTORY_TERMS = 4;

/** Claims, renews and releases the lease. */
export class LeaseKeeper {
  private readonly options: LeaseKeeperOptions;
  private newestReadAtMs: number;
  private newestOffset = -1;
  private ownToken = -1;
  private confirmedSentAtMs: number | undefined;
  private claimReadAtMs = 0;
  private openProposal: Promise<void> | undefined;
  private isStopping = false;
  private wasHeld = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: LeaseKeeperOptions) {
    this.options = options;
    this.newestReadAtMs = options.clock.getCandidateMs();
  }

  /** Starts to take part. */
  start(): void {
    const {stream, timing} = this.options;
    stream.addListener(() => this.noteRecords());
    this.timer = setInterval(() => this.tick(), timing.termMs / TICKS_PER_TERM);
  }

  /** Gives up the lease where it is held. All orders must have ended. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.openProposal;
    this.isStopping = true;
    if (!this.isHeld()) return;
    for (const effect of this.decide().effects) await this.propose(effect);
  }

  /** Tells whether this daemon is the holder now. */
  isHeld(): boolean {
    return this.decide().changes.isHeld;
  }

  /**
   * Tells whether no later holder is known. It stays true after the term while the log is out, which suffices for
   * starts whose client tokens make them idempotent, and for nothing else.
   */
  isLastHolder(): boolean {
    const {stream, incarnation} = this.options;
    return stream.getFold().getLease().holder === incarnation;
  }

  /** Returns the fencing token of this holder's orders. */
  getFencingToken(): number {
    return this.options.stream.getFold().getLease().fencingToken;
  }

  /**
   * Decides whether an order may be sent now; called right before each.
   * @param honoursFencingTokens - Whether the receiver refuses old tokens.
   */
  getOrderPermission(honoursFencingTokens: boolean): OrderPermission {
    const {clock, longestOrderMs} = this.options;
    const {claimReadAtMs} = this;
    const heldUntilMs = getHeldUntilMs(this.getView());
    return decideOrder(
      {heldUntilMs, claimReadAtMs, longestOrderMs, honoursFencingTokens},
      clock.getHolderMs(),
    );
  }

  /** Returns the lease for the blackboard. */
  getSection(): LeaseSection {
    const {holder, fencingToken, termMs} = this.options.stream.getFold().getLease();
    return {holder, fencingToken, termMs, renewalReadAtMs: this.newestReadAtMs};
  }

  private decide() {
    const {clock} = this.options;
    const view = this.getView();
    const isOwn = view.lease.holder === view.candidate;
    return decideLease(view, isOwn ? clock.getHolderMs() : clock.getCandidateMs());
  }

  private getView(): LeaseView {
    const {stream, incarnation, timing} = this.options;
    const {newestReadAtMs, confirmedSentAtMs, isStopping} = this;
    return {
      candidate: incarnation,
      timing,
      lease: stream.getFold().getLease(),
      isHistoryKnown: this.isHistoryKnown(),
      newestReadAtMs,
      confirmedSentAtMs,
      isProposalOpen: this.openProposal !== undefined,
      isStopping,
    };
  }

  private isHistoryKnown(): boolean {
    const {stream, timing, clock} = this.options;
    const caughtUpAtMs = stream.getCaughtUpAtMs();
    if (caughtUpAtMs === undefined || !stream.getFold().isComplete()) return false;
    return clock.getCandidateMs() - caughtUpAtMs < timing.termMs * KNOWN_HISTORY_TERMS;
  }

  private noteRecords(): void {
    const {clock, stream, incarnation} = this.options;
    const {newestOffset, holder, fencingToken} = stream.getFold().getLease();
    if (newestOffset === this.newestOffset) return;
    this.newestOffset = newestOffset;
    this.newestReadAtMs = clock.getCandidateMs();
    if (holder === incarnation && fencingToken !== this.ownToken) this.noteOwnClaim(fencingToken);
  }

  /** A claim counts from its reading, also where its proposal had been given up before. */
  private noteOwnClaim(fencingToken: number): void {
    this.ownToken = fencingToken;
    this.claimReadAtMs = this.options.clock.getHolderMs();
    this.confirmedSentAtMs = undefined;
  }

  private tick(): void {
    const {changes, effects} = this.decide();
    this.noteHeld(changes.isHeld);
    for (const effect of effects) this.startProposal(effect);
  }

  private noteHeld(isHeld: boolean): void {
    if (isHeld === this.wasHeld) return;
    this.wasHeld = isHeld;
    const {logger, metrics} = this.options;
    const fencingToken = this.getFencingToken();
    metrics.addCount(isHeld ? 'lease.gained' : 'lease.lost');
    logger.info({fencingToken}, isHeld ? 'lease gained' : 'lease lost');
  }

  private startProposal(effect: LeaseEffect): void {
    this.openProposal = this.propose(effect).finally(() => {
      this.openProposal = undefined;
    });
  }

  private async propose(effect: LeaseEffect): Promise<void> {
    const {stream, clock, incarnation, metrics, timing} = this.options;
    const sentAtMs = clock.getHolderMs();
    try {
      const {verdict} = await stream.propose('lease', toBody(effect, incarnation, timing.termMs));
      metrics.addCount(`lease.${effect.kind}`, {verdict: verdict.rejection ?? 'accepted'});
      if (!verdict.isAccepted) return;
      this.confirmedSentAtMs = effect.kind === 'propose-release' ? undefined : sentAtMs;
    } catch {
      metrics.addCount(`lease.${effect.kind}`, {verdict: 'not-read-back'});
    }
  }
}

function toBody(effect: LeaseEffect, holder: string, termMs: number): LogBody {
  switch (effect.kind) {
    case 'propose-claim':
      return {kind: 'lease-claim', followsOffset: effect.followsOffset, holder, termMs};
    case 'propose-renewal':
      return {kind: 'lease-renewal', claimOffset: effect.claimOffset, holder};
    case 'propose-release':
      return {kind: 'lease-release', claimOffset: effect.claimOffset, holder};
  }
}
