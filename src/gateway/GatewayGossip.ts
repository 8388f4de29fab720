/** Exchanges state with other gateways in datagrams, and applies what they send. */
import type {Catalog} from '../catalog/index.js';
import {getBroadcastDelayMs, type GossipGroup} from '../controllers/gossip/index.js';
import type {QuotaLedger} from '../controllers/quotas/index.js';
import type {UsageLedger} from '../controllers/duties/index.js';
import type {FleetEvidence} from '../controllers/moves/index.js';
import type {PromptRates} from '../controllers/fleetSize/index.js';
import type {ServerLoads} from '../controllers/placement/index.js';
import type {
  GatewayMember,
  GossipChannel,
  GossipState,
  GossipTraffic,
  MemberTable,
  StateSummary,
  UsageCount,
} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {DutyRunner} from './DutyRunner.js';
import type {GatewaySettings} from './GatewaySettings.js';
import {takeInTurn} from '../utils/index.js';
import {GossipRecipients} from './GossipRecipients.js';
import {GossipTrafficLog} from './GossipTrafficLog.js';
import {GroupExchange} from './GroupExchange.js';
import type {RequestQuarantine} from './RequestQuarantine.js';
import type {RolloutGate} from './RolloutGate.js';
import type {ServerLimits} from './ServerLimits.js';
import type {PeerClock} from './PeerClock.js';
import type {LogReadCoordinator} from './LogReadCoordinator.js';

/** Constructor options of `GatewayGossip`. */
export interface GatewayGossipOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly loads: ServerLoads;
  readonly promptRates: PromptRates;
  readonly quotaLedger: QuotaLedger;
  readonly usageLedger: UsageLedger;
  readonly duties: Pick<
    DutyRunner,
    'claim' | 'applyClaim' | 'reportedUsageWindow' | 'applyReportedUsageWindow'
  >;
  readonly logReadCoordinator: LogReadCoordinator;
  readonly quarantine: Pick<RequestQuarantine, 'applyFindings' | 'getFindings' | 'setNewsListener'>;
  readonly serverLimits: Pick<ServerLimits, 'applyLimits' | 'getLimits' | 'setNewsListener'>;
  readonly rollouts: Pick<RolloutGate, 'applySteps' | 'getStepsToSend' | 'setNewsListener'>;
  readonly evidence: FleetEvidence;
  readonly clock: PeerClock;
  readonly events: EventLogger;
  /** Creates the channel to the other gateways; `onState` receives their states. */
  readonly createChannel: (onState: (state: GossipState) => void) => GossipChannel;
  /** Returns this gateway's own member record. */
  readonly describeSelf: () => GatewayMember;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
}

/** Every n-th broadcast carries what the others leave out: all workspaces, cold servers and usage windows. */
const FULL_STATE_INTERVAL = 8;
/** Every n-th broadcast carries the usage windows that still change. */
const USAGE_INTERVAL = 4;
/** Every n-th broadcast carries the usage window that has just ended, which must cross all groups before its report. */
const CLOSING_USAGE_INTERVAL = 2;
/** Every n-th broadcast carries the latest results of attempts during roll-outs. */
const RESULTS_INTERVAL = 2;
/** Every n-th broadcast carries the state of the gateways outside the group. */
const REST_INTERVAL = 2;
/** Every n-th broadcast carries one of all member records in turn, besides the new ones. */
const MEMBERS_INTERVAL = 4;
/** Every n-th broadcast asks for members while some are unknown. */
const INQUIRY_INTERVAL = 2;
/** Member records in the answer to a gateway of another group, which may know few others yet. */
const MEMBERS_IN_REPLY = 12;
/** Shortest interval between two replies to one gateway. */
const REPLY_INTERVAL_MS = 250;
/** Seeds that aren't members get every n-th broadcast; every one as long as no other gateway is known. */
const SEED_INTERVAL = 4;
/** Shortest interval between two announcements; the next broadcast makes up for an omitted one. */
const ANNOUNCEMENT_INTERVAL_MS = 40;
/** Reads of the logs that are newer by less aren't announced. */
const MIN_AGE_GAIN_MS = 300;
/** Broadcasts between two log lines about the gossip traffic. */
const TRAFFIC_LOG_INTERVAL = 20;

