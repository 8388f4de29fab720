/** Stand-in for the weight store, whose total throughput is limited. */
import {z} from 'zod';
import {StandinServer, type Exchange} from '../http/index.js';

/** Options of a `WeightStore`. */
export interface WeightStoreOptions {
  readonly address: string;
  readonly port: number;
  /** Throughput shared by all loads. */
  readonly bytesPerSecond: number;
  /** Size of the weights of a version. */
  readonly versionBytes: number;
  readonly random: () => number;
}

interface Load {
  readonly loadId: string;
  readonly instanceId: string;
  readonly version: string;
  readonly fencingToken: number;
  readonly askedAtMs: number;
  readonly startsAtMs: number;
  readonly endsAtMs: number;
}

const loadSchema = z.strictObject({
  instanceId: z.string(),
  version: z.string(),
  fencingToken: z.number().int(),
});

const MS_PER_SECOND = 1_000;
const WHOLE_PERCENT = 100;

/** Simulates loads of weights, which run one at a time at the full throughput. */
export class WeightStore {
  private readonly options: WeightStoreOptions;
  private readonly server: StandinServer;
  private readonly loads: Load[] = [];

  constructor(options: WeightStoreOptions) {
    this.options = options;
    const {bytesPerSecond, versionBytes} = options;
    this.server = new StandinServer({
      ...options,
      getLedger: () => ({loads: this.loads}),
      routes: [
        {
          method: 'POST',
          path: /^\/v1\/loads$/,
          hasEffect: true,
          handler: exchange => this.startLoad(exchange),
        },
        {
          method: 'GET',
          path: /^\/v1\/loads\/([^/]+)$/,
          handler: (exchange, [loadId]) => this.sendLoad(exchange, loadId),
        },
        {
          method: 'GET',
          path: /^\/v1\/rate$/,
          handler: exchange => exchange.sendJson(200, {bytesPerSecond, versionBytes}),
        },
      ],
    });
  }

  /** Starts listening; rejects if the port is in use. */
  async start(): Promise<void> {
    await this.server.start();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await this.server.stop();
  }

  /** Returns the port that it listens on; only valid after `start`. */
  getPort(): number {
    return this.server.getPort();
  }

  private async startLoad(exchange: Exchange): Promise<void> {
    const loadRequest = loadSchema.parse(await exchange.readJson());
    const {bytesPerSecond, versionBytes} = this.options;
    const askedAtMs = Date.now();
    const startsAtMs = Math.max(askedAtMs, this.loads.at(-1)?.endsAtMs ?? 0);
    const endsAtMs = startsAtMs + (versionBytes / bytesPerSecond) * MS_PER_SECOND;
    const loadId = `load-${this.loads.length + 1}`;
    this.loads.push({...loadRequest, loadId, askedAtMs, startsAtMs, endsAtMs});
    exchange.sendJson(201, {loadId});
  }

  private sendLoad(exchange: Exchange, loadId: string): void {
    const load = this.loads.find(item => item.loadId === loadId);
    if (!load) {
      exchange.sendJson(404, {error: `unknown load ${loadId}`});
      return;
    }
    const nowMs = Date.now();
    const completedFraction = (nowMs - load.startsAtMs) / (load.endsAtMs - load.startsAtMs);
    const progressPercent = Math.min(Math.max(completedFraction, 0), 1) * WHOLE_PERCENT;
    exchange.sendJson(200, {state: getLoadState(load, nowMs), progressPercent});
  }
}

function getLoadState({startsAtMs, endsAtMs}: Load, nowMs: number): string {
  if (nowMs >= endsAtMs) return 'done';
  return nowMs >= startsAtMs ? 'running' : 'queued';
}
