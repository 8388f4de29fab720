/** Virtual-time simulation of many gateways that place requests on engines of uneven speed. */
import type {KnownServer} from '../../src/catalog/index.js';
import {
  ServerLoads,
  ServerSpeeds,
  choosePlacement,
  type PlacementTargets,
  type ServerLoad,
} from '../../src/controllers/placement/index.js';
import {createSeededRandom} from '../../src/utils/index.js';
import {SERVICE, createEngineServer} from './createEngineServer.js';
import {EngineModel, type ChunkOrder} from './EngineModel.js';
import {createRequest, type RequestKind, type SimulatedRequest} from './RequestMix.js';
import {SimulationResult} from './SimulationResult.js';

/** Options of a simulation. */
export interface SimulationOptions {
  /** `load`: placement by load alone, as for services without work factors. */
  readonly rule: 'load' | 'speed';
  readonly seed: number;
  readonly gateways: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly hasSharedPrefixes: boolean;
  readonly chunkOrder: ChunkOrder;
  readonly warmUpMs: number;
  readonly measuredMs: number;
  /** Returns the factor that an engine reports; by default the true one. */
  readonly report?: (serverId: string, factor: number) => number;
  /** Whether every gateway learns every report, not only those in its own responses. */
  readonly areReportsShared?: boolean;
}

interface GatewayModel {
  readonly loads: ServerLoads;
  readonly speeds: ServerSpeeds;
}

interface Snapshot {
  readonly takenAtMs: number;
  readonly totals: ReadonlyMap<number, ServerLoad>;
  readonly ownByGateway: readonly ReadonlyMap<number, ServerLoad>[];
}

const TICK_MS = 2;
const REPORT_INTERVAL_MS = 250;
/** Age at which a report reaches the other gateways; with the interval, reports in use are 300 ms old on average. */
const REPORT_DELAY_MS = 175;
/** Lasting work factors of the engines, in turn. */
const FACTORS = [0.7, 0.7, 1.0, 1.3, 1.75];
/** Requests of the last seconds aren't counted: the run ends before many of them get their first event. */
const UNCOUNTED_END_MS = 5_000;
const MS_PER_SECOND = 1_000;
const NO_LOAD: ServerLoad = {openRequests: 0, pendingPromptTokens: 0};
const SHORTEST_TARGET_MS = 500;
const PAUSE_TARGET_MS = 500;

/** Runs one simulation. */
export class PlacementSimulation {
  private readonly options: SimulationOptions;
  private readonly random: () => number;
  private readonly engines: readonly EngineModel[];
  private readonly enginesById: ReadonlyMap<string, EngineModel>;
  private readonly servers: readonly KnownServer[];
  private readonly gateways: readonly GatewayModel[];
  private readonly snapshots: Snapshot[] = [];
  readonly result = new SimulationResult();

  constructor(options: SimulationOptions) {
    this.options = options;
    const {seed, gateways, chunkOrder} = options;
    this.random = createSeededRandom(seed);
    const engineRandom = createSeededRandom(seed + 1);
    this.engines = Array.from({length: options.engines}, (_, index) => {
      const server = createEngineServer(`engine-${index}`);
      return new EngineModel(server, FACTORS[index % FACTORS.length], chunkOrder, engineRandom);
    });
    this.enginesById = new Map(this.engines.map(engine => [engine.server.entry.id, engine]));
    this.servers = this.engines.map(({server}) => server);
    this.gateways = Array.from({length: gateways}, () => ({
      loads: new ServerLoads(),
      speeds: new ServerSpeeds(id => this.enginesById.has(id)),
    }));
  }

  /** Runs to the end; call it once. */
  run(): SimulationResult {
    const {warmUpMs, measuredMs, requestsPerSecond} = this.options;
    let nextRequestMs = 0;
    let nextReportMs = 0;
    for (let nowMs = 0; nowMs < warmUpMs + measuredMs; nowMs += TICK_MS) {
      for (const engine of this.engines) engine.advance(nowMs, TICK_MS);
      if (nowMs >= nextReportMs) {
        nextReportMs += REPORT_INTERVAL_MS;
        this.takeSnapshot(nowMs);
        if (nowMs >= warmUpMs) this.result.addOpen(this.engines.map(engine => engine.openRequests));
      }
      this.deliverSnapshots(nowMs);
      while (nextRequestMs <= nowMs) {
        nextRequestMs -= (Math.log(1 - this.random()) * MS_PER_SECOND) / requestsPerSecond;
        this.place(createRequest(this.random, this.options.hasSharedPrefixes), nowMs);
      }
      if (nowMs === warmUpMs) this.result.startCounting(this.sumSharedTokens());
    }
    this.result.endCounting(this.sumSharedTokens());
    return this.result;
  }

