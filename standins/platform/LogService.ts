/** Stand-in of the platform's append-only log service. */
import {z} from 'zod';
import {StandinServer, type Exchange} from '../http/index.js';

/** Options of a `LogService`. */
export interface LogServiceOptions {
  readonly address: string;
  readonly port: number;
  /** Appends that are taken in a second. */
  readonly maxAppendsPerSecond: number;
  /** Age at which a record is dropped. */
  readonly retentionMs: number;
  readonly random: () => number;
}

interface KeptRecord {
  readonly offset: number;
  readonly atMs: number;
  readonly payload: string;
}

interface Stream {
  readonly records: KeptRecord[];
  endOffset: number;
  readonly waiters: Set<() => void>;
}

const appendSchema = z.strictObject({payloads: z.array(z.string()).min(1)});
const RATE_WINDOW_MS = 1_000;
const MAX_READ_RECORDS = 1_000;
const MAX_WAIT_MS = 60_000;

/** Keeps streams in memory; offsets start at 0 and have no gaps. */
export class LogService {
  private readonly options: LogServiceOptions;
  private readonly server: StandinServer;
  private readonly streams = new Map<string, Stream>();
  private recentAppendsAtMs: number[] = [];
  private appends = 0;
  private refusedAppends = 0;

  constructor(options: LogServiceOptions) {
    this.options = options;
    const path = /^\/v1\/streams\/([^/]+)\/records$/;
    this.server = new StandinServer({
      ...options,
      getLedger: () => this.getLedger(),
      routes: [
        {
          method: 'POST',
          path,
          hasEffect: true,
          handler: (exchange, [name]) => this.append(exchange, name),
        },
        {method: 'GET', path, handler: (exchange, [name]) => this.read(exchange, name)},
      ],
    });
  }

  /** Listens. */
  async start(): Promise<void> {
    await this.server.start();
  }

  /** Stops. */
  async stop(): Promise<void> {
    await this.server.stop();
  }

  /** Returns the port it listens on. */
  getPort(): number {
    return this.server.getPort();
  }

  private async append(exchange: Exchange, name: string): Promise<void> {
    const {payloads} = appendSchema.parse(await exchange.readJson());
    const nowMs = Date.now();
    if (!this.takeAppend(nowMs)) {
      this.refusedAppends += 1;
      exchange.sendJson(429, {error: 'over the append rate'});
      return;
    }
    const stream = this.getStream(name);
    const firstOffset = stream.endOffset;
    for (const payload of payloads) {
      stream.records.push({offset: stream.endOffset++, atMs: nowMs, payload});
    }
    this.appends += 1;
    for (const wake of [...stream.waiters]) wake();
    exchange.sendJson(200, {firstOffset});
  }

  private async read(exchange: Exchange, name: string): Promise<void> {
    const stream = this.getStream(name);
    const from = exchange.getNumber('from', 0);
    const max = Math.min(exchange.getNumber('max', MAX_READ_RECORDS), MAX_READ_RECORDS);
    const waitMs = Math.min(exchange.getNumber('waitMs', 0), MAX_WAIT_MS);
    if (from >= stream.endOffset && waitMs > 0) await waitForRecord(stream, waitMs, exchange);
    if (this.server.getFaults().isFrozen) return;
    if (this.server.getFaults().hasOutage) {
      exchange.sendJson(503, {error: 'unavailable'});
      return;
    }
    this.dropOldRecords(stream, Date.now());
    const earliestOffset = stream.records[0]?.offset ?? stream.endOffset;
    const start = Math.max(from, earliestOffset) - earliestOffset;
    const records = stream.records.slice(start, start + max);
    const nextOffset = (records.at(-1)?.offset ?? Math.max(from, earliestOffset) - 1) + 1;
    exchange.sendJson(200, {records, nextOffset, earliestOffset, endOffset: stream.endOffset});
  }

  private takeAppend(nowMs: number): boolean {
    this.recentAppendsAtMs = this.recentAppendsAtMs.filter(atMs => atMs > nowMs - RATE_WINDOW_MS);
    if (this.recentAppendsAtMs.length >= this.options.maxAppendsPerSecond) return false;
    this.recentAppendsAtMs.push(nowMs);
    return true;
  }

  private dropOldRecords(stream: Stream, nowMs: number): void {
    const kept = stream.records.findIndex(({atMs}) => atMs > nowMs - this.options.retentionMs);
    stream.records.splice(0, kept === -1 ? stream.records.length : kept);
  }

  private getStream(name: string): Stream {
    const found = this.streams.get(name);
    if (found) return found;
    const created: Stream = {records: [], endOffset: 0, waiters: new Set()};
    this.streams.set(name, created);
    return created;
  }

  private getLedger(): unknown {
    const streams = [...this.streams].map(([name, {records, endOffset}]) => ({
      name,
      endOffset,
      records,
    }));
    return {appends: this.appends, refusedAppends: this.refusedAppends, streams};
  }
}

function waitForRecord(stream: Stream, waitMs: number, exchange: Exchange): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      stream.waiters.delete(finish);
      resolve();
    };
    const timer = setTimeout(finish, waitMs);
    stream.waiters.add(finish);
    exchange.onClosed(finish);
  });
}
