/** Tells the other gateways what this one does and knows, and takes what they tell. */
import type {Catalog} from '../catalog/index.js';
import type {AllotmentLedger} from '../controllers/allotments/index.js';
import type {UsageLedger} from '../controllers/duties/index.js';
import type {ServerLoads} from '../controllers/placement/index.js';
import {
  GossipSocket,
  type GatewayMember,
  type GossipState,
  type MemberTable,
} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {DutyRunner} from './DutyRunner.js';
import type {GatewaySettings} from './GatewaySettings.js';

/** Options of a `GatewayGossip`. */
export interface GatewayGossipOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly loads: ServerLoads;
  readonly allotments: AllotmentLedger;
  readonly usage: UsageLedger;
  readonly duties: DutyRunner;
  readonly logger: Logger;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  readonly getNowMs: () => number;
}

const INTERVAL_MS = 250;
/** Datagrams between two that hold the whole state; the others leave out what seldom changes. */
const WHOLE_STATE_INTERVAL = 8;
/** Usage windows in each datagram: the present one and the one before. */
const RECENT_WINDOWS = 2;

/** The exchange of state with the other gateways. */
export class GatewayGossip {
  private readonly options: GatewayGossipOptions;
  private readonly socket: GossipSocket;
  private timer: NodeJS.Timeout | undefined;
  /** Next offset of the operators' records, as the adapter reads them. */
  private operatorOffset = 0;
  private told = 0;
  private toldMemberIds = '';

  constructor(options: GatewayGossipOptions) {
    const {settings, logger} = options;
    this.options = options;
    this.socket = new GossipSocket({
      ip: settings.ip,
      port: settings.gossipPort,
      logger,
      onState: state => this.applyState(state),
    });
  }

  /** Opens the socket and tells the own state from now on. */
  async start(): Promise<void> {
    await this.socket.open();
    this.tell();
    this.timer = setInterval(() => this.tell(), INTERVAL_MS);
  }

  /** Falls silent. */
  close(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  /**
   * Notes how far the operators' records have been read.
   * @param nextOffset - Offset of the next record.
   */
  setOperatorOffset(nextOffset: number): void {
    this.operatorOffset = nextOffset;
  }

  /** Tells the own state now. */
  tell(): void {
    const {settings, members, getNowMs} = this.options;
    const nowMs = getNowMs();
    const known = members.getAll(nowMs).map(({gossipAddress}) => gossipAddress);
    const own = `${settings.ip}:${settings.gossipPort}`;
    const seeds = settings.gossipSeeds.filter(seed => seed !== own && !known.includes(seed));
    this.socket.send(this.getState(nowMs), [...known, ...seeds]);
  }

  /** Returns this gateway as it describes itself. */
  describeSelf(): GatewayMember {
    const {settings, isReady, isLeaving} = this.options;
    return {
      id: settings.id,
      incarnation: settings.incarnation,
      gossipAddress: `${settings.ip}:${settings.gossipPort}`,
      trafficAddress: settings.trafficAddress,
      failureDomain: settings.failureDomain,
      isReady: isReady(),
      isLeaving: isLeaving(),
    };
  }

  private getState(nowMs: number): GossipState {
    const {catalog, members, allotments, loads, usage, duties} = this.options;
    const heard = members.getHeard(nowMs).filter(({isLeaving}) => !isLeaving);
    const isWhole = this.isWholeStateDue(heard);
    return {
      sender: this.describeSelf(),
      members: isWhole ? heard : [],
      admitted: allotments.getAdmitted(),
      serverLoads: loads.getOwnLoads(),
      usage: isWhole ? usage.getOwn() : usage.getOwn(RECENT_WINDOWS),
      dutyClaim: duties.claim,
      operatorOffset: this.operatorOffset,
      operatorAgeMs: catalog.getOperatorAgeMs(nowMs),
      leavingServerIds: catalog.servers.getLeaving(nowMs),
    };
  }

  /** The whole state is told now and then, and as soon as the members have changed. */
  private isWholeStateDue(heard: readonly GatewayMember[]): boolean {
    const memberIds = heard.map(({id, incarnation}) => `${id}/${incarnation}`).join();
    const hasChanged = memberIds !== this.toldMemberIds;
    this.toldMemberIds = memberIds;
    this.told += 1;
    return hasChanged || this.told % WHOLE_STATE_INTERVAL === 0;
  }

  private applyState(state: GossipState): void {
    const {allotments, duties, loads, members, usage, getNowMs} = this.options;
    const nowMs = getNowMs();
    const {sender} = state;
    if (!members.applyHeard(sender, nowMs)) return;
    for (const member of state.members) members.applyNamed(member, nowMs);
    for (const [workspace, total] of state.admitted) {
      allotments.applyPeer(sender.id, sender.incarnation, workspace, total, nowMs);
    }
    loads.setPeer(sender.id, state.serverLoads, nowMs);
    usage.applyPeer(sender.id, sender.incarnation, state.usage);
    duties.applyClaim(state.dutyClaim);
    for (const id of state.leavingServerIds) this.applyLeaving(id, sender.id);
    this.applyCurrency(state, nowMs);
  }

  private applyLeaving(serverId: string, toldBy: string): void {
    const {catalog, logger} = this.options;
    const change = catalog.servers.markDraining(serverId);
    if (change !== 'same') logger.info({server: serverId, change, toldBy}, 'backend server');
  }

  /** Who has read as far as another gateway knows what that one knew, up to the instant at which it read. */
  private applyCurrency({operatorOffset, operatorAgeMs}: GossipState, nowMs: number): void {
    if (operatorOffset === 0 || this.operatorOffset < operatorOffset) return;
    this.options.catalog.markOperatorCurrent(nowMs - operatorAgeMs);
  }
}
