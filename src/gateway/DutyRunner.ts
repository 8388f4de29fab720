/** Claims the duties when their holder falls silent, and performs them while the claim holds. */
import type {Catalog} from '../catalog/index.js';
import {getFirstActMs, shouldClaimDuty, type UsageLedger} from '../controllers/duties/index.js';
import type {DutyClaim, MemberTable} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
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
  readonly logger: Logger;
  /** Whether this gateway is ready to serve. */
  readonly isReady: () => boolean;
  readonly getNowMs: () => number;
  readonly getWallMs: () => number;
}

const NO_CLAIM: DutyClaim = {token: 0, holderId: ''};
/** Pause before claiming again after a claim that failed. */
const FAILED_CLAIM_PAUSE_MS = 1_000;

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

  constructor(options: DutyRunnerOptions) {
    this.options = options;
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
    const nowMs = getNowMs();
    const heard = members.getHeard(nowMs).filter(member => member.isReady && !member.isLeaving);
    const isHolderHeard = heard.some(({id}) => id === this.newest.holderId);
    this.holderSilentSinceMs = isHolderHeard ? undefined : (this.holderSilentSinceMs ?? nowMs);
    const view = {
      ownId: settings.id,
      claim: this.held ? this.newest : withoutOwn(this.newest, settings.id),
      candidateIds: [...heard.map(({id}) => id), settings.id],
      isAble: isReady() && nowMs >= this.claimAgainAtMs,
      holderSilentSinceMs: this.holderSilentSinceMs,
      startedAtMs,
    };
    if (shouldClaimDuty(view, nowMs)) await this.claimDuties();
  }

  private async claimDuties(): Promise<void> {
    const {settings, log, logger, getNowMs, getWallMs, ledger, calls, catalog} = this.options;
    const claimed = await log.claim(settings.id);
    const history = await log.read();
    if (history) this.applyClaim(history.claim);
    if (!claimed || !history || history.claim.token !== claimed.claim.token) {
      this.claimAgainAtMs = getNowMs() + FAILED_CLAIM_PAUSE_MS;
      const token = claimed?.claim.token;
      logger.info({token, newest: this.newest.token}, 'duties not claimed');
      return;
    }
    const {claim, previous} = claimed;
    const {usageDueMs: dueMs, regionByDomain} = settings;
    const failureDomains = [...regionByDomain.keys()];
    this.held = {
      claim,
      mayActAtMs: getFirstActMs(previous, settings.leaseMs, getNowMs()),
      usage: new UsageDuty({ledger, calls, log, logger, dueMs}, history.reports, getWallMs()),
      fleet: new FleetDuty({catalog, calls, logger, failureDomains}),
    };
    logger.info({token: claim.token}, 'duties claimed');
  }

  private async perform(held: HeldDuties): Promise<void> {
    const {settings, isReady, getNowMs, getWallMs} = this.options;
    const nowMs = getNowMs();
    if (nowMs < held.mayActAtMs || !isReady()) return;
    const {reportsUsage, ordersServers} = settings.duties;
    const fleet: DutyResult = ordersServers ? await held.fleet.run(held.claim, nowMs) : 'done';
    if (fleet === 'superseded') return this.drop('an order was fenced');
    const usage = reportsUsage ? await held.usage.run(held.claim, getWallMs()) : 'done';
    if (usage === 'superseded') this.drop('a report was fenced');
  }

  private drop(reason: string): void {
    const {logger, getNowMs} = this.options;
    logger.info({token: this.held?.claim.token, newest: this.newest.token, reason}, 'duties lost');
    this.held = undefined;
    this.claimAgainAtMs = getNowMs() + this.options.settings.leaseMs;
  }
}

/** A claim of an earlier start of this gateway is nobody's. */
function withoutOwn(claim: DutyClaim, ownId: string): DutyClaim {
  return claim.holderId === ownId ? NO_CLAIM : claim;
}
