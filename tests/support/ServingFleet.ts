/**
 * Simulates a fleet of whole gateways with their backend servers in virtual time: requests, servers that crash, and
 * gossip that can be lost. Nothing in it knows how the gateways decide.
 */
import {Catalog, type KnownServer, type Route, type Service} from '../../src/catalog/index.js';
import type {
  BackendAttempt,
  BackendCall,
  PeerCall,
  BackendHead,
  BackendResponseHandler,
  Refusal,
  ServingRequest,
} from '../../src/exchange/index.js';
import {
  Gateway,
  GatewayMetrics,
  type DutyLog,
  type OpenRequest,
  type RolloutLog,
  type RolloutVerdict,
} from '../../src/gateway/index.js';
import {
  decodeGossip,
  encodeGossip,
  type DutyClaim,
  type GossipState,
} from '../../src/gossip/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {createSeededRandom} from '../../src/utils/index.js';
import {REQUEST, ROUTE, SUCCESS, createServer} from '../exchange/exchangeFixtures.js';
import {createSettings} from '../gateway/gatewayFixtures.js';

const ignore = () => undefined;

/** Size and faults of a fleet. */
export interface ServingFleetOptions {
  readonly gatewayCount: number;
  readonly serverCount: number;
  readonly failureDomains: number;
  readonly seed: number;
  /** Share of datagrams that are lost. */
  readonly lossShare: number;
  /** Overrides of the route's defaults: a stream with two attempts. */
  readonly route?: Partial<Route>;
  /** Time from the start of an attempt to its first event. */
  readonly prefillMs?: number;
  /** Time from the first event to the end of the response. */
  readonly responseMs?: number;
  /** Whether the gateways reach a store in which they claim the duties. */
  readonly hasStore?: boolean;
  /** Slots of each server; what a server does with more requests is up to `behave`. */
  readonly slots?: number;
}

/** What a caller got. */
export interface CallerResult {
  readonly request: ServingRequest;
  readonly sentAtMs: number;
  outcome: 'open' | 'answered' | 'aborted' | Refusal;
  status?: number;
}

/** An attempt that a server has received. */
export interface ReceivedAttempt {
  readonly call: BackendCall;
  readonly gatewayId: string;
  readonly serverId: string;
  readonly atMs: number;
}

/** Prompt part that crashes every server that begins to answer it. */
export const DEADLY_PART = 'deadly';

const STEP_MS = 10;
const SLOTS = 64;
const PREFILL_MS = 150;
const RESPONSE_MS = 1_000;
const BROADCAST_INTERVAL_MS = 250;
const EXAMINE_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 300;
const WALL_START_MS = 1_780_000_000_000;
/** Time until a crashed server is back, and until its registration is removed. */
const RESTART_MS = 3_000;
const EXPIRY_MS = 3_600;
/** Time to the callers' deadlines; longer than any test, since runs keep real time. */
const DEADLINE_MS = 3_600_000;
/** Turns of the event loop's microtasks in a step, for checks that are promises. */
const MICROTASK_TURNS = 6;
const SERVICE: Service = {
  name: 'app',
  maxConnections: 1_000,
  coldStartMs: 0,
  coldRequestsPerSecond: 0,
  engine: {slots: 64, cacheTokens: 1_000_000},
  replicaBounds: undefined,
};
const LIMITS = {
  maxHeaderBytes: 8_192,
  maxBodyBytes: 8_192,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};

/** The store in which the gateways claim the duties and write verdicts; it can be away. */
export class SimulatedStore implements DutyLog, RolloutLog {
  isAway: boolean;
  verdicts = new Map<string, RolloutVerdict>();
  private newest: DutyClaim = {token: 0, holderId: ''};
  private lostToken = 0;

  constructor(isAway: boolean) {
    this.isAway = isAway;
  }

  /** Comes back from a copy without any verdict and claim; later tokens are higher all the same. */
  restore(): void {
    this.verdicts = new Map();
    this.lostToken = this.newest.token;
    this.newest = {token: 0, holderId: ''};
  }

