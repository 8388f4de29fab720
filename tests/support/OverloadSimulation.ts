/** Gateways before overloaded servers in virtual time, with and without waiting requests at the gateways. */
import type {KnownServer} from '../../src/catalog/index.js';
import {
  ServiceQueue,
  type ServiceLoadView,
  type ServiceRequest,
} from '../../src/controllers/admission/index.js';
import {
  ServerLoads,
  choosePlacement,
  type ServerLoad,
} from '../../src/controllers/placement/index.js';
import {IndexedHeap, createSeededRandom} from '../../src/utils/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

/** A kind of requests; times are those at a server, without its queue. */
export interface SimulatedKind {
  readonly name: string;
  /** Relative number of its requests. */
  readonly weight: number;
  readonly firstEventMs: number;
  readonly totalMs: number;
  readonly latencyTargetMs: number;
  readonly timeoutMs: number;
}

/** Size and load of the simulated deployment. */
export interface OverloadOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly serverSlots: readonly number[];
  readonly kinds: readonly SimulatedKind[];
  /** Relative number of requests of each workspace. */
  readonly workspaceWeights: readonly number[];
  /** Offered load as a multiple of the slots. */
  readonly load: number;
  readonly durationMs: number;
  readonly hasQueue: boolean;
  /**
   * `sampled`, the default: at random in proportion to the free slots, and the server where a request has ended for the
   * one that takes its place. `scored`: the placement of the gateways, which doesn't know that others choose the same.
   */
  readonly placement?: 'sampled' | 'scored';
  /** Age of the reports of other gateways when they are replaced; 300 ms by default. */
  readonly reportAgeMs?: number;
}

/** What became of the requests that arrived in a period. */
export interface OverloadResult {
  readonly arrived: number;
  /** Answered with the first event before the target, and completely before the deadline. */
  readonly inTime: number;
  readonly refused: number;
  /** Share of the slots' time that was spent on requests that were answered in time. */
  readonly usefulShare: number;
  /** Share of the slots' time in which they were in use. */
  readonly usedShare: number;
  /** Refusals that weren't displacements, later than an eighth of the target after the arrival. */
  readonly lateRefusals: number;
  /** Share of its answers in time, relative to its even part or its demand, of the least-served workspace. */
  readonly leastWorkspace: number;
  /** Share of requests answered in time, of the least-served kind relative to the mean. */
  readonly leastKind: number;
  /** Requests that waited at a gateway. */
  readonly waited: number;
  /** Longest wait at a gateway of a started request. */
  readonly maxWaitMs: number;
  /** Most requests that were open at the servers at one time, relative to their slots. */
  readonly maxOpenShare: number;
}

interface Request {
  readonly id: string;
  readonly kind: SimulatedKind;
  readonly workspace: string;
  readonly gateway: Gateway;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly workFactor: number;
  startedAtMs: number | undefined;
  server: Server | undefined;
  runsSinceMs: number | undefined;
  firstEventAtMs: number | undefined;
  isEnded: boolean;
}

interface Server {
  readonly known: KnownServer;
  running: number;
  readonly waiting: Request[];
}

interface Gateway {
  readonly id: string;
  loads: ServerLoads;
  queue: ServiceQueue;
  waiting: Map<string, Request>;
  readonly open: Set<Request>;
  state: 'live' | 'frozen' | 'dead';
  /** Whether it exchanges reports with the others. */
  isCutOff: boolean;
}

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const GOSSIP_INTERVAL_MS = 250;
const POLL_MS = 20;
const SERVICE = 'app';
/** Work of a request varies by up to this share of the mean of its kind. */
const WORK_SPREAD = 0.6;
/** Share of its slots that a server counts as free at least. */
const MIN_FREE_SHARE = 0.02;
const MAX_WAITING = 500;
/** Time after which reports of a silent gateway are no longer counted as those of a member. */
const MEMBER_EXPIRY_MS = 8_000;
/** Time after which a silent gateway no longer shows that the fleet is heard; reports of load expire then too. */
const REPORT_EXPIRY_MS = 2_000;
/** Age of reports if the options set none. */
const DEFAULT_REPORT_AGE_MS = 300;
/** Share of the target after which a refusal counts as late. */
const LATE_REFUSAL_SHARE = 1 / 8;

