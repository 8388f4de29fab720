/** Simulates a fleet over a seeded day in virtual time: starts, weight loads, reclaims, refused starts and cost. */
import type {Instance} from '../../../src/blackboard/index.js';
import type {ReclaimHistory, RefusedStart} from '../../../src/controllers/capacity/index.js';
import {sumPrices} from '../../../src/load/index.js';
import {drawDayLoad, getExpectedFraction, SPAN_MS} from './DayLoad.js';
import type {FleetPolicy} from './FleetPolicy.js';
import {SeededMarket, type MarketPlace, type ReclaimWave} from './SeededMarket.js';

/** Options of a `FleetModel`. */
export interface FleetDayOptions {
  readonly seed: number;
  readonly policy: FleetPolicy;
  /** Requests per second that one ready server sustains at the latency target. */
  readonly requestsPerSecondPerServer: number;
  readonly peakRequestsPerSecond: number;
}

/** A span of `SPAN_MS` with constant load. */
export interface FleetSpan {
  readonly atMs: number;
  readonly costUsd: number;
  readonly requests: number;
  readonly readyServers: number;
  /** Whether the ready servers sustained the load at the latency target. */
  readonly isAtTarget: boolean;
}

/** Result of a fleet's day. */
export interface FleetDay {
  readonly policy: string;
  readonly seed: number;
  readonly spans: readonly FleetSpan[];
  readonly reclaimedServers: number;
  readonly refusedStarts: number;
}

interface FleetServer {
  readonly instance: Instance;
  /** Virtual time from which the platform lists the server. */
  readonly listedAtMs: number;
  readonly readyAtMs: number;
  readonly stopsAtMs: number;
}

const BOOT_MS = 90_000;
/** Time of one weight load; the weight store serves loads one after another. */
const LOAD_MS = 60_000;
const NOTICE_MS = 30_000;
const DRAIN_MS = 60_000;
const MS_PER_HOUR = 3_600_000;
const MS_PER_SECOND = 1_000;
/** How far ahead a target that follows the load looks for the highest expected load. */
const FORECAST_MS = MS_PER_HOUR;
const FORECAST_STEP_MS = 600_000;
const FORECAST_HEADROOM_FACTOR = 1.1;

/** Runs one fleet policy through one day. */
export class FleetModel {
  private readonly options: FleetDayOptions;
  private readonly market: SeededMarket;
  private servers: readonly FleetServer[] = [];
  private readonly reclaimHistories = new Map<string, ReclaimHistory>();
  private readonly refusedStartsByOffer = new Map<string, RefusedStart>();
  private loadsEndAtMs = 0;
  private startedServers = 0;
  private reclaimedServers = 0;
  private refusedStarts = 0;

  constructor(options: FleetDayOptions) {
    this.options = options;
    this.market = new SeededMarket(options.seed);
  }

  /** Runs the day; the servers of the first decision are ready at its start. */
  run(): FleetDay {
    const {seed, policy} = this.options;
    const parts = drawDayLoad(seed);
    this.applyPolicy(0);
    this.servers = this.servers.map(server => ({...server, listedAtMs: 0, readyAtMs: 0}));
    this.loadsEndAtMs = 0;
    const spans = parts.map((part, index) => this.runSpan(index * SPAN_MS, part));
    const {reclaimedServers, refusedStarts} = this;
    return {policy: policy.name, seed, spans, reclaimedServers, refusedStarts};
  }

  private runSpan(atMs: number, part: number): FleetSpan {
    this.servers = this.servers.filter(({stopsAtMs}) => stopsAtMs > atMs);
    for (const wave of this.market.getWaves()) {
      if (wave.atMs >= atMs && wave.atMs < atMs + SPAN_MS) this.reclaimPool(wave, atMs);
    }
    this.applyPolicy(atMs);
    this.addInstanceHours();
    const {requestsPerSecondPerServer, peakRequestsPerSecond} = this.options;
    const ready = this.servers.filter(
      ({instance, readyAtMs}) => instance.state === 'live' && readyAtMs <= atMs,
    );
    const ratePerSecond = part * peakRequestsPerSecond;
    const prices = this.market.getPrices(atMs);
    const usdPerHour = sumPrices(
      this.getInstances(() => true),
      prices,
    );
    return {
      atMs,
      costUsd: (usdPerHour * SPAN_MS) / MS_PER_HOUR,
      requests: (ratePerSecond * SPAN_MS) / MS_PER_SECOND,
      readyServers: ready.length,
      isAtTarget: ratePerSecond <= ready.length * requestsPerSecondPerServer,
    };
  }