/** Exchanges state with the gateways of its groups at a fixed interval, and news about the logs at once. */
export class GatewayGossip {
  private readonly options: GatewayGossipOptions;
  private readonly channel: GossipChannel;
  private readonly exchange: GroupExchange;
  private timer: NodeJS.Timeout | undefined;
  private readonly recipients: GossipRecipients;
  private broadcastCount = 0;
  private announcedAtMs = -Infinity;
  private sentAdmitted: ReadonlyMap<string, number> = new Map();
  private readonly repliedAtMs = new Map<string, number>();
  private readonly trafficLog: GossipTrafficLog;

  constructor(options: GatewayGossipOptions) {
    this.options = options;
    const {ip, gossipPort, gossipSeeds} = options.settings;
    this.recipients = new GossipRecipients({
      members: options.members,
      ownAddress: `${ip}:${gossipPort}`,
      seeds: gossipSeeds,
    });
    this.channel = options.createChannel(state => this.applyState(state));
    this.exchange = new GroupExchange({
      ...options,
      getWallMs: () => options.clock.getWallMs(),
    });
    const getTraffic = () => this.channel.traffic;
    this.trafficLog = new GossipTrafficLog({...options, getTraffic}, options.getNowMs());
    const announceNews = () => this.announce(options.getNowMs(), undefined);
    options.logReadCoordinator.setReadListener(announceNews);
    options.quarantine.setNewsListener(announceNews);
    options.serverLimits.setNewsListener(announceNews);
    options.rollouts.setNewsListener(announceNews);
  }

  /** Datagrams and bytes since the start. */
  get traffic(): GossipTraffic {
    return this.channel.traffic;
  }

  /**
   * Returns the prompt tokens per second that all gateways send to a service.
   * @param service - Name of the service.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getPromptRate(service: string, nowMs: number): number {
    return this.exchange.getTotal(nowMs).promptRates.get(service) ?? 0;
  }

  /** Opens the channel and broadcasts this gateway's state, now and at each interval. */
  async start(): Promise<void> {
    await this.channel.open();
    this.broadcast();
    this.scheduleBroadcast();
  }

  /** Stops broadcasting and closes the channel. */
  close(): void {
    clearTimeout(this.timer);
    this.channel.close();
  }

  /**
   * Replaces the seeds, through which the other gateways are found.
   * @param addresses - Each an IP address and port.
   */
  setSeeds(addresses: readonly string[]): void {
    this.recipients.setSeeds(addresses);
  }

  /**
   * Returns the time until this gateway's state is due again.
   * @param random - Returns a random number from 0 to less than 1.
   */
  getBroadcastDelayMs(random: () => number): number {
    const {clock, getNowMs} = this.options;
    const level = this.exchange.getGroups(getNowMs()).length - 1;
    return getBroadcastDelayMs(level, clock.getWallMs(), random);
  }

  private scheduleBroadcast(): void {
    const broadcast = () => {
      this.broadcast();
      this.scheduleBroadcast();
    };
    this.timer = setTimeout(broadcast, this.getBroadcastDelayMs(Math.random));
  }

  /** Sends this gateway's state to its groups, and an announcement to gateways that may not know this one. */
  broadcast(): void {
    const nowMs = this.options.getNowMs();
    this.broadcastCount += 1;
    const groups = this.exchange.getGroups(nowMs);
    const members = this.getMembersToSend(nowMs);
    const admitted = this.getAdmittedToSend();
    for (const group of groups) {
      const state = this.buildState(group, members, admitted, nowMs);
      this.channel.send(state, getAddresses(group.fellows));
    }
    const others = [...this.getOtherRecipients(nowMs), ...this.getInformants(groups)];
    if (others.length > 0) {
      const state = {...this.buildAnnouncement(members, [], nowMs), requestsMembers: true};
      this.channel.send(state, others);
    }
    if (this.isDue(TRAFFIC_LOG_INTERVAL)) this.trafficLog.write(groups.length, nowMs);
  }

  private buildState(
    group: GossipGroup<GatewayMember>,
    members: readonly GatewayMember[],
    admitted: ReadonlyMap<string, number>,
    nowMs: number,
  ): GossipState {
    const {loads, settings, promptRates} = this.options;
    const isHead = group.headId === settings.id;
    const rest =
      isHead && this.isDue(REST_INTERVAL) ? this.exchange.getRest(group.level, nowMs) : undefined;
    const base = {
      ...this.buildAnnouncement(members, group.fellows, nowMs),
      level: group.level,
      isAnnouncement: false,
      rest: rest && this.limitWindows(rest, FULL_STATE_INTERVAL),
    };
    if (group.level > 0) {
      return {
        ...base,
        summary: this.limitWindows(this.exchange.getSummary(group.level, nowMs), USAGE_INTERVAL),
      };
    }
    return {
      ...base,
      admitted,
      hasAllWorkspaces: this.isDue(FULL_STATE_INTERVAL),
      serverLoads: loads.getOwnLoadsByKey(),
      promptRates: promptRates.getRates(nowMs),
      usage: this.getUsageToSend(),
      rolloutResults: this.isDue(RESULTS_INTERVAL)
        ? this.options.evidence.getOwn(this.options.clock.getWallMs())
        : [],
    };
  }

