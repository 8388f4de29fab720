/** Competes for the fleet lease on the fleet stream, and decides whether this daemon may act as the lease holder. */
import type {LeaseSection} from '../blackboard/index.js';
import {
  decideLease,
  decideOrderPermission,
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

/** Options of a `LeaseManager`, which claims, renews and releases the lease. */
export interface LeaseManagerOptions {
  readonly stream: FleetStream;
  readonly clock: FleetClock;
  /** Unique id of this process run, under which it holds the lease. */
  readonly incarnation: string;
  readonly timing: LeaseTiming;
  /** Maximum time between sending an order and its effect. */
  readonly maxOrderDelayMs: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const TICKS_PER_TERM = 20;
/** The lease history counts as known if a read reached the end of the stream within this number of lease terms. */
const HISTORY_FRESHNESS_TERMS = 4;

/** Claims, renews and releases the lease, checking 20 times per lease term. */
export class LeaseManager {
  private readonly options: LeaseManagerOptions;
  private newestReadAtMs: number;
  private newestOffset = -1;
  private ownFencingToken = -1;
  private confirmedSentAtMs: number | undefined;
  private claimReadAtMs = 0;
  private pendingProposal: Promise<void> | undefined;
  private isStopping = false;
  private wasHeld = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: LeaseManagerOptions) {
    this.options = options;
    this.newestReadAtMs = options.clock.getMonotonicMs();
  }

  /** Starts competing for the lease. */
  start(): void {
    const {stream, timing} = this.options;
    stream.addListener(() => this.handleRecords());
    this.timer = setInterval(() => this.tick(), timing.termMs / TICKS_PER_TERM);
  }

  /** Releases the lease if it is held. No order may be in flight. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.pendingProposal;
    this.isStopping = true;
    if (!this.isHeld()) return;
    for (const effect of this.decide().effects) await this.propose(effect);
  }

  /** Returns whether this daemon holds the lease now. */
  isHeld(): boolean {
    return this.decide().changes.isHeld;
  }

  /**
   * Returns whether this daemon is the latest known lease holder, even if its term has ended. It stays so while the log
   * is unavailable. This is sufficient only for instance starts, which client tokens make idempotent.
   */
  isLatestKnownHolder(): boolean {
    const {stream, incarnation} = this.options;
    return stream.getFold().getLease().holder === incarnation;
  }

  /**
   * Returns the fencing token of the current lease, whoever holds it. Use it in orders only while this daemon holds the
   * lease.
   */
  getFencingToken(): number {
    return this.options.stream.getFold().getLease().fencingToken;
  }

  /**
   * Decides whether an order may be sent now. Call it immediately before each order.
   * @param honoursFencingTokens - Whether the receiver rejects orders with an outdated fencing token.
   */
  getOrderPermission(honoursFencingTokens: boolean): OrderPermission {
    const {clock, maxOrderDelayMs} = this.options;
    const {claimReadAtMs} = this;
    const heldUntilMs = getHeldUntilMs(this.getView());
    return decideOrderPermission(
      {heldUntilMs, claimReadAtMs, maxOrderDelayMs, honoursFencingTokens},
      clock.getSuspendAwareMs(),
    );
  }

  /** Returns the lease section of the blackboard; `renewalReadAtMs` is monotonic time. */
  getSection(): LeaseSection {
    const {holder, fencingToken, termMs} = this.options.stream.getFold().getLease();
    return {holder, fencingToken, termMs, renewalReadAtMs: this.newestReadAtMs};
  }

  private decide() {
    const {clock} = this.options;
    const view = this.getView();
    const isOwn = view.lease.holder === view.candidate;
    return decideLease(view, isOwn ? clock.getSuspendAwareMs() : clock.getMonotonicMs());
  }

  private getView(): LeaseView {
    const {stream, incarnation, timing} = this.options;
    const {newestReadAtMs, confirmedSentAtMs, isStopping} = this;
    return {
      candidate: incarnation,
      timing,
      lease: stream.getFold().getLease(),
      isHistoryComplete: this.isHistoryComplete(),
      newestReadAtMs,
      confirmedSentAtMs,
      hasPendingProposal: this.pendingProposal !== undefined,
      isStopping,
    };
  }

  private isHistoryComplete(): boolean {
    const {stream, timing, clock} = this.options;
    const caughtUpAtMs = stream.getCaughtUpAtMs();
    if (caughtUpAtMs === undefined || !stream.getFold().isComplete()) return false;
    return clock.getMonotonicMs() - caughtUpAtMs < timing.termMs * HISTORY_FRESHNESS_TERMS;
  }

  private handleRecords(): void {
    const {clock, stream, incarnation} = this.options;
    const {newestOffset, holder, fencingToken} = stream.getFold().getLease();
    if (newestOffset === this.newestOffset) return;
    this.newestOffset = newestOffset;
    this.newestReadAtMs = clock.getMonotonicMs();
    if (holder === incarnation && fencingToken !== this.ownFencingToken)
      this.recordOwnClaim(fencingToken);
  }

  /** An accepted claim takes effect when it is read, even if its proposal has already timed out. */
  private recordOwnClaim(fencingToken: number): void {
    this.ownFencingToken = fencingToken;
    this.claimReadAtMs = this.options.clock.getSuspendAwareMs();
    this.confirmedSentAtMs = undefined;
  }

  private tick(): void {
    const {changes, effects} = this.decide();
    this.reportHeldChange(changes.isHeld);
    for (const effect of effects) this.startProposal(effect);
  }

  private reportHeldChange(isHeld: boolean): void {
    if (isHeld === this.wasHeld) return;
    this.wasHeld = isHeld;
    const {logger, metrics} = this.options;
    const fencingToken = this.getFencingToken();
    metrics.addCount(isHeld ? 'lease.gained' : 'lease.lost');
    logger.info({fencingToken}, isHeld ? 'lease gained' : 'lease lost');
  }

  private startProposal(effect: LeaseEffect): void {
    this.pendingProposal = this.propose(effect).finally(() => {
      this.pendingProposal = undefined;
    });
  }

  private async propose(effect: LeaseEffect): Promise<void> {
    const {stream, clock, incarnation, metrics, timing} = this.options;
    const sentAtMs = clock.getSuspendAwareMs();
    try {
      const {verdict} = await stream.propose(
        'lease',
        createRecordBody(effect, incarnation, timing.termMs),
      );
      metrics.addCount(`lease.${effect.kind}`, {verdict: verdict.rejection ?? 'accepted'});
      if (!verdict.isAccepted) return;
      this.confirmedSentAtMs = effect.kind === 'propose-release' ? undefined : sentAtMs;
    } catch {
      metrics.addCount(`lease.${effect.kind}`, {verdict: 'not-read-back'});
    }
  }
}

function createRecordBody(effect: LeaseEffect, holder: string, termMs: number): LogBody {
  switch (effect.kind) {
    case 'propose-claim':
      return {kind: 'lease-claim', followsOffset: effect.followsOffset, holder, termMs};
    case 'propose-renewal':
      return {kind: 'lease-renewal', claimOffset: effect.claimOffset, holder};
    case 'propose-release':
      return {kind: 'lease-release', claimOffset: effect.claimOffset, holder};
  }
}
