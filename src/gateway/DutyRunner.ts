/** Claims the duties when their holder falls silent, and performs them while the claim holds. */
import type {Catalog} from '../catalog/index.js';
import {getFirstActMs, shouldClaimDuty, type UsageLedger} from '../controllers/duties/index.js';
import type {DutyClaim, MemberTable} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import {FleetDuty} from './FleetDuty.js';
import type {GatewaySettings} from './GatewaySettings.js';
import type {DutyCalls, DutyLog, DutyResult} from './ports.js';
import {UsageDuty} from './UsageDuty.js';

/** Options of a `DutyRunner`. */
export interface DutyRunnerOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly ledger: UsageLedger;
  readonly calls: DutyCalls;
  readonly log: DutyLog;
  readonly events: EventLogger;
  /** Whether this gateway is ready to serve. */
  readonly isReady: () => boolean;
  readonly getNowMs: () => number;
  readonly getWallMs: () => number;
}

const NO_CLAIM: DutyClaim = {token: 0, holderId: ''};
/** Pause before claiming again after a claim that failed. */
const FAILED_CLAIM_PAUSE_MS = 500;

interface HeldDuties {
  readonly claim: DutyClaim;
  readonly mayActAtMs: number;
  readonly usage: UsageDuty;
  readonly fleet: FleetDuty;
}

/** The duties as one gateway sees them. */
export class DutyRunner {
  private readonly options: DutyRunnerOptions;
  private newest: DutyClaim = NO_CLAIM;
  private held: HeldDuties | undefined;
  private holderSilentSinceMs: number | undefined;
  private claimAgainAtMs = -Infinity;
  private isRunning = false;
  /** Whether it is known who held the duties before this process started. */
  private isHistoryKnown: boolean;

  constructor(options: DutyRunnerOptions) {
    this.options = options;
    this.isHistoryKnown = options.settings.isFirstStart;
    this.holderSilentSinceMs = options.getNowMs();
  }

  /** The newest claim that is known. */
  get claim(): DutyClaim {
    return this.newest;
  }

  /**
   * Takes a claim that another gateway told.
   * @param claim - The claim.
   */
  applyClaim(claim: DutyClaim): void {
    if (claim.token <= this.newest.token) return;
    this.newest = claim;
    if (this.held && this.held.claim.token < claim.token) this.drop('a newer claim is known');
  }

  /**
   * Claims or performs the duties; does nothing while an earlier call is under way.
   * @param startedAtMs - Instant at which the gateway started, monotonic.
   */
  async tick(startedAtMs: number): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      if (this.held) await this.perform(this.held);
      else await this.claimIfDue(startedAtMs);
    } finally {
      this.isRunning = false;
    }
  }

  private async claimIfDue(startedAtMs: number): Promise<void> {
    const {settings, members, isReady, getNowMs} = this.options;
    if (isReady()) await this.learnHistory();
    const nowMs = getNowMs();
    const heard = members.getHeard(nowMs).filter(member => member.isReady && !member.isLeaving);
    const isHolderHeard = heard.some(({id}) => id === this.newest.holderId);
    this.holderSilentSinceMs = isHolderHeard ? undefined : (this.holderSilentSinceMs ?? nowMs);
    const view = {
      ownId: settings.id,
      claim: this.newest,
      candidateIds: [...heard.map(({id}) => id), settings.id],
      isAble: isReady() && nowMs >= this.claimAgainAtMs,
      holderSilentSinceMs: this.holderSilentSinceMs,
      startedAtMs,
    };
    if (shouldClaimDuty(view, nowMs)) await this.claimDuties();
  }

  /** A process that follows an earlier one learns whether that one held the duties. */
  private async learnHistory(): Promise<void> {
    if (this.isHistoryKnown) return;
    const history = await this.options.log.read();
    if (!history) return;
    this.isHistoryKnown = true;
    this.applyClaim(history.claim);
  }

  private async claimDuties(): Promise<void> {
    const {settings, log, events, getNowMs, getWallMs, ledger, calls, catalog} = this.options;
    const claimed = await log.claim(settings.id);
    const history = await log.read();
    if (history) this.applyClaim(history.claim);
    if (!claimed || !history || history.claim.token !== claimed.claim.token) {
      this.claimAgainAtMs = getNowMs() + FAILED_CLAIM_PAUSE_MS;
      const token = claimed?.claim.token;
      events.log('duties not claimed', {token, newest: this.newest.token});
      return;
    }
    const {claim, previous} = claimed;
    const {usageDueMs: dueMs, regionByDomain} = settings;
    const failureDomains = [...regionByDomain.keys()];
    this.held = {
      claim,
      mayActAtMs: getFirstActMs(
        {ownId: settings.id, previous, claimedAtMs: getNowMs()},
        settings.leaseMs,
      ),
      usage: new UsageDuty({ledger, calls, log, events, dueMs}, history.reports, getWallMs()),
      fleet: new FleetDuty({catalog, calls, events, failureDomains}),
    };
    events.log('duties claimed', {token: claim.token});
  }

  private async perform(held: HeldDuties): Promise<void> {
    const {settings, isReady, getNowMs, getWallMs} = this.options;
    const nowMs = getNowMs();
    if (nowMs < held.mayActAtMs || !isReady()) return;
    const {reportsUsage, ordersServers} = settings.duties;
    const fleet: DutyResult = ordersServers ? await held.fleet.run(held.claim, nowMs) : 'done';
    if (fleet === 'superseded') return this.drop('an order was refused');
    const usage = reportsUsage ? await held.usage.run(held.claim, getWallMs()) : 'done';
    if (usage === 'superseded') this.drop('a report was refused or may not be written down');
  }

  private drop(reason: string): void {
    const {events, settings, getNowMs} = this.options;
    events.log('duties lost', {token: this.held?.claim.token, newest: this.newest.token, reason});
    this.held = undefined;
    const isOthers = this.newest.holderId !== settings.id;
    this.claimAgainAtMs = getNowMs() + (isOthers ? settings.leaseMs : FAILED_CLAIM_PAUSE_MS);
  }
}
