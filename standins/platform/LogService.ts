/** Stand-in for the platform's append-only log service. */
import {z} from 'zod';
import {StandinServer, type Exchange} from '../http/index.js';

/** Options of a `LogService`. */
export interface LogServiceOptions {
  readonly address: string;
  readonly port: number;
  /** Append calls accepted per second over all streams; further ones get status 429. */
  readonly maxAppendsPerSecond: number;
  /** Age at which a record is dropped from its stream. */
  readonly retentionMs: number;
  readonly random: () => number;
}

interface StoredRecord {
  readonly offset: number;
  readonly atMs: number;
  readonly payload: string;
}

interface Stream {
  readonly records: StoredRecord[];
  endOffset: number;
  readonly waiters: Set<() => void>;
}

const appendSchema = z.strictObject({payloads: z.array(z.string()).min(1)});
const RATE_WINDOW_MS = 1_000;
const MAX_READ_RECORDS = 1_000;
const MAX_WAIT_MS = 60_000;

/** Keeps streams of records in memory; the offsets of a stream start at 0 and have no gaps. */
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

  private async append(exchange: Exchange, name: string): Promise<void> {
    const {payloads} = appendSchema.parse(await exchange.readJson());
    const nowMs = Date.now();
    if (!this.admitAppend(nowMs)) {
      this.refusedAppends += 1;
      exchange.sendJson(429, {error: 'append rate limit exceeded'});
      return;
    }
    const stream = this.getStream(name);
    const firstOffset = stream.endOffset;
    for (const payload of payloads) {
      stream.records.push({offset: stream.endOffset++, atMs: nowMs, payload});
    }
    this.appends += 1;
    for (const notifyWaiter of [...stream.waiters]) notifyWaiter();
    exchange.sendJson(200, {firstOffset});
  }

  private async read(exchange: Exchange, name: string): Promise<void> {
    const stream = this.getStream(name);
    const from = exchange.getQueryNumber('from', 0);
    const max = Math.min(exchange.getQueryNumber('max', MAX_READ_RECORDS), MAX_READ_RECORDS);
    const waitMs = Math.min(exchange.getQueryNumber('waitMs', 0), MAX_WAIT_MS);
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

  private admitAppend(nowMs: number): boolean {
    this.recentAppendsAtMs = this.recentAppendsAtMs.filter(atMs => atMs > nowMs - RATE_WINDOW_MS);
    if (this.recentAppendsAtMs.length >= this.options.maxAppendsPerSecond) return false;
    this.recentAppendsAtMs.push(nowMs);
    return true;
  }

  private dropOldRecords(stream: Stream, nowMs: number): void {
    const firstRetainedIndex = stream.records.findIndex(
      ({atMs}) => atMs > nowMs - this.options.retentionMs,
    );
    stream.records.splice(
      0,
      firstRetainedIndex === -1 ? stream.records.length : firstRetainedIndex,
    );
  }

  private getStream(name: string): Stream {
    const existingStream = this.streams.get(name);
    if (existingStream) return existingStream;
    const newStream: Stream = {records: [], endOffset: 0, waiters: new Set()};
    this.streams.set(name, newStream);
    return newStream;
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
    exchange.onAborted(finish);
  });
}