  private buildAnnouncement(
    members: readonly GatewayMember[],
    recipients: readonly GatewayMember[],
    nowMs: number,
  ): GossipState {
    const {duties, logReadCoordinator, clock, quarantine, serverLimits, catalog} = this.options;
    return {
      sender: this.options.describeSelf(),
      members,
      level: 0,
      isAnnouncement: true,
      requestsMembers: false,
      admitted: new Map(),
      hasAllWorkspaces: false,
      serverLoads: new Map(),
      promptRates: new Map(),
      usage: [],
      summary: undefined,
      rest: undefined,
      dutyClaim: duties.claim,
      reportedUsageWindow: duties.reportedUsageWindow,
      configurationVersion: catalog.routeTable?.configuration.version ?? 0,
      operatorPosition: logReadCoordinator.getKnownPosition('operator'),
      operatorRead: logReadCoordinator.getOperatorRead(nowMs),
      ...logReadCoordinator.getOperatorProof(recipients),
      registrations: logReadCoordinator.getRegistrationsUpdate(
        this.isDue(FULL_STATE_INTERVAL),
        nowMs,
      ),
      findings: quarantine.getFindings(this.isDue(FULL_STATE_INTERVAL), nowMs),
      serverLimits: serverLimits.getLimits(this.isDue(FULL_STATE_INTERVAL), nowMs),
      rolloutSteps: this.options.rollouts.getStepsToSend(this.isDue(FULL_STATE_INTERVAL), nowMs),
      rolloutResults: [],
      wallMs: clock.getOwnWallMs(),
    };
  }

  private isDue(everyBroadcasts: number): boolean {
    return this.broadcastCount % everyBroadcasts === 0;
  }

  /** Leaves out the usage windows and results that are not due in this broadcast. */
  private limitWindows(summary: StateSummary, everyBroadcasts: number): StateSummary {
    const usage = this.isDue(everyBroadcasts)
      ? summary.usage
      : this.selectClosingUsage(summary.usage);
    const rolloutResults = this.isDue(RESULTS_INTERVAL) ? summary.rolloutResults : [];
    return {...summary, usage, rolloutResults};
  }

  private getUsageToSend(): readonly UsageCount[] {
    const {usageLedger, clock} = this.options;
    const usage = usageLedger.getOwnUsage();
    if (this.isDue(FULL_STATE_INTERVAL)) return usage;
    if (this.isDue(USAGE_INTERVAL)) return usageLedger.selectOpen(usage, clock.getWallMs());
    return this.selectClosingUsage(usage);
  }

  private selectClosingUsage(usage: readonly UsageCount[]): readonly UsageCount[] {
    const {usageLedger, clock} = this.options;
    if (!this.isDue(CLOSING_USAGE_INTERVAL)) return [];
    return usageLedger.selectClosing(usage, clock.getWallMs());
  }

  /** Returns the admissions of the workspaces that had any since the last broadcast, or of all of them. */
  private getAdmittedToSend(): ReadonlyMap<string, number> {
    const admitted = this.options.quotaLedger.getAdmittedTotals();
    const previous = this.sentAdmitted;
    this.sentAdmitted = admitted;
    if (this.isDue(FULL_STATE_INTERVAL)) return admitted;
    return new Map(
      [...admitted].filter(([workspace, amount]) => amount !== previous.get(workspace)),
    );
  }

  /** Returns new members, and one of all live ones in turn, so that every gateway learns of every other one. */
  private getMembersToSend(nowMs: number): readonly GatewayMember[] {
    const newMembers = this.recipients.getNewMembers(nowMs);
    if (!this.isDue(MEMBERS_INTERVAL)) return newMembers;
    return [...new Set([...newMembers, ...this.recipients.getLiveMembers(1, nowMs)])];
  }

