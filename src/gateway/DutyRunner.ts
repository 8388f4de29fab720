/**
 * Claims and performs the duties: usage reports and backend server orders, which one gateway at a time performs. A
 * gateway claims them when their holder becomes unresponsive, and performs them until a newer claim supersedes its own.
 */
import type {Catalog} from '../catalog/index.js';
import {getActiveFromMs, shouldClaimDuty, type UsageLedger} from '../controllers/duties/index.js';
import type {ServiceLoad} from '../controllers/fleetSize/index.js';
import type {DutyClaim, MemberTable} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import {FleetDuty} from './FleetDuty.js';
import type {GatewaySettings} from './GatewaySettings.js';
import type {DutyCalls, DutyLog, DutyResult, UsageReport} from './ports.js';
import {UsageDuty} from './UsageDuty.js';

/** Constructor options of `DutyRunner`. */
export interface DutyRunnerOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly usageLedger: UsageLedger;
  readonly calls: DutyCalls;
  readonly log: DutyLog;
  readonly events: EventLogger;
  /** Returns the load of a service over all gateways. */
  readonly getServiceLoad: (service: string, nowMs: number) => ServiceLoad;
  /** Returns whether a service is being moved to another version, with servers of both. */
  readonly isMoving: (service: string) => boolean;
  /** Returns whether this gateway is ready to serve; otherwise it neither claims nor performs duties. */
  readonly isReady: () => boolean;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns the Unix time in milliseconds. */
  readonly getWallMs: () => number;
}

const NO_CLAIM: DutyClaim = {token: 0, holderId: ''};
/** Delay before the next claim after a failed one. */
const FAILED_CLAIM_RETRY_DELAY_MS = 500;

/** State of the duties while this gateway is their holder. */
interface HeldDuties {
  readonly claim: DutyClaim;
  /** Monotonic time before which an earlier holder may still be acting. */
  readonly firstActAtMs: number;
  readonly usage: UsageDuty;
  readonly fleet: FleetDuty;
}

/** One gateway's view of the duties: the newest known claim, and their execution while the claim is its own. */
export class DutyRunner {
  private readonly options: DutyRunnerOptions;
  private newestClaim: DutyClaim = NO_CLAIM;
  private duties: HeldDuties | undefined;
  private holderUnresponsiveSinceMs: number | undefined;
  private nextClaimAtMs = -Infinity;
  private isRunning = false;
  /** Whether the claims made before this process started have been read from the duty log. */
  private isHistoryLoaded: boolean;
  /** Reports that this gateway wrote under its latest claim. */
  private ownReports: readonly UsageReport[] = [];
  /** Newest usage window that another gateway knows to have been written. */
  private peerUsageWindow = 0;

  constructor(options: DutyRunnerOptions) {
    this.options = options;
    this.isHistoryLoaded = options.settings.isFirstStart;
    this.holderUnresponsiveSinceMs = options.getNowMs();
  }

  /** Newest known claim; token 0 if there is none. */
  get claim(): DutyClaim {
    return this.newestClaim;
  }

  /** The claim under which this gateway holds the duties; undefined if it doesn't hold them. */
  get heldClaim(): DutyClaim | undefined {
    return this.duties?.claim;
  }

  /**
   * Records a claim that a peer reported or the log returned, and gives up the duties if they are held under an older
   * one.
   * @param claim - Ignored unless its token is higher than that of the newest known claim.
   */
  applyClaim(claim: DutyClaim): void {
    if (claim.token <= this.newestClaim.token) return;
    this.newestClaim = claim;
    if (this.duties && this.duties.claim.token < claim.token) this.release('a newer claim exists');
  }

  /** Newest usage window that is known to have been written to the duty log, and may have been reported; 0 for none. */
  get reportedUsageWindow(): number {
    return Math.max(this.peerUsageWindow, this.duties?.usage.newestWindow ?? 0);
  }

  /** Records the newest usage window that a peer knows to have been written. */
  applyReportedUsageWindow(window: number): void {
    this.peerUsageWindow = Math.max(this.peerUsageWindow, window);
  }

  /** Claims the duties again if they are held: a restored store may have lost the claim and the reports. */
  handleStoreRestored(): void {
    if (!this.duties) return;
    this.release('the store was restored');
    this.nextClaimAtMs = this.options.getNowMs();
  }