/** One run; `at` schedules faults before `run` is called. */
export class OverloadSimulation {
  private readonly options: OverloadOptions;
  private readonly random: () => number;
  private readonly events = new IndexedHeap<Event>((a, b) =>
    a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs,
  );
  private nowMs = 0;
  private order = 0;
  private readonly servers: Server[] = [];
  private readonly gateways: Gateway[] = [];
  private readonly requests: Request[] = [];
  private readonly refusedAtMs = new Map<Request, number>();
  private readonly displaced = new Set<Request>();
  /** Periods in which requests used slots. */
  private readonly uses: {request: Request; sinceMs: number; untilMs: number}[] = [];
  private slotsMs: {sinceMs: number; slots: number}[] = [];
  private maxOpenShare = 0;
  private loadFactor = 1;
  private readonly lastHeardMs = new Map<string, number>();

  constructor(options: OverloadOptions) {
    this.options = options;
    this.random = createSeededRandom(options.seed);
    for (const slots of options.serverSlots) this.addServer(slots);
    for (let index = 0; index < options.gateways; index += 1) this.addGateway();
  }

  /** Schedules a change of the deployment. */
  at(atMs: number, change: () => void): void {
    this.schedule(atMs, change);
  }

  /** Adds a server, also during a run. */
  addServer(slots: number): void {
    const id = `s${this.servers.length}`;
    const known = createServer(id, SERVICE);
    const entry = {...known.entry, slots};
    this.servers.push({known: {...known, entry}, running: 0, waiting: []});
    this.recordSlots();
  }

  /** Adds a gateway, also during a run. */
  addGateway(): void {
    const gateway: Gateway = {
      id: `g${this.gateways.length}`,
      loads: new ServerLoads(),
      queue: this.createQueue(() => gateway),
      waiting: new Map(),
      open: new Set(),
      state: 'live',
      isCutOff: false,
    };
    this.gateways.push(gateway);
    this.schedule(this.nowMs + this.random() * GOSSIP_INTERVAL_MS, () => this.report(gateway));
    this.schedule(this.nowMs + this.random() * POLL_MS, () => this.poll(gateway));
  }

  /** Ends a gateway. Its requests end at their servers too, since its connections are closed. */
  kill(index: number): void {
    const gateway = this.gateways[index];
    gateway.state = 'dead';
    for (const request of gateway.open) this.endAtServer(request);
    for (const request of gateway.waiting.values()) request.isEnded = true;
    gateway.open.clear();
    gateway.waiting.clear();
  }

  /** Starts a gateway again that was killed. */
  restart(index: number): void {
    const gateway = this.gateways[index];
    gateway.loads = new ServerLoads();
    gateway.queue = this.createQueue(() => gateway);
    gateway.waiting = new Map();
    gateway.state = 'live';
  }

  /** Stops or resumes a gateway whose connections stay open. */
  setFrozen(index: number, isFrozen: boolean): void {
    this.gateways[index].state = isFrozen ? 'frozen' : 'live';
  }

  /** Interrupts or restores the exchange of reports between a gateway and all others. */
  setCutOff(index: number, isCutOff: boolean): void {
    this.gateways[index].isCutOff = isCutOff;
  }

  /** Changes the offered load. */
  setLoad(factor: number): void {
    this.loadFactor = factor;
  }

  /** Runs to the end. */
  run(): void {
    this.scheduleArrival();
    for (;;) {
      const event = this.events.peek();
      if (!event || event.atMs > this.options.durationMs) return;
      this.events.remove(event);
      this.nowMs = event.atMs;
      event.run();
    }
  }

