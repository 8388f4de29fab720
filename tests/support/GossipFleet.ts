/**
 * Simulates the gossip of a fleet of gateways in virtual time, over a network that counts the bytes of the encoded
 * datagrams and can lose them.
 */
import {Catalog} from '../../src/catalog/index.js';
import {UsageLedger} from '../../src/controllers/duties/index.js';
import {PromptRates} from '../../src/controllers/fleetSize/index.js';
import {FleetEvidence} from '../../src/controllers/moves/index.js';
import {ServerLoads} from '../../src/controllers/placement/index.js';
import {QuotaLedger} from '../../src/controllers/quotas/index.js';
import {GatewayGossip} from '../../src/gateway/GatewayGossip.js';
import {LogReadCoordinator} from '../../src/gateway/LogReadCoordinator.js';
import {ServerLimits} from '../../src/gateway/ServerLimits.js';
import {RequestQuarantine} from '../../src/gateway/RequestQuarantine.js';
import {RolloutGate} from '../../src/gateway/RolloutGate.js';
import {PeerClock} from '../../src/gateway/PeerClock.js';
import {
  MemberTable,
  decodeGossip,
  encodeGossip,
  type DutyClaim,
  type GatewayMember,
  type GossipChannel,
  type GossipState,
} from '../../src/gossip/index.js';
import {BROADCAST_INTERVAL_MS} from '../../src/controllers/gossip/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {createSeededRandom} from '../../src/utils/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';
import {createSettings} from '../gateway/gatewayFixtures.js';

/** Size and faults of a fleet. */
export interface GossipFleetOptions {
  readonly gatewayCount: number;
  readonly failureDomains: number;
  readonly serverCount: number;
  readonly seed: number;
  /** Share of datagrams that are lost. */
  readonly lossShare: number;
  /** Longest time of a datagram in transit; undefined if each takes one step. */
  readonly maxTransitMs?: number;
}

/** Time that one step simulates. */
const STEP_MS = 10;
const SEED_COUNT = 3;
const WALL_START_MS = 1_780_000_000_000;

class FakeDuties {
  claim: DutyClaim = {token: 0, holderId: ''};
  reportedUsageWindow = 0;

  applyClaim(claim: DutyClaim): void {
    if (claim.token > this.claim.token) this.claim = claim;
  }

  applyReportedUsageWindow(window: number): void {
    this.reportedUsageWindow = Math.max(this.reportedUsageWindow, window);
  }
}

/** The parts of one gateway that take part in gossip. */
export class GossipGateway {
  readonly catalog = new Catalog();
  readonly members: MemberTable;
  readonly loads = new ServerLoads();
  readonly promptRates = new PromptRates();
  readonly quotaLedger = new QuotaLedger({startsFull: true, toleratedShare: 0.1});
  readonly usageLedger = new UsageLedger(5);
  readonly duties = new FakeDuties();
  readonly logReadCoordinator: LogReadCoordinator;
  readonly quarantine: RequestQuarantine;
  readonly serverLimits: ServerLimits;
  readonly rollouts = new RolloutGate({catalog: this.catalog, events: silentEvents});
  readonly evidence = new FleetEvidence();
  readonly gossip: GatewayGossip;
  member: GatewayMember;
  nextBroadcastAtMs: number;
  isRunning = true;
  sentBytes = 0;
  sentDatagrams = 0;
  deliver: (state: GossipState) => void = () => undefined;

  constructor(
    member: GatewayMember,
    seeds: readonly string[],
    firstBroadcastAtMs: number,
    fleet: GossipFleet,
  ) {
    this.member = member;
    this.nextBroadcastAtMs = firstBroadcastAtMs;
    const getNowMs = () => fleet.nowMs;
    const getWallMs = () => fleet.wallMs;
    const describeSelf = () => this.member;
    const [ip, port] = member.gossipAddress.split(':');
    this.members = new MemberTable(member.id, {unresponsiveAfterMs: 900, removedAfterMs: 8_000});
    this.logReadCoordinator = new LogReadCoordinator({
      catalog: this.catalog,
      members: this.members,
      events: silentEvents,
      describeSelf,
      getAwareNowMs: getNowMs,
    });
    this.quarantine = new RequestQuarantine({
      ownId: member.id,
      events: silentEvents,
      hasStopped: async () => true,
      isExpectedToServe: () => true,
      getGatewayIds: nowMs => [member.id, ...this.members.getKnownIds(nowMs)],
      isFleetKnown: () => true,
      getNowMs,
      getWallMs,
    });
    this.serverLimits = new ServerLimits({
      ownId: member.id,
      events: silentEvents,
      getGatewayIds: nowMs => [member.id, ...this.members.getKnownIds(nowMs)],
      isFleetKnown: () => true,
      getWallMs,
    });
    this.gossip = new GatewayGossip({
      settings: createSettings({
        id: member.id,
        ip,
        gossipPort: Number(port),
        failureDomain: member.failureDomain,
        gossipSeeds: seeds,
      }),
      catalog: this.catalog,
      members: this.members,
      loads: this.loads,
      promptRates: this.promptRates,
      quotaLedger: this.quotaLedger,
      usageLedger: this.usageLedger,
      duties: this.duties,
      logReadCoordinator: this.logReadCoordinator,
      quarantine: this.quarantine,
      serverLimits: this.serverLimits,
      rollouts: this.rollouts,
      evidence: this.evidence,
      clock: new PeerClock({getNowMs, getWallMs}),
      events: silentEvents,
      createChannel: onState => this.createChannel(onState, fleet),
      describeSelf,
      getNowMs,
    });
  }