  async read() {
    return this.isAway ? undefined : {claim: this.newest, reports: []};
  }

  async claim(holderId: string) {
    if (this.isAway) return undefined;
    const previous = this.newest;
    this.newest = {token: Math.max(previous.token, this.lostToken) + 1, holderId};
    return {claim: this.newest, previous, hasLostRecords: false};
  }

  async writeReports() {
    return this.isAway ? 'unavailable' : 'done';
  }

  async readVerdicts() {
    return this.isAway ? undefined : this.verdicts;
  }

  async writeVerdict(verdict: RolloutVerdict, claim: DutyClaim) {
    if (this.isAway) return 'unavailable';
    if (claim.token < this.newest.token) return 'superseded';
    this.verdicts.set(verdict.service, verdict);
    return 'done';
  }
}

/** What a server does with one attempt. */
export interface ServerBehaviour {
  readonly prefillMs: number;
  readonly head: BackendHead;
}

/** A running attempt at a simulated server. */
interface RunningAttempt {
  readonly call: BackendCall;
  readonly handler: BackendResponseHandler;
  isDone: boolean;
}

/** One start of a simulated server. */
export class SimulatedServer {
  readonly known: KnownServer;
  readonly running = new Set<RunningAttempt>();
  isUp = true;
  /** Head of its responses. */
  head: BackendHead = SUCCESS;

  constructor(
    id: string,
    failureDomain: string,
    softwareVersion: string,
    nowMs: number,
    slots: number,
  ) {
    const server = createServer(id);
    this.known = {
      ...server,
      entry: {
        ...server.entry,
        failureDomain,
        softwareVersion,
        slots,
        address: id,
        startedAtMs: 1 + nowMs,
      },
    };
  }
}

/** One start of a gateway. */
export class SimulatedGateway {
  readonly id: string;
  /** Address for callers. */
  readonly address: string;
  readonly catalog = new Catalog();
  readonly gateway: Gateway;
  readonly phaseMs: number;
  isRunning = true;
  deliver: (state: GossipState) => void = () => undefined;

  constructor(index: number, incarnation: number, phaseMs: number, fleet: ServingFleet) {
    this.id = `edge-${index}`;
    this.address = this.id;
    this.phaseMs = phaseMs;
    const getNowMs = () => fleet.nowMs;
    const [ip] = getAddress(index).split(':');
    const channelTraffic = {sentDatagrams: 0, sentBytes: 0, receivedDatagrams: 0, receivedBytes: 0};
    this.gateway = new Gateway({
      settings: createSettings({
        id: this.id,
        incarnation: WALL_START_MS + incarnation,
        ip,
        trafficAddress: this.address,
        gossipPort: 7_600,
        failureDomain: `domain-${index % fleet.options.failureDomains}`,
        gossipSeeds: [0, 1, 2].map(getAddress),
      }),
      catalog: this.catalog,
      transport: {
        send: (call, handler) => fleet.send(this.id, call, handler),
        hasStopped: async ({entry}) => fleet.servers.get(entry.id)?.isUp !== true,
        canConnect: ({entry}) => fleet.probe(this.id, entry.id),
        closeIdleConnections: ignore,
      },
      peerTransport: {send: (call, handler) => fleet.forward(call, handler)},
      dutyCalls: {reportUsage: async () => 'done', orderServers: async () => 'done'},
      dutyLog: fleet.store,
      rolloutLog: fleet.store,
      events: silentEvents,
      metrics: new GatewayMetrics(),
      createChannel: onState => {
        this.deliver = onState;
        return {
          traffic: channelTraffic,
          open: async () => undefined,
          close: () => undefined,
          send: (state, addresses) => fleet.transmit(encodeGossip(state), addresses),
        };
      },
      getNowMs,
      getAwareNowMs: getNowMs,
      getWallMs: () => WALL_START_MS + fleet.nowMs,
      random: fleet.random,
    });
  }
}