  /** Returns the result of the requests that arrived in a period, and of the slots' use in it. */
  getResult(sinceMs: number, untilMs: number): OverloadResult {
    const arrived = this.requests.filter(
      ({arrivedAtMs}) => arrivedAtMs >= sinceMs && arrivedAtMs < untilMs,
    );
    const inTime = arrived.filter(isInTime);
    const refused = arrived.filter(request => this.refusedAtMs.has(request));
    const late = refused.filter(
      request =>
        !this.displaced.has(request) &&
        (this.refusedAtMs.get(request) ?? 0) - request.arrivedAtMs >
          request.kind.latencyTargetMs * LATE_REFUSAL_SHARE,
    );
    const waits = arrived
      .filter(({startedAtMs}) => startedAtMs !== undefined)
      .map(({startedAtMs = 0, arrivedAtMs}) => startedAtMs - arrivedAtMs);
    const capacityMs = this.getSlotsMs(sinceMs, untilMs);
    const getUsedMs = (isCounted: (request: Request) => boolean) =>
      this.uses
        .filter(({request}) => isCounted(request))
        .reduce(
          (sum, use) =>
            sum + Math.max(0, Math.min(use.untilMs, untilMs) - Math.max(use.sinceMs, sinceMs)),
          0,
        );
    return {
      arrived: arrived.length,
      inTime: inTime.length,
      refused: refused.length,
      usefulShare: getUsedMs(isInTime) / capacityMs,
      usedShare: getUsedMs(() => true) / capacityMs,
      lateRefusals: late.length,
      leastWorkspace: this.getLeastWorkspace(arrived),
      leastKind: this.getLeastKind(arrived, inTime.length / arrived.length),
      waited: waits.filter(waitMs => waitMs > 0).length,
      maxWaitMs: Math.max(0, ...waits),
      maxOpenShare: this.maxOpenShare,
    };
  }

  private getLeastKind(arrived: readonly Request[], meanShare: number): number {
    const shares = this.options.kinds.map(kind => {
      const own = arrived.filter(request => request.kind === kind);
      return own.filter(isInTime).length / own.length / meanShare;
    });
    return Math.min(...shares);
  }

  /** Compares with the max-min fair division of all answers in time. */
  private getLeastWorkspace(arrived: readonly Request[]): number {
    const demands = this.options.workspaceWeights.map(
      (unused, index) => arrived.filter(({workspace}) => workspace === `w${index}`).length,
    );
    const served = this.options.workspaceWeights.map(
      (unused, index) =>
        arrived.filter(request => request.workspace === `w${index}` && isInTime(request)).length,
    );
    let left = served.reduce((sum, count) => sum + count, 0);
    let remaining = demands.length;
    const parts = new Map<number, number>();
    for (const index of demands.keys()) parts.set(index, 0);
    for (const index of [...demands.keys()].sort((a, b) => demands[a] - demands[b])) {
      const part = Math.min(demands[index], left / remaining);
      parts.set(index, part);
      left -= part;
      remaining -= 1;
    }
    return Math.min(...served.map((count, index) => count / (parts.get(index) ?? 1)));
  }

  private createQueue(getGateway: () => Gateway): ServiceQueue {
    return new ServiceQueue({
      getView: nowMs => this.getView(getGateway(), nowMs),
      maxWaiting: MAX_WAITING,
      random: this.random,
    });
  }

  private getView(gateway: Gateway, nowMs: number): ServiceLoadView {
    const isHeard = (other: Gateway) =>
      nowMs - (this.lastHeardMs.get(`${gateway.id} ${other.id}`) ?? -Infinity) < MEMBER_EXPIRY_MS;
    const members = this.gateways.filter(other => other !== gateway && isHeard(other));
    let ownRequests = 0;
    for (const load of gateway.loads.getOwnLoadsByKey().values()) ownRequests += load.openRequests;
    let slots = 0;
    let total = 0;
    for (const {known} of this.servers) {
      slots += known.entry.slots;
      total += gateway.loads.getLoad(known.entry.id, nowMs).openRequests;
    }
    const isReported = members.some(
      other => nowMs - (this.lastHeardMs.get(`${gateway.id} ${other.id}`) ?? 0) < REPORT_EXPIRY_MS,
    );
    return {
      slots,
      ownRequests,
      peerRequests: total - ownRequests,
      gateways: members.length + 1,
      isFleetKnown: isReported,
    };
  }

  private report(gateway: Gateway): void {
    this.schedule(this.nowMs + GOSSIP_INTERVAL_MS, () => this.report(gateway));
    if (gateway.state !== 'live' || gateway.isCutOff) return;
    const loads: ReadonlyMap<number, ServerLoad> = new Map(
      [...gateway.loads.getOwnLoadsByKey()].map(([key, load]) => [key, {...load}]),
    );
    const delayMs = Math.max(
      0,
      (this.options.reportAgeMs ?? DEFAULT_REPORT_AGE_MS) - GOSSIP_INTERVAL_MS,
    );
    this.schedule(this.nowMs + delayMs, () => {
      for (const other of this.gateways) {
        if (other === gateway || other.state !== 'live' || other.isCutOff) continue;
        other.loads.applyPeerReport(gateway.id, loads, this.nowMs);
        this.lastHeardMs.set(`${other.id} ${gateway.id}`, this.nowMs);
      }
    });
  }