  /** Returns the address of a fellow to ask for members, if some of those that others know are unknown here. */
  private getInformants(groups: readonly GossipGroup<GatewayMember>[]): readonly string[] {
    if (!this.exchange.hasUnknownMembers || !this.isDue(INQUIRY_INTERVAL)) return [];
    const fellows = groups.flatMap(group => group.fellows);
    return getAddresses(takeInTurn(fellows, this.broadcastCount, 1));
  }

  /** Returns the addresses of gateways that may not know this one. */
  private getOtherRecipients(nowMs: number): readonly string[] {
    const isAlone = this.options.members.getMembers(nowMs).length === 0;
    const seeds =
      isAlone || this.isDue(SEED_INTERVAL) ? this.recipients.getUnknownSeeds(nowMs) : [];
    return [...seeds, ...this.recipients.getUnresponsiveAddresses(nowMs)];
  }

  private applyState(state: GossipState): void {
    const {clock, duties, members, logReadCoordinator, catalog, getNowMs} = this.options;
    const nowMs = getNowMs();
    const {sender} = state;
    if (!members.applySender(sender, nowMs)) return;
    for (const member of state.members) members.applyReported(member, nowMs);
    const relation = this.exchange.apply(state, nowMs);
    duties.applyClaim(state.dutyClaim);
    duties.applyReportedUsageWindow(state.reportedUsageWindow);
    catalog.applyReportedVersion(state.configurationVersion, nowMs);
    clock.applyPeerReport(sender.id, state.wallMs);
    const before = {
      digest: catalog.servers.getDigest(),
      registrationsAgeMs: catalog.getRegistrationsAgeMs(nowMs),
      operatorAgeMs: catalog.getOperatorRecordsAgeMs(nowMs),
    };
    logReadCoordinator.apply(state, nowMs);
    const hasNewFindings = this.options.quarantine.applyFindings(state.findings, nowMs);
    const hasNewLimits = this.options.serverLimits.applyLimits(state.serverLimits, nowMs);
    const hasNewSteps = this.options.rollouts.applySteps(state.rolloutSteps, nowMs);
    const isNews =
      hasNewFindings ||
      hasNewLimits ||
      hasNewSteps ||
      catalog.servers.getDigest() !== before.digest ||
      before.registrationsAgeMs - catalog.getRegistrationsAgeMs(nowMs) >= MIN_AGE_GAIN_MS ||
      before.operatorAgeMs - catalog.getOperatorRecordsAgeMs(nowMs) >= MIN_AGE_GAIN_MS;
    if (isNews) this.announce(nowMs, sender.id);
    const isMisplaced = relation === 'stranger' && !state.isAnnouncement;
    if (state.requestsMembers || isMisplaced) this.reply(sender, nowMs);
  }

  /**
   * Sends what is known of the logs at once, to the groups other than the one that it comes from.
   * @param sourceId - Gateway that sent the news; undefined if this gateway has read a log itself.
   */
  private announce(nowMs: number, sourceId: string | undefined): void {
    if (nowMs - this.announcedAtMs < ANNOUNCEMENT_INTERVAL_MS) return;
    const recipients = this.exchange
      .getGroups(nowMs)
      .filter(({fellows}) => !fellows.some(({id}) => id === sourceId))
      .flatMap(({fellows}) => fellows);
    if (recipients.length === 0) return;
    this.announcedAtMs = nowMs;
    const state = this.buildAnnouncement([], recipients, nowMs);
    this.channel.send(state, getAddresses(recipients));
  }

  /** Tells a gateway that takes this one for a fellow, or just started, which gateways there are. */
  private reply(recipient: GatewayMember, nowMs: number): void {
    const {id, gossipAddress} = recipient;
    if (nowMs - (this.repliedAtMs.get(id) ?? -Infinity) < REPLY_INTERVAL_MS) return;
    this.repliedAtMs.set(id, nowMs);
    const members = this.recipients.getLiveMembers(MEMBERS_IN_REPLY, nowMs);
    const {quarantine, serverLimits} = this.options;
    const state = {
      ...this.buildAnnouncement(members, [recipient], nowMs),
      findings: quarantine.getFindings(true, nowMs),
      serverLimits: serverLimits.getLimits(true, nowMs),
      rolloutSteps: this.options.rollouts.getStepsToSend(true, nowMs),
    };
    this.channel.send(state, [gossipAddress]);
  }
}

function getAddresses(members: readonly GatewayMember[]): readonly string[] {
  return members.map(({gossipAddress}) => gossipAddress);
}
