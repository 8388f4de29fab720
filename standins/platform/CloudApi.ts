/** Stand-in for the cloud API: starts and stops instances, lists prices, and publishes reclaim notices. */
import {request} from 'undici';
import {z} from 'zod';
import type {Instance} from '../../src/blackboard/index.js';
import {StandinServer, type Exchange} from '../http/index.js';
import type {InstanceRegistry} from './InstanceRegistry.js';

/** Body of `POST /v1/instances`. */
export const startRequestSchema = z.strictObject({
  clientToken: z.string().min(1),
  machineClass: z.string(),
  failureDomain: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
  role: z.literal('backend'),
  service: z.string(),
  version: z.string(),
});

/** Request to start an instance; `clientToken` makes it idempotent. */
export type StartRequest = z.infer<typeof startRequestSchema>;

/** Backend server started by the cloud API. */
export interface StartedBackend {
  readonly port: number;
  stop(): Promise<void>;
}

/** Price of an instance by failure domain, machine class and market. */
export interface Price {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly priceUsdPerHour: number;
}

/** Options of a `CloudApi`. */
export interface CloudApiOptions {
  readonly address: string;
  readonly port: number;
  readonly registry: InstanceRegistry;
  readonly prices: readonly Price[];
  /** Delay from a start request until the backend server is started. */
  readonly startDelayMs: number;
  /** Starts a backend server, which registers itself with the instance list. */
  readonly startBackend: (instanceId: string, start: StartRequest) => Promise<StartedBackend>;
  readonly random: () => number;
}

interface StartEntry extends StartRequest {
  readonly instanceId: string;
  readonly atMs: number;
}

const noticeSchema = z.strictObject({
  /** Instances to reclaim, in addition to those of the failure domain. */
  instanceIds: z.array(z.string()).default([]),
  failureDomain: z.string().optional(),
  graceMs: z.number().int().min(0),
});

const MAX_WAIT_MS = 60_000;

/** Serves the instances of the registry, and runs the backend servers that it was asked to start. */
export class CloudApi {
  private readonly options: CloudApiOptions;
  private readonly server: StandinServer;
  private readonly starts = new Map<string, StartEntry>();
  private readonly refusedStarts: StartRequest[] = [];
  private readonly stops: Array<{readonly instanceId: string; readonly atMs: number}> = [];
  private readonly backends = new Map<string, StartedBackend>();
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(options: CloudApiOptions) {
    this.options = options;
    const {registry} = options;
    const instances = /^\/v1\/instances$/;
    this.server = new StandinServer({
      ...options,
      getLedger: () => this.getLedger(),
      routes: [
        {
          method: 'POST',
          path: instances,
          hasEffect: true,
          handler: call => this.startInstance(call),
        },
        {
          method: 'GET',
          path: instances,
          handler: call => call.sendJson(200, {instances: registry.getInstances(Date.now())}),
        },
        {
          method: 'DELETE',
          path: /^\/v1\/instances\/([^/]+)$/,
          hasEffect: true,
          handler: (call, [instanceId]) => this.stopInstance(call, instanceId),
        },
        {method: 'GET', path: /^\/v1\/notices$/, handler: call => this.sendNotices(call)},
        {
          method: 'GET',
          path: /^\/v1\/prices$/,
          handler: call => call.sendJson(200, {prices: options.prices}),
        },
        {method: 'POST', path: /^\/standin\/notices$/, handler: call => this.addNotices(call)},
      ],
    });
  }

  /** Starts listening; rejects if the port is in use. */
  async start(): Promise<void> {
    await this.server.start();
  }

  /** Stops the API and all backend servers that it started. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearTimeout(timer);
    await Promise.all([...this.backends.values()].map(backend => backend.stop()));
    await this.server.stop();
  }

  /** Returns the port that it listens on; only valid after `start`. */
  getPort(): number {
    return this.server.getPort();
  }