  private poll(gateway: Gateway): void {
    this.schedule(this.nowMs + POLL_MS, () => this.poll(gateway));
    if (gateway.state === 'live') this.startWaiting(gateway);
  }

  private scheduleArrival(): void {
    const {kinds, load} = this.options;
    const weight = kinds.reduce((sum, kind) => sum + kind.weight, 0);
    const meanMs = kinds.reduce((sum, kind) => sum + kind.totalMs * kind.weight, 0) / weight;
    const slots = this.servers.reduce((sum, {known}) => sum + known.entry.slots, 0);
    const intervalMs = meanMs / (slots * load * this.loadFactor);
    const delayMs = -Math.log(1 - this.random()) * intervalMs;
    this.schedule(this.nowMs + delayMs, () => {
      this.arrive();
      this.scheduleArrival();
    });
  }

  private arrive(): void {
    const live = this.gateways.filter(({state}) => state === 'live');
    if (live.length === 0) return;
    const gateway = live[Math.floor(this.random() * live.length)];
    const {kinds, workspaceWeights} = this.options;
    const kind = this.select(
      kinds,
      kinds.map(({weight}) => weight),
    );
    const workspace = this.select([...workspaceWeights.keys()], workspaceWeights);
    const request: Request = {
      id: String(this.requests.length),
      kind,
      workspace: `w${workspace}`,
      gateway,
      arrivedAtMs: this.nowMs,
      deadlineAtMs: this.nowMs + kind.timeoutMs,
      workFactor: 1 + (this.random() * 2 - 1) * WORK_SPREAD,
      startedAtMs: undefined,
      server: undefined,
      runsSinceMs: undefined,
      firstEventAtMs: undefined,
      isEnded: false,
    };
    this.requests.push(request);
    this.schedule(request.deadlineAtMs, () => this.end(request));
    if (!this.options.hasQueue) return this.start(request);
    const decision = gateway.queue.addRequest(toServiceRequest(request), this.nowMs);
    if (decision.kind === 'started') return this.start(request);
    if (decision.kind === 'refused') {
      this.refusedAtMs.set(request, this.nowMs);
      request.isEnded = true;
      return;
    }
    gateway.waiting.set(request.id, request);
    for (const id of decision.displacedRequestIds) {
      const displaced = gateway.waiting.get(id);
      if (!displaced) throw new Error(`${id} isn't waiting`);
      this.displaced.add(displaced);
      this.refuseWaiting(displaced);
    }
  }

  private refuseWaiting(request: Request): void {
    request.gateway.waiting.delete(request.id);
    this.refusedAtMs.set(request, this.nowMs);
    request.isEnded = true;
  }

  private startWaiting(gateway: Gateway, freed?: Server): void {
    if (!this.options.hasQueue) return;
    for (const id of gateway.queue.removeExpired(this.nowMs)) {
      const request = gateway.waiting.get(id);
      if (request) this.refuseWaiting(request);
    }
    for (const id of gateway.queue.startWaiting(this.nowMs)) {
      const request = gateway.waiting.get(id);
      if (!request) throw new Error(`${id} isn't waiting`);
      gateway.waiting.delete(id);
      this.start(request, freed);
      freed = undefined;
    }
  }

  private start(request: Request, freed?: Server): void {
    const {gateway} = request;
    const {loads} = gateway;
    const server = this.options.placement !== 'scored' && freed ? freed : this.choose(gateway);
    request.server = server;
    request.startedAtMs = this.nowMs;
    loads.addRequest(server.known.entry.id, 0);
    gateway.open.add(request);
    server.waiting.push(request);
    const open = this.servers.reduce(
      (sum, {running, waiting}) => sum + running + waiting.length,
      0,
    );
    this.maxOpenShare = Math.max(this.maxOpenShare, open / this.getSlots());
    this.runNext(server);
  }