  private applyPolicy(nowMs: number): void {
    const {starts, drains} = this.options.policy.decide(
      {
        instances: this.getInstances(({listedAtMs}) => listedAtMs <= nowMs),
        pendingInstances: this.getInstances(({listedAtMs}) => listedAtMs > nowMs).map(
          ({instanceId, failureDomain}) => ({
            instanceId,
            failureDomain,
            service: 'guidance',
            version: 'v1',
          }),
        ),
        drainingIds: this.getDrainingIds(),
        loadingIds: this.servers
          .filter(({readyAtMs}) => readyAtMs > nowMs)
          .map(({instance}) => instance.instanceId),
        market: {
          prices: this.market.getPrices(nowMs),
          priceLimits: [],
          reclaims: [...this.reclaimHistories.values()],
          refusedStarts: [...this.refusedStartsByOffer.values()],
        },
        targetReplicas: this.getTargetReplicas(nowMs),
      },
      nowMs,
    );
    for (const place of starts) this.startServer(place, nowMs);
    this.servers = this.servers.map(server =>
      drains.includes(server.instance.instanceId)
        ? {...server, stopsAtMs: Math.min(server.stopsAtMs, nowMs + DRAIN_MS)}
        : server,
    );
  }

  private getTargetReplicas(nowMs: number): number {
    const {policy, peakRequestsPerSecond, requestsPerSecondPerServer} = this.options;
    const peakReplicas = Math.ceil(peakRequestsPerSecond / requestsPerSecondPerServer);
    if (!policy.followsLoad) return peakReplicas;
    const hourMs = nowMs - (nowMs % MS_PER_HOUR);
    let part = 0;
    for (let aheadMs = 0; aheadMs <= FORECAST_MS + MS_PER_HOUR; aheadMs += FORECAST_STEP_MS) {
      part = Math.max(part, getExpectedFraction(hourMs + aheadMs));
    }
    return Math.min(peakReplicas, Math.ceil(peakReplicas * part * FORECAST_HEADROOM_FACTOR));
  }

  private startServer(place: MarketPlace, nowMs: number): void {
    const {failureDomain, machineClass, market} = place;
    const offer = {failureDomain, machineClass, market};
    const key = Object.values(offer).join(' ');
    if (this.market.isRefused(offer, nowMs)) {
      const refusals = (this.refusedStartsByOffer.get(key)?.refusals ?? 0) + 1;
      this.refusedStartsByOffer.set(key, {...offer, refusals, lastAtMs: nowMs});
      this.refusedStarts += 1;
      return;
    }
    this.refusedStartsByOffer.delete(key);
    this.startedServers += 1;
    const instance: Instance = {
      ...offer,
      instanceId: `server-${this.startedServers}`,
      role: 'backend',
      address: '127.0.0.1',
      port: 1,
      state: 'live',
      service: 'guidance',
      version: 'v1',
    };
    const listedAtMs = nowMs + BOOT_MS;
    this.loadsEndAtMs = Math.max(this.loadsEndAtMs, listedAtMs) + LOAD_MS;
    const server = {instance, listedAtMs, readyAtMs: this.loadsEndAtMs, stopsAtMs: Infinity};
    this.servers = [...this.servers, server];
  }

  private reclaimPool({failureDomain, machineClass}: ReclaimWave, nowMs: number): void {
    const isHit = ({instance}: FleetServer) =>
      instance.state === 'live' &&
      instance.market === 'reclaimable' &&
      instance.failureDomain === failureDomain &&
      instance.machineClass === machineClass;
    const hits = this.servers.filter(isHit).length;
    this.reclaimedServers += hits;
    this.addHistory(failureDomain, machineClass, hits, 0);
    this.servers = this.servers.map(server =>
      isHit(server)
        ? {
            ...server,
            instance: {...server.instance, state: 'leaving' as const},
            stopsAtMs: Math.min(server.stopsAtMs, nowMs + NOTICE_MS),
          }
        : server,
    );
  }

  private addInstanceHours(): void {
    for (const {instance} of this.servers) {
      if (instance.market === 'on-demand') continue;
      this.addHistory(instance.failureDomain, instance.machineClass, 0, SPAN_MS / MS_PER_HOUR);
    }
  }

  private addHistory(
    failureDomain: string,
    machineClass: string,
    reclaims: number,
    instanceHours: number,
  ): void {
    const key = `${failureDomain} ${machineClass}`;
    const known = this.reclaimHistories.get(key);
    this.reclaimHistories.set(key, {
      failureDomain,
      machineClass,
      reclaims: (known?.reclaims ?? 0) + reclaims,
      instanceHours: (known?.instanceHours ?? 0) + instanceHours,
    });
  }

  private getInstances(isMeant: (server: FleetServer) => boolean): readonly Instance[] {
    return this.servers.filter(isMeant).map(({instance}) => instance);
  }

  private getDrainingIds(): readonly string[] {
    return this.servers
      .filter(({instance, stopsAtMs}) => instance.state === 'live' && stopsAtMs < Infinity)
      .map(({instance}) => instance.instanceId);
  }
}