  /**
   * Claims the duties if that is due, or performs them if they are held. Does nothing while an earlier call is running.
   * @param startedAtMs - Monotonic time at which the gateway started, in milliseconds.
   */
  async tick(startedAtMs: number): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      if (this.duties) await this.performDuties(this.duties);
      else await this.claimIfDue(startedAtMs);
    } finally {
      this.isRunning = false;
    }
  }

  private async claimIfDue(startedAtMs: number): Promise<void> {
    const {settings, members, isReady, getNowMs} = this.options;
    if (isReady()) await this.loadHistory();
    const nowMs = getNowMs();
    const readyPeers = members
      .getLiveMembers(nowMs)
      .filter(member => member.isReady && !member.isLeaving);
    const isHolderResponsive = readyPeers.some(({id}) => id === this.newestClaim.holderId);
    this.holderUnresponsiveSinceMs = isHolderResponsive
      ? undefined
      : (this.holderUnresponsiveSinceMs ?? nowMs);
    const view = {
      ownId: settings.id,
      claim: this.newestClaim,
      candidateIds: [...readyPeers.map(({id}) => id), settings.id],
      canClaim: isReady() && nowMs >= this.nextClaimAtMs,
      holderUnreachableSinceMs: this.holderUnresponsiveSinceMs,
      startedAtMs,
    };
    if (shouldClaimDuty(view, nowMs)) await this.claimDuties();
  }

  /** Reads the newest claim from the log once, since an earlier run of this gateway may have been the duty holder. */
  private async loadHistory(): Promise<void> {
    if (this.isHistoryLoaded) return;
    const history = await this.options.log.read();
    if (!history) return;
    this.isHistoryLoaded = true;
    this.applyClaim(history.claim);
  }

  private async claimDuties(): Promise<void> {
    const {settings, log, events, getNowMs, getWallMs, usageLedger, calls, catalog} = this.options;
    const getLoad = this.options.getServiceLoad;
    const claimed = await log.claim(settings.id);
    const history = await log.read();
    if (history) this.applyClaim(history.claim);
    if (!claimed || !history || history.claim.token !== claimed.claim.token) {
      this.nextClaimAtMs = getNowMs() + FAILED_CLAIM_RETRY_DELAY_MS;
      const token = claimed?.claim.token;
      events.log('duties not claimed', {token, newest: this.newestClaim.token});
      return;
    }
    const {claim, previous, hasLostRecords} = claimed;
    const {usageDueMs: reportDueMs, regionByDomain} = settings;
    const failureDomains = [...regionByDomain.keys()];
    this.duties = {
      claim,
      firstActAtMs: getActiveFromMs(
        {ownId: settings.id, previous, claimedAtMs: getNowMs()},
        settings.leaseMs,
      ),
      usage: new UsageDuty(
        {usageLedger, calls, log, events, reportDueMs},
        {
          written: history.reports,
          own: this.ownReports,
          reportedWindow: this.reportedUsageWindow,
          hasLostRecords,
        },
        getWallMs(),
      ),
      fleet: new FleetDuty({
        catalog,
        calls,
        events,
        failureDomains,
        getLoad,
        isMoving: this.options.isMoving,
      }),
    };
    events.log('duties claimed', {token: claim.token});
  }

  private async performDuties(held: HeldDuties): Promise<void> {
    const {settings, isReady, getNowMs, getWallMs} = this.options;
    const nowMs = getNowMs();
    if (nowMs < held.firstActAtMs || !isReady()) return;
    const {reportsUsage, ordersServers} = settings.duties;
    const fleetResult: DutyResult = ordersServers
      ? await held.fleet.run(held.claim, nowMs)
      : 'done';
    if (fleetResult === 'superseded') return this.release('a server order was refused');
    const usageResult = reportsUsage ? await held.usage.run(held.claim, getWallMs()) : 'done';
    if (usageResult === 'superseded') this.release('a usage report was refused or in doubt');
  }

  /** Stops performing the duties and delays the next claim; the reason is logged. */
  private release(reason: string): void {
    const {events, settings, getNowMs} = this.options;
    events.log('duties lost', {
      token: this.duties?.claim.token,
      newest: this.newestClaim.token,
      reason,
    });
    if (this.duties) {
      this.ownReports = this.duties.usage.getReports();
      this.applyReportedUsageWindow(this.duties.usage.newestWindow);
    }
    this.duties = undefined;
    const isHeldByOther = this.newestClaim.holderId !== settings.id;
    this.nextClaimAtMs =
      getNowMs() + (isHeldByOther ? settings.leaseMs : FAILED_CLAIM_RETRY_DELAY_MS);
  }
}