  private place(request: SimulatedRequest, nowMs: number): void {
    const {rule, warmUpMs, measuredMs} = this.options;
    const gateway = this.gateways[Math.floor(this.random() * this.gateways.length)];
    const {loads, speeds} = gateway;
    const decision = choosePlacement(
      {
        servers: this.servers,
        getLoad: id => loads.getLoad(id, nowMs),
        getFailureRate: () => 0,
        getPauseMs: () => 0,
        isInBackoff: () => false,
        hasColdCapacity: () => true,
        hasLimitCapacity: () => true,
        speeds: rule === 'speed' ? speeds.getView(SERVICE, nowMs) : undefined,
      },
      {
        promptParts: request.promptParts,
        attemptedServerIds: new Set(),
        targets: getTargets(request.kind),
      },
      this.random,
    );
    if (decision.kind !== 'chosen') throw new Error('no server');
    const {server, uncachedTokens, expectedFirstEventMs: expectedMs, workFactor} = decision;
    const {id} = server.entry;
    loads.addRequest(id, uncachedTokens);
    const engine = this.enginesById.get(id);
    const isCounted = nowMs >= warmUpMs && nowMs < warmUpMs + measuredMs - UNCOUNTED_END_MS;
    const entry = isCounted ? this.result.addRequest(request, id) : undefined;
    engine?.add({
      promptParts: request.promptParts,
      events: request.events,
      onFirstEvent: firstMs => {
        const tookMs = firstMs - nowMs;
        if (entry) entry.firstEventMs = tookMs;
        loads.removePrompt(id, uncachedTokens);
        this.report(gateway, engine, firstMs);
        if (workFactor === undefined) return;
        const time = {promptTokens: uncachedTokens, expectedMs, workFactor, tookMs};
        speeds.addFirstEvent(server.entry, time, firstMs);
      },
      onEnd: endMs => {
        loads.removeRequest(id);
        speeds.addDuration(server.entry, endMs - nowMs, endMs);
      },
    });
  }

  private report(gateway: GatewayModel, engine: EngineModel, nowMs: number): void {
    const {report, areReportsShared} = this.options;
    const {entry} = engine.server;
    const factor = engine.getFactor(nowMs);
    const reported = report ? report(entry.id, factor) : factor;
    const receivers = areReportsShared ? this.gateways : [gateway];
    for (const {speeds} of receivers) speeds.addReport(entry, reported, nowMs);
  }

  private takeSnapshot(takenAtMs: number): void {
    const totals = new Map<number, {openRequests: number; pendingPromptTokens: number}>();
    const ownByGateway = this.gateways.map(({loads}) => loads.getOwnLoadsByKey());
    for (const own of ownByGateway) {
      for (const [key, {openRequests, pendingPromptTokens}] of own) {
        const total = totals.get(key) ?? {openRequests: 0, pendingPromptTokens: 0};
        total.openRequests += openRequests;
        total.pendingPromptTokens += pendingPromptTokens;
        totals.set(key, total);
      }
    }
    // The maps of a gateway hold objects that change later.
    const copies = ownByGateway.map(
      own => new Map([...own].map(([key, load]) => [key, {...load}])),
    );
    this.snapshots.push({takenAtMs, totals, ownByGateway: copies});
  }

  private deliverSnapshots(nowMs: number): void {
    const [oldest] = this.snapshots;
    if (!oldest || nowMs - oldest.takenAtMs < REPORT_DELAY_MS) return;
    this.snapshots.shift();
    for (const [index, {loads}] of this.gateways.entries()) {
      const own = oldest.ownByGateway[index];
      const others = [...oldest.totals].map(([key, total]): [number, ServerLoad] => {
        const {openRequests, pendingPromptTokens} = own.get(key) ?? NO_LOAD;
        return [
          key,
          {
            openRequests: total.openRequests - openRequests,
            pendingPromptTokens: total.pendingPromptTokens - pendingPromptTokens,
          },
        ];
      });
      loads.applyPeerReport('others', new Map(others), nowMs);
    }
  }

  private sumSharedTokens(): number {
    return this.engines.reduce((sum, engine) => sum + engine.sharedTokensPrefilled, 0);
  }
}

function getTargets({targetMs}: RequestKind): PlacementTargets {
  return {
    latencyTargetMs: targetMs,
    shortestTargetMs: SHORTEST_TARGET_MS,
    shortestPauseMs: PAUSE_TARGET_MS,
  };
}