  private choose({loads}: Gateway): Server {
    if (this.options.placement !== 'scored') {
      const weights = this.servers.map(({known: {entry}}) => {
        const free = entry.slots - loads.getLoad(entry.id, this.nowMs).openRequests;
        return Math.max(free, MIN_FREE_SHARE * entry.slots);
      });
      return this.select(this.servers, weights);
    }
    const decision = choosePlacement(
      {
        servers: this.servers.map(({known}) => known),
        getLoad: id => loads.getLoad(id, this.nowMs),
        getFailureRate: () => 0,
        getPauseMs: () => 0,
        isInBackoff: () => false,
        hasColdCapacity: () => true,
        hasLimitCapacity: () => true,
      },
      {promptParts: [], attemptedServerIds: new Set()},
      this.random,
    );
    if (decision.kind === 'none') throw new Error('no server');
    return this.servers.find(({known}) => known === decision.server) as Server;
  }

  private runNext(server: Server): void {
    while (server.running < server.known.entry.slots) {
      const request = server.waiting.shift();
      if (!request) return;
      server.running += 1;
      request.runsSinceMs = this.nowMs;
      const {kind, workFactor} = request;
      this.schedule(this.nowMs + kind.firstEventMs * workFactor, () => {
        if (!request.isEnded) request.firstEventAtMs = this.nowMs;
      });
      this.schedule(this.nowMs + kind.totalMs * workFactor, () => this.end(request));
    }
  }

  private end(request: Request): void {
    if (request.isEnded) return;
    const {gateway, server, startedAtMs, firstEventAtMs, kind} = request;
    if (gateway.state === 'frozen') {
      this.schedule(this.nowMs + POLL_MS, () => this.end(request));
      return;
    }
    if (!server || startedAtMs === undefined) {
      gateway.queue.removeWaiting(request.id);
      this.refuseWaiting(request);
      return;
    }
    const isAnswered = this.nowMs < request.deadlineAtMs;
    this.endAtServer(request);
    gateway.open.delete(request);
    gateway.loads.removeRequest(server.known.entry.id);
    gateway.queue.addEnd();
    if (isAnswered && firstEventAtMs !== undefined) {
      gateway.queue.addAnswer(kind.name, firstEventAtMs - startedAtMs, this.nowMs - startedAtMs);
    }
    this.startWaiting(gateway, server);
  }

  private endAtServer(request: Request): void {
    const {server, runsSinceMs} = request;
    request.isEnded = true;
    if (!server) return;
    if (runsSinceMs === undefined) {
      server.waiting.splice(server.waiting.indexOf(request), 1);
      return;
    }
    this.uses.push({request, sinceMs: runsSinceMs, untilMs: this.nowMs});
    server.running -= 1;
    this.runNext(server);
  }

  private getSlots(): number {
    return this.servers.reduce((sum, {known}) => sum + known.entry.slots, 0);
  }

  private recordSlots(): void {
    this.slotsMs.push({sinceMs: this.nowMs, slots: this.getSlots()});
  }

  private getSlotsMs(sinceMs: number, untilMs: number): number {
    return this.slotsMs.reduce((sum, {sinceMs: changedAtMs, slots}, index) => {
      const endMs = this.slotsMs[index + 1]?.sinceMs ?? Infinity;
      return sum + Math.max(0, Math.min(endMs, untilMs) - Math.max(changedAtMs, sinceMs)) * slots;
    }, 0);
  }

  private select<Item>(items: readonly Item[], weights: readonly number[]): Item {
    let left = this.random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, item] of items.entries()) {
      left -= weights[index];
      if (left < 0) return item;
    }
    return items[items.length - 1];
  }

  private schedule(atMs: number, run: () => void): void {
    this.order += 1;
    this.events.add({atMs, order: this.order, run});
  }
}

function isInTime({kind, arrivedAtMs, firstEventAtMs, isEnded}: Request): boolean {
  return (
    isEnded && firstEventAtMs !== undefined && firstEventAtMs - arrivedAtMs <= kind.latencyTargetMs
  );
}

function toServiceRequest(request: Request): ServiceRequest {
  const {id, workspace, kind, arrivedAtMs, deadlineAtMs} = request;
  return {
    requestId: id,
    workspace,
    kind: kind.name,
    priority: 0,
    receivedAtMs: arrivedAtMs,
    firstTryAtMs: arrivedAtMs,
    deadlineAtMs,
    latencyTargetMs: kind.latencyTargetMs,
  };
}
