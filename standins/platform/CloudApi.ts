/** Stand-in of the cloud API: starts, stops, prices and reclaim notices. */
import {request} from 'undici';
import {z} from 'zod';
import type {Instance} from '../../src/blackboard/index.js';
import {StandinServer, type Exchange} from '../http/index.js';
import type {InstanceRegistry} from './InstanceRegistry.js';

/** What a start asks for. */
export const startRequestSchema = z.strictObject({
  clientToken: z.string().min(1),
  machineClass: z.string(),
  failureDomain: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
  role: z.literal('backend'),
  service: z.string(),
  version: z.string(),
});

/** A start that was asked for. */
export type StartRequest = z.infer<typeof startRequestSchema>;

/** A backend server that the cloud started. */
export interface StartedBackend {
  readonly port: number;
  stop(): Promise<void>;
}

/** Price of an instance. */
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
  /** Time from a start until the instance is live. */
  readonly startDelayMs: number;
  /** Runs a backend server. */
  readonly startBackend: (instanceId: string, start: StartRequest) => Promise<StartedBackend>;
  readonly random: () => number;
}

interface StartEntry extends StartRequest {
  readonly instanceId: string;
  readonly atMs: number;
}

const noticeSchema = z.strictObject({
  /** Instances to reclaim, beside those of the failure domain. */
  instanceIds: z.array(z.string()).default([]),
  failureDomain: z.string().optional(),
  graceMs: z.number().int().min(0),
});

const MAX_WAIT_MS = 60_000;

/** Keeps instances in the registry and runs those that it starts itself. */
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

  /** Listens. */
  async start(): Promise<void> {
    await this.server.start();
  }

  /** Stops, with the backend servers that it started. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearTimeout(timer);
    await Promise.all([...this.backends.values()].map(backend => backend.stop()));
    await this.server.stop();
  }

  /** Returns the port it listens on. */
  getPort(): number {
    return this.server.getPort();
  }

  private async startInstance(exchange: Exchange): Promise<void> {
    const start = startRequestSchema.parse(await exchange.readJson());
    const earlier = this.starts.get(start.clientToken);
    if (earlier) {
      exchange.sendJson(201, {instanceId: earlier.instanceId});
      return;
    }
    if (this.isRefused(start)) {
      this.refusedStarts.push(start);
      exchange.sendJson(409, {error: 'no-capacity'});
      return;
    }
    const instanceId = `i-${start.service}-${this.starts.size + 1}`;
    this.starts.set(start.clientToken, {...start, instanceId, atMs: Date.now()});
    this.runAfter(this.options.startDelayMs, () => this.runBackend(instanceId, start));
    exchange.sendJson(201, {instanceId});
  }

  private isRefused(start: StartRequest): boolean {
    const {refuseStartsPercent, refuseStarts} = this.server.getFaults();
    const hasNoCapacity = refuseStarts.some(
      ({failureDomain, machineClass, market}) =>
        (failureDomain ?? start.failureDomain) === start.failureDomain &&
        (machineClass ?? start.machineClass) === start.machineClass &&
        (market ?? start.market) === start.market,
    );
    return hasNoCapacity || this.server.happens(refuseStartsPercent);
  }

  private async runBackend(instanceId: string, start: StartRequest): Promise<void> {
    this.backends.set(instanceId, await this.options.startBackend(instanceId, start));
  }

  private async stopInstance(exchange: Exchange, instanceId: string): Promise<void> {
    this.stops.push({instanceId, atMs: Date.now()});
    await this.takeAway(instanceId);
    exchange.sendJson(200, {});
  }

  private async sendNotices(exchange: Exchange): Promise<void> {
    const from = exchange.getNumber('from', 0);
    const waitMs = Math.min(exchange.getNumber('waitMs', 0), MAX_WAIT_MS);
    await this.options.registry.waitForNotice(from, waitMs);
    const notices = this.options.registry.getNotices(from);
    exchange.sendJson(200, {notices, nextSequence: from + notices.length});
  }

  private async addNotices(exchange: Exchange): Promise<void> {
    const {instanceIds, failureDomain, graceMs} = noticeSchema.parse(await exchange.readJson());
    const nowMs = Date.now();
    const leavingAtMs = nowMs + graceMs;
    const leaving = this.options.registry
      .getInstances(nowMs)
      .filter(({state}) => state === 'live')
      .filter(
        item => item.failureDomain === failureDomain || instanceIds.includes(item.instanceId),
      );
    for (const instance of leaving) this.announce(instance, leavingAtMs, nowMs);
    exchange.sendJson(200, {instanceIds: leaving.map(({instanceId}) => instanceId), leavingAtMs});
  }

  private announce(instance: Instance, leavingAtMs: number, nowMs: number): void {
    this.options.registry.addNotice(instance.instanceId, leavingAtMs, nowMs);
    this.runAfter(leavingAtMs - nowMs, () => this.takeAway(instance.instanceId));
    if (instance.role === 'backend') void tellBackend(instance, leavingAtMs);
  }

  private async takeAway(instanceId: string): Promise<void> {
    const instance = this.options.registry.getInstance(instanceId);
    this.options.registry.removeInstance(instanceId, Date.now());
    const backend = this.backends.get(instanceId);
    this.backends.delete(instanceId);
    await backend?.stop();
    if (!backend && instance?.role === 'backend') void tellBackend(instance, Date.now());
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

/** A stand-in of a backend server exits by itself when its instance is taken away. */
async function tellBackend({address, port}: Instance, leavingAtMs: number): Promise<void> {
  try {
    const {body} = await request(`http://${address}:${port}/standin/notice`, {
      method: 'POST',
      body: JSON.stringify({leavingAtMs}),
    });
    await body.dump();
  } catch {
    // A backend server that is gone already needs no notice.
  }
}