  private createChannel(onState: (state: GossipState) => void, fleet: GossipFleet): GossipChannel {
    this.deliver = onState;
    return {
      traffic: {sentDatagrams: 0, sentBytes: 0, receivedDatagrams: 0, receivedBytes: 0},
      open: async () => undefined,
      close: () => undefined,
      send: (state, addresses) => {
        const bytes = encodeGossip(state);
        this.sentBytes += bytes.length * addresses.length;
        this.sentDatagrams += addresses.length;
        for (const address of addresses) fleet.transmit(bytes, address);
      },
    };
  }
}

/** A fleet of gateways and the network between them. */
export class GossipFleet {
  nowMs = 0;
  readonly gateways: GossipGateway[] = [];
  private readonly options: GossipFleetOptions;
  private readonly random: () => number;
  /** Apart from the other random numbers, so that times in transit don't change which datagrams are lost. */
  private readonly transitRandom: () => number;
  private readonly phaseRandom: () => number;
  private readonly byAddress = new Map<string, GossipGateway>();
  private inFlight: {
    readonly bytes: Uint8Array;
    readonly address: string;
    readonly arrivesAtMs: number;
  }[] = [];

  constructor(options: GossipFleetOptions) {
    this.options = options;
    this.random = createSeededRandom(options.seed);
    this.transitRandom = createSeededRandom(options.seed + 1_000);
    this.phaseRandom = createSeededRandom(options.seed + 2_000);
    for (let index = 0; index < options.gatewayCount; index += 1) this.addGateway(index, 1);
  }

  /** Unix time in milliseconds. */
  get wallMs(): number {
    return WALL_START_MS + this.nowMs;
  }

  /** Starts a gateway; a running one with the same index is replaced by a later start. */
  addGateway(index: number, incarnation: number): GossipGateway {
    const domain = index % this.options.failureDomains;
    const member: GatewayMember = {
      id: `edge-domain-${domain}-${index}`,
      incarnation: WALL_START_MS + incarnation,
      gossipAddress: getAddress(index, 7_600),
      trafficAddress: getAddress(index, 8_221),
      failureDomain: `domain-${domain}`,
      isReady: true,
      isLeaving: false,
      isCutOff: false,
    };
    const seeds = Array.from({length: SEED_COUNT}, (_, seed) => getAddress(seed, 7_600));
    const phaseMs = Math.floor((this.random() * BROADCAST_INTERVAL_MS) / STEP_MS) * STEP_MS;
    const gateway = new GossipGateway(member, seeds, this.nowMs + phaseMs, this);
    for (let server = 0; server < this.options.serverCount; server += 1) {
      gateway.catalog.servers.applyEntry(createServer(`i-server${server}`).entry, -10_000);
    }
    this.gateways[index] = gateway;
    this.byAddress.set(member.gossipAddress, gateway);
    return gateway;
  }

  /** Queues an encoded datagram, which arrives after its time in transit unless it is lost. */
  transmit(bytes: Uint8Array, address: string): void {
    if (this.random() < this.options.lossShare) return;
    const transitMs = this.transitRandom() * (this.options.maxTransitMs ?? 0);
    this.inFlight.push({bytes, address, arrivesAtMs: this.nowMs + transitMs});
  }

  /**
   * Advances the time.
   * @param durationMs - Time to simulate.
   * @param onStep - Called in each step before the gateways broadcast.
   */
  run(durationMs: number, onStep: () => void = () => undefined): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      onStep();
      this.deliverDatagrams();
      for (const gateway of this.gateways) {
        if (!gateway.isRunning || this.nowMs < gateway.nextBroadcastAtMs) continue;
        gateway.gossip.broadcast();
        const delayMs = gateway.gossip.getBroadcastDelayMs(this.phaseRandom);
        gateway.nextBroadcastAtMs = this.nowMs + delayMs;
      }
    }
  }

  /** Resets the byte counters of all gateways. */
  resetTraffic(): void {
    for (const gateway of this.gateways) {
      gateway.sentBytes = 0;
      gateway.sentDatagrams = 0;
    }
  }

  private deliverDatagrams(): void {
    const arriving = this.inFlight.filter(({arrivesAtMs}) => arrivesAtMs <= this.nowMs);
    this.inFlight = this.inFlight.filter(({arrivesAtMs}) => arrivesAtMs > this.nowMs);
    for (const {bytes, address} of arriving) {
      const recipient = this.byAddress.get(address);
      const state = decodeGossip(bytes);
      if (recipient?.isRunning && state) recipient.deliver(state);
    }
  }
}

function getAddress(index: number, port: number): string {
  return `10.${1 + Math.floor(index / 200)}.0.${1 + (index % 200)}:${port}`;
}