/** A fleet of gateways, backend servers, and the network between the gateways. */
export class ServingFleet {
  nowMs = 0;
  readonly options: ServingFleetOptions;
  readonly random: () => number;
  readonly gateways: SimulatedGateway[] = [];
  readonly servers = new Map<string, SimulatedServer>();
  readonly results: CallerResult[] = [];
  readonly received: ReceivedAttempt[] = [];
  /** Times of the crashes by requests. */
  readonly crashesAtMs: number[] = [];
  readonly store: SimulatedStore;
  /** Changes what a server does with an attempt; by default it answers. */
  /** Gateways whose links to all servers are lost, and what connections do then. */
  readonly cutGatewayIds = new Map<string, 'silent' | 'refused'>();
  behave: (server: SimulatedServer, behaviour: ServerBehaviour) => ServerBehaviour = (
    _server,
    behaviour,
  ) => behaviour;
  private readonly byAddress = new Map<string, SimulatedGateway>();
  private readonly scheduled = new Map<number, (() => void)[]>();
  private inFlight: {readonly bytes: Uint8Array; readonly address: string}[] = [];
  private requestCount = 0;
  private readonly openRequests: OpenRequest[] = [];

  constructor(options: ServingFleetOptions) {
    this.options = options;
    this.random = createSeededRandom(options.seed);
    this.store = new SimulatedStore(options.hasStore !== true);
    for (let index = 0; index < options.serverCount; index += 1) {
      this.addServer(`i-${index}`, `domain-${index % options.failureDomains}`);
    }
    for (let index = 0; index < options.gatewayCount; index += 1) this.startGateway(index, 1);
  }

  /** Starts a gateway; a running one with the same index has been killed. */
  startGateway(index: number, incarnation: number): SimulatedGateway {
    const phaseMs = Math.floor((this.random() * BROADCAST_INTERVAL_MS) / STEP_MS) * STEP_MS;
    const gateway = new SimulatedGateway(index, incarnation, phaseMs, this);
    gateway.catalog.applyConfiguration({
      version: 1,
      routes: [
        {...ROUTE, kind: 'stream', isPublic: true, timeoutMs: DEADLINE_MS, ...this.options.route},
      ],
      services: new Map([['app', SERVICE]]),
      workspaces: [],
      limits: LIMITS,
    });
    for (const {known, isUp} of this.servers.values()) {
      if (isUp) gateway.catalog.servers.applyEntry(known.entry, this.nowMs);
    }
    this.markCurrent(gateway);
    this.gateways[index] = gateway;
    this.byAddress.set(getAddress(index), gateway);
    return gateway;
  }

  /** Sends a request to a gateway. */
  request(gateway: SimulatedGateway, fields: Partial<ServingRequest>): CallerResult {
    this.requestCount += 1;
    const request = {
      ...REQUEST,
      id: `q${this.requestCount}`,
      path: `/a/${this.requestCount}`,
      deadlineMs: undefined,
      receivedAtMs: this.nowMs,
      ...fields,
    };
    const result: CallerResult = {request, sentAtMs: this.nowMs, outcome: 'open'};
    this.results.push(result);
    const open = gateway.gateway.accept(request, {
      start: status => (result.status = status),
      write: () => undefined,
      isFull: false,
      onceDrained: () => undefined,
      end: () => (result.outcome = 'answered'),
      abortResponse: () => (result.outcome = 'aborted'),
      refuse: refusal => (result.outcome = refusal),
    });
    this.openRequests.push(open);
    return result;
  }

  /** The callers of all open requests disconnect, so that no timer of a run is left. */
  abandonAll(): void {
    for (const open of this.openRequests.splice(0)) open.abandon();
  }