  private async startInstance(exchange: Exchange): Promise<void> {
    const start = startRequestSchema.parse(await exchange.readJson());
    const existingStart = this.starts.get(start.clientToken);
    if (existingStart) {
      exchange.sendJson(201, {instanceId: existingStart.instanceId});
      return;
    }
    if (this.isRefused(start)) {
      this.refusedStarts.push(start);
      exchange.sendJson(409, {error: 'no-capacity'});
      return;
    }
    const instanceId = `i-${start.service}-${this.starts.size + 1}`;
    this.starts.set(start.clientToken, {...start, instanceId, atMs: Date.now()});
    this.runAfter(this.options.startDelayMs, () => this.launchBackend(instanceId, start));
    exchange.sendJson(201, {instanceId});
  }

  private isRefused(start: StartRequest): boolean {
    const {refuseStartsPercent, refuseStarts} = this.server.getFaults();
    const isOfferRefused = refuseStarts.some(
      ({failureDomain, machineClass, market}) =>
        (failureDomain ?? start.failureDomain) === start.failureDomain &&
        (machineClass ?? start.machineClass) === start.machineClass &&
        (market ?? start.market) === start.market,
    );
    return isOfferRefused || this.server.occursWithChance(refuseStartsPercent);
  }

  private async launchBackend(instanceId: string, start: StartRequest): Promise<void> {
    this.backends.set(instanceId, await this.options.startBackend(instanceId, start));
  }

  private async stopInstance(exchange: Exchange, instanceId: string): Promise<void> {
    this.stops.push({instanceId, atMs: Date.now()});
    await this.removeInstance(instanceId);
    exchange.sendJson(200, {});
  }

  private async sendNotices(exchange: Exchange): Promise<void> {
    const from = exchange.getQueryNumber('from', 0);
    const waitMs = Math.min(exchange.getQueryNumber('waitMs', 0), MAX_WAIT_MS);
    await this.options.registry.waitForNotice(from, waitMs);
    const notices = this.options.registry.getNotices(from);
    exchange.sendJson(200, {notices, nextSequence: from + notices.length});
  }

  private async addNotices(exchange: Exchange): Promise<void> {
    const {instanceIds, failureDomain, graceMs} = noticeSchema.parse(await exchange.readJson());
    const nowMs = Date.now();
    const leavingAtMs = nowMs + graceMs;
    const reclaimedInstances = this.options.registry
      .getInstances(nowMs)
      .filter(({state}) => state === 'live')
      .filter(
        item => item.failureDomain === failureDomain || instanceIds.includes(item.instanceId),
      );
    for (const instance of reclaimedInstances) this.announceReclaim(instance, leavingAtMs, nowMs);
    exchange.sendJson(200, {
      instanceIds: reclaimedInstances.map(({instanceId}) => instanceId),
      leavingAtMs,
    });
  }

  private announceReclaim(instance: Instance, leavingAtMs: number, nowMs: number): void {
    this.options.registry.addNotice(instance.instanceId, leavingAtMs, nowMs);
    this.runAfter(leavingAtMs - nowMs, () => this.removeInstance(instance.instanceId));
    if (instance.role === 'backend') void notifyBackend(instance, leavingAtMs);
  }

  private async removeInstance(instanceId: string): Promise<void> {
    const instance = this.options.registry.getInstance(instanceId);
    this.options.registry.removeInstance(instanceId, Date.now());
    const backend = this.backends.get(instanceId);
    this.backends.delete(instanceId);
    await backend?.stop();
    if (!backend && instance?.role === 'backend') void notifyBackend(instance, Date.now());
  }

  private runAfter(delayMs: number, run: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      void run();
    }, delayMs);
    this.timers.add(timer);
  }

  private getLedger(): unknown {
    return {
      starts: [...this.starts.values()],
      refusedStarts: this.refusedStarts,
      stops: this.stops,
      notices: this.options.registry.getNotices(0),
    };
  }
}

/** Sends a backend server in another process the time at which it must exit (Unix time in milliseconds). */
async function notifyBackend({address, port}: Instance, leavingAtMs: number): Promise<void> {
  try {
    const {body} = await request(`http://${address}:${port}/standin/notice`, {
      method: 'POST',
      body: JSON.stringify({leavingAtMs}),
    });
    await body.dump();
  } catch {
    // A backend server that has already stopped needs no notice.
  }
}
