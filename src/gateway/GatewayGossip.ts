/** Broadcasts this gateway's state to the other gateways and applies the states received from them. */
import type {Catalog} from '../catalog/index.js';
import type {QuotaLedger} from '../controllers/quotas/index.js';
import type {UsageLedger} from '../controllers/duties/index.js';
import type {ServerLoads} from '../controllers/placement/index.js';
import type {
  GatewayMember,
  GossipChannel,
  GossipState,
  GossipTraffic,
  MemberTable,
} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {DutyRunner} from './DutyRunner.js';
import type {GatewaySettings} from './GatewaySettings.js';
import type {PeerClock} from './PeerClock.js';
import type {LogReadCoordinator} from './LogReadCoordinator.js';

/** Constructor options of `GatewayGossip`. */
export interface GatewayGossipOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly loads: ServerLoads;
  readonly quotaLedger: QuotaLedger;
  readonly usageLedger: UsageLedger;
  readonly duties: Pick<DutyRunner, 'claim' | 'applyClaim'>;
  readonly logReadCoordinator: LogReadCoordinator;
  readonly clock: PeerClock;
  readonly events: EventLogger;
  /** Creates the channel to the other gateways; `onState` receives their states. */
  readonly createChannel: (onState: (state: GossipState) => void) => GossipChannel;
  /** Returns this gateway's own member record. */
  readonly describeSelf: () => GatewayMember;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
}

const BROADCAST_INTERVAL_MS = 250;
/** Every n-th datagram carries the full state; the others omit what seldom changes. */
const FULL_STATE_INTERVAL = 8;
/** Usage windows in a datagram without the full state: the current one and the previous one. */
const RECENT_WINDOWS = 2;
/** Broadcasts between two log lines about the gossip traffic. */
const TRAFFIC_LOG_INTERVAL = 20;

/** Exchanges state with the other gateways, by datagrams at a fixed interval. */
export class GatewayGossip {
  private readonly options: GatewayGossipOptions;
  private readonly channel: GossipChannel;
  private timer: NodeJS.Timeout | undefined;
  private seeds: readonly string[];
  private broadcastCount = 0;
  private lastSentMemberIds = '';
  private loggedTraffic: GossipTraffic;
  private loggedAtMs: number;

  constructor(options: GatewayGossipOptions) {
    this.options = options;
    this.seeds = options.settings.gossipSeeds;
    this.channel = options.createChannel(state => this.applyState(state));
    this.loggedTraffic = this.channel.traffic;
    this.loggedAtMs = options.getNowMs();
  }

  /** Datagrams and bytes since the start. */
  get traffic(): GossipTraffic {
    return this.channel.traffic;
  }

  /** Opens the channel and broadcasts this gateway's state, now and at each interval. */
  async start(): Promise<void> {
    await this.channel.open();
    this.broadcast();
    this.timer = setInterval(() => this.broadcast(), BROADCAST_INTERVAL_MS);
  }

  /** Stops broadcasting and closes the channel. */
  close(): void {
    clearInterval(this.timer);
    this.channel.close();
  }

  /**
   * Replaces the seeds, which receive the state in addition to the known members.
   * @param addresses - Each an IP address and port.
   */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
  }

  /** Sends this gateway's state to all known members and seeds. */
  broadcast(): void {
    const {settings, members, getNowMs} = this.options;
    const nowMs = getNowMs();
    const memberAddresses = members.getMembers(nowMs).map(({gossipAddress}) => gossipAddress);
    const ownAddress = `${settings.ip}:${settings.gossipPort}`;
    const seeds = this.seeds.filter(seed => seed !== ownAddress && !memberAddresses.includes(seed));
    this.channel.send(this.buildState(nowMs), [...memberAddresses, ...seeds]);
    if (this.broadcastCount % TRAFFIC_LOG_INTERVAL === 0) this.logTraffic(nowMs);
  }

  /** Logs the traffic since the previous line, and how recent and complete the gossiped state is. */
  private logTraffic(nowMs: number): void {
    const {members, catalog, events} = this.options;
    const {traffic} = this.channel;
    events.log('gossip', {
      intervalMs: Math.round(nowMs - this.loggedAtMs),
      sentDatagrams: traffic.sentDatagrams - this.loggedTraffic.sentDatagrams,
      sentBytes: traffic.sentBytes - this.loggedTraffic.sentBytes,
      receivedDatagrams: traffic.receivedDatagrams - this.loggedTraffic.receivedDatagrams,
      receivedBytes: traffic.receivedBytes - this.loggedTraffic.receivedBytes,
      heard: members.getLiveMembers(nowMs).length,
      known: members.getKnownCount(nowMs),
      registrationsAgeMs: Math.round(catalog.getRegistrationsAgeMs(nowMs)),
      configurationAgeMs: Math.round(catalog.getOperatorRecordsAgeMs(nowMs)),
    });
    this.loggedTraffic = traffic;
    this.loggedAtMs = nowMs;
  }

  private buildState(nowMs: number): GossipState {
    const {catalog, members, quotaLedger, loads, usageLedger, duties, logReadCoordinator, clock} =
      this.options;
    const liveMembers = members.getLiveMembers(nowMs).filter(({isLeaving}) => !isLeaving);
    const isFullState = this.isFullStateDue(liveMembers);
    return {
      sender: this.options.describeSelf(),
      members: isFullState ? liveMembers : [],
      admitted: quotaLedger.getAdmittedTotals(),
      serverLoads: loads.getOwnLoads(),
      usage: isFullState ? usageLedger.getOwnUsage() : usageLedger.getOwnUsage(RECENT_WINDOWS),
      dutyClaim: duties.claim,
      operatorOffset: logReadCoordinator.getKnownOffset('operator'),
      operatorAgeMs: catalog.getOperatorRecordsAgeMs(nowMs),
      registrations: logReadCoordinator.getRegistrationsUpdate(nowMs),
      wallMs: clock.getOwnWallMs(),
    };
  }

  /** Returns whether the next datagram carries the full state: at every n-th one and after a change of the members. */
  private isFullStateDue(liveMembers: readonly GatewayMember[]): boolean {
    const memberIds = liveMembers.map(({id, incarnation}) => `${id}/${incarnation}`).join();
    const hasChanged = memberIds !== this.lastSentMemberIds;
    this.lastSentMemberIds = memberIds;
    this.broadcastCount += 1;
    return hasChanged || this.broadcastCount % FULL_STATE_INTERVAL === 0;
  }

  private applyState(state: GossipState): void {
    const {quotaLedger, clock, duties, loads, members, logReadCoordinator, usageLedger, getNowMs} =
      this.options;
    const nowMs = getNowMs();
    const {sender} = state;
    if (!members.applySender(sender, nowMs)) return;
    for (const member of state.members) members.applyReported(member, nowMs);
    for (const [workspace, total] of state.admitted) {
      quotaLedger.applyPeerReport(sender.id, sender.incarnation, workspace, total, nowMs);
    }
    loads.applyPeerReport(sender.id, state.serverLoads, nowMs);
    usageLedger.mergePeerUsage(sender.id, sender.incarnation, state.usage);
    duties.applyClaim(state.dutyClaim);
    logReadCoordinator.apply(state, nowMs);
    clock.applyPeerReport(sender.id, state.wallMs);
  }
}
