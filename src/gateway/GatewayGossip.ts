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
import type {EventLogger} from '../logging/index.js';
import type {DutyRunner} from './DutyRunner.js';
import type {GatewaySettings} from './GatewaySettings.js';
import type {PeerClock} from './PeerClock.js';
import type {SharedReadings} from './SharedReadings.js';

/** Options of a `GatewayGossip`. */
export interface GatewayGossipOptions {
  readonly settings: GatewaySettings;
  readonly catalog: Catalog;
  readonly members: MemberTable;
  readonly loads: ServerLoads;
  readonly allotments: AllotmentLedger;
  readonly usage: UsageLedger;
  readonly duties: DutyRunner;
  readonly readings: SharedReadings;
  readonly clock: PeerClock;
  readonly events: EventLogger;
  /** Returns this gateway as it describes itself. */
  readonly describeSelf: () => GatewayMember;
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
  private seeds: readonly string[];
  private told = 0;
  private toldMemberIds = '';

  constructor(options: GatewayGossipOptions) {
    const {settings, events} = options;
    this.options = options;
    this.seeds = settings.gossipSeeds;
    this.socket = new GossipSocket({
      ip: settings.ip,
      port: settings.gossipPort,
      events,
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
   * Sets the gateways to speak to besides those that are known.
   * @param addresses - Their IP numbers and ports.
   */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
  }

  /** Tells the own state now. */
  tell(): void {
    const {settings, members, getNowMs} = this.options;
    const nowMs = getNowMs();
    const known = members.getAll(nowMs).map(({gossipAddress}) => gossipAddress);
    const own = `${settings.ip}:${settings.gossipPort}`;
    const seeds = this.seeds.filter(seed => seed !== own && !known.includes(seed));
    this.socket.send(this.getState(nowMs), [...known, ...seeds]);
  }

  private getState(nowMs: number): GossipState {
    const {catalog, members, allotments, loads, usage, duties, readings, clock} = this.options;
    const heard = members.getHeard(nowMs).filter(({isLeaving}) => !isLeaving);
    const isWhole = this.isWholeStateDue(heard);
    return {
      sender: this.options.describeSelf(),
      members: isWhole ? heard : [],
      admitted: allotments.getAdmitted(),
      serverLoads: loads.getOwnLoads(),
      usage: isWhole ? usage.getOwn() : usage.getOwn(RECENT_WINDOWS),
      dutyClaim: duties.claim,
      operatorOffset: readings.getKnownOffset('operator'),
      operatorAgeMs: catalog.getOperatorAgeMs(nowMs),
      registrations: readings.describeRegistrations(nowMs),
      wallMs: clock.getOwnWallMs(),
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
    const {allotments, clock, duties, loads, members, readings, usage, getNowMs} = this.options;
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
    readings.apply(state, nowMs);
    clock.applyPeer(sender.id, state.wallMs);
  }
}