  /**
   * Advances the time.
   * @param durationMs - Time to simulate.
   * @param onStep - Called in each step of 10 ms.
   */
  async run(durationMs: number, onStep: () => void = () => undefined): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      onStep();
      this.deliverDatagrams();
      this.runScheduled();
      for (const gateway of this.gateways) {
        if (!gateway.isRunning) continue;
        if (this.nowMs % EXAMINE_INTERVAL_MS === 0) gateway.gateway.examineLinks();
        if (this.nowMs % BROADCAST_INTERVAL_MS !== gateway.phaseMs) continue;
        this.markCurrent(gateway);
        gateway.gateway.broadcastState();
        if (this.options.hasStore) {
          gateway.gateway.runDuties();
          gateway.gateway.decideRollouts();
        }
      }
      for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await undefined;
    }
  }

  /** Runs until all requests have ended, so that none of their timers is left. */
  async finish(): Promise<void> {
    await this.run(
      2 * ((this.options.prefillMs ?? PREFILL_MS) + (this.options.responseMs ?? RESPONSE_MS)) +
        RESTART_MS,
    );
  }

  /** Ends a server; the attempts that run there are lost. It is back some seconds later, as another start. */
  crashServer(server: SimulatedServer): void {
    if (!server.isUp) return;
    server.isUp = false;
    for (const attempt of server.running) this.loseAttempt(server, attempt);
    const {id, failureDomain, softwareVersion} = server.known.entry;
    this.schedule(RESTART_MS, () => this.addServer(`${id}+`, failureDomain, softwareVersion));
    this.schedule(EXPIRY_MS, () => {
      for (const {catalog} of this.gateways) catalog.servers.removeServer(id, this.nowMs);
    });
  }

  /** Receives an attempt of a gateway. */
  send(gatewayId: string, call: BackendCall, handler: BackendResponseHandler): BackendAttempt {
    const cut = this.cutGatewayIds.get(gatewayId);
    const server = cut ? undefined : this.servers.get(call.server.entry.id);
    const attempt: RunningAttempt = {call, handler, isDone: false};
    const cancel = () => {
      attempt.isDone = true;
      server?.running.delete(attempt);
    };
    if (cut === 'silent') return {cancel, pause: ignore, resume: ignore, reportStall: () => false};
    if (!server?.isUp) {
      this.schedule(STEP_MS, () => {
        if (!attempt.isDone) {
          handler.onFailure({kind: 'unreachable', isSent: false, message: 'ECONNREFUSED'});
        }
      });
      return {cancel, pause: ignore, resume: ignore, reportStall: () => false};
    }
    this.received.push({call, gatewayId, serverId: server.known.entry.id, atMs: this.nowMs});
    server.running.add(attempt);
    const behaviour = this.behave(server, {
      prefillMs: this.options.prefillMs ?? PREFILL_MS,
      head: server.head,
    });
    this.schedule(behaviour.prefillMs, () =>
      this.beginResponse(server, gatewayId, attempt, behaviour),
    );
    return {cancel, pause: ignore, resume: ignore, reportStall: () => false};
  }

  /** Opens a connection of a gateway to a server, and closes it. */
  probe(gatewayId: string, serverId: string): Promise<boolean> {
    const cut = this.cutGatewayIds.get(gatewayId);
    const isReached = cut === undefined && this.servers.get(serverId)?.isUp === true;
    const delayMs = cut === 'silent' ? PROBE_TIMEOUT_MS : STEP_MS;
    return new Promise(resolve => this.schedule(delayMs, () => resolve(isReached)));
  }

  /** Passes a request of one gateway on to another one. */
  forward({request, peer, deadlineMs}: PeerCall, handler: BackendResponseHandler): BackendAttempt {
    const gateway = this.gateways.find(({id}) => id === peer.id && this.isRunning(id));
    const attempt = {isDone: false};
    const report = (action: () => void) => {
      if (!attempt.isDone) action();
    };
    const cancel = () => (attempt.isDone = true);
    if (!gateway) {
      const failure = {kind: 'unreachable', isSent: false, message: 'ECONNREFUSED'} as const;
      this.schedule(STEP_MS, () => report(() => handler.onFailure(failure)));
      return {cancel, pause: ignore, resume: ignore, reportStall: () => false};
    }
    const forwarded = {...request, isForwarded: true, deadlineMs, receivedAtMs: this.nowMs};
    const open = gateway.gateway.accept(forwarded, {
      start: (status, headers) => report(() => handler.onHead({...SUCCESS, status, headers})),
      write: chunk => report(() => handler.onData(chunk)),
      isFull: false,
      onceDrained: ignore,
      end: () => report(() => handler.onEnd()),
      abortResponse: () =>
        report(() => handler.onFailure({kind: 'broken', isSent: true, message: 'closed'})),
      refuse: ({isNotRun}) =>
        report(() => {
          const status = isNotRun ? 503 : 502;
          handler.onHead({...SUCCESS, status, headers: {}, isSigned: false});
          handler.onEnd();
        }),
    });
    return {
      cancel: () => {
        attempt.isDone = true;
        open.abandon();
      },
      pause: ignore,
      resume: ignore,
      reportStall: () => false,
    };
  }

  private isRunning(gatewayId: string): boolean {
    return this.gateways.some(({id, isRunning}) => id === gatewayId && isRunning);
  }

  /** Queues an encoded datagram, which arrives in the next step unless it is lost. */
  transmit(bytes: Uint8Array, addresses: readonly string[]): void {
    for (const address of addresses) {
      if (this.random() >= this.options.lossShare) this.inFlight.push({bytes, address});
    }
  }

  private beginResponse(
    server: SimulatedServer,
    gatewayId: string,
    attempt: RunningAttempt,
    {head}: ServerBehaviour,
  ): void {
    if (attempt.isDone || this.cutGatewayIds.has(gatewayId)) return;
    const {request} = attempt.call;
    if (request.promptParts.some(({id}) => id === DEADLY_PART)) {
      this.crashesAtMs.push(this.nowMs);
      return this.crashServer(server);
    }
    attempt.handler.onHead(head);
    if (head.isNotRun) {
      attempt.isDone = true;
      server.running.delete(attempt);
      attempt.handler.onEnd();
      return;
    }
    attempt.handler.onData(Buffer.from('id: 1\ndata: x\n\n'));
    this.schedule(this.options.responseMs ?? RESPONSE_MS, () => {
      if (attempt.isDone || this.cutGatewayIds.has(gatewayId)) return;
      attempt.isDone = true;
      server.running.delete(attempt);
      attempt.handler.onEnd();
    });
  }

  private loseAttempt(server: SimulatedServer, attempt: RunningAttempt): void {
    attempt.isDone = true;
    server.running.delete(attempt);
    attempt.handler.onFailure({kind: 'broken', isSent: true, message: 'other side closed'});
  }

  /** Starts a server, which is registered at once. */
  addServer(id: string, failureDomain: string, softwareVersion = 'v1'): void {
    const server = new SimulatedServer(
      id,
      failureDomain,
      softwareVersion,
      this.nowMs,
      this.options.slots ?? SLOTS,
    );
    this.servers.set(id, server);
    for (const {catalog} of this.gateways) {
      catalog.servers.applyEntry(server.known.entry, this.nowMs);
    }
  }

  private markCurrent({catalog, gateway}: SimulatedGateway): void {
    gateway.logReadCoordinator.recordRead('operator', {era: 0, offset: 1}, this.nowMs);
    catalog.markRegistrationsCurrent(this.nowMs);
  }

  private schedule(delayMs: number, action: () => void): void {
    const atMs = this.nowMs + Math.max(STEP_MS, Math.round(delayMs / STEP_MS) * STEP_MS);
    this.scheduled.set(atMs, [...(this.scheduled.get(atMs) ?? []), action]);
  }

  private runScheduled(): void {
    const due = this.scheduled.get(this.nowMs) ?? [];
    this.scheduled.delete(this.nowMs);
    for (const action of due) action();
  }

  private deliverDatagrams(): void {
    const arriving = this.inFlight;
    this.inFlight = [];
    for (const {bytes, address} of arriving) {
      const recipient = this.byAddress.get(address);
      const state = decodeGossip(bytes);
      if (recipient?.isRunning && state) recipient.deliver(state);
    }
  }
}

function getAddress(index: number): string {
  return `10.${1 + Math.floor(index / 200)}.0.${1 + (index % 200)}:7600`;
}
