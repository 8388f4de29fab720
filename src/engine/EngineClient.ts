/** Client of model engines: opens answer streams and reads their tokens. */
import {createParser} from 'eventsource-parser';
import {Client, errors, Pool, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {BackendServer, LoadReport} from '../blackboard/index.js';
import type {CacheEventSlice} from '../controllers/routing/index.js';
import {createBrokenError, createStatusError} from './attemptErrors.js';
import {readChunk, type EngineEvent} from './EngineEvent.js';
import {getCompletionPath, type CompletionFormat} from './CompletionBody.js';

/** One try of a completion at one backend server. */
export interface EngineCall {
  readonly server: BackendServer;
  readonly format: CompletionFormat;
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  /** Encoded body that asks for a stream. */
  readonly body: string;
  /** Aborting it cancels the try at the engine. */
  readonly signal: AbortSignal;
}

/** A move of KV cache. */
export interface CacheMove {
  readonly requestId: string;
  readonly from: BackendServer;
  readonly to: BackendServer;
  readonly signal: AbortSignal;
}

const MAX_CACHE_EVENTS = 1_000;

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      kind: z.enum(['stored', 'removed', 'cleared']),
      blockHash: z.string().optional(),
    }),
  ),
  nextSequence: z.number().int(),
  earliestSequence: z.number().int(),
});
const kvExportSchema = z.object({kvId: z.string()});
const kvImportSchema = z.object({tokens: z.number()});

const END_OF_STREAM = '[DONE]';

const loadSchema = z.object({
  runningRequests: z.number(),
  queuedRequests: z.number(),
  queuedPrefillTokens: z.number().default(0),
  prefillTokensPerSecond: z.number().default(0),
  decodeTokensPerSecond: z.number().default(0),
  cachedTokens: z.number().default(0),
  reportedAtMs: z.number(),
  state: z.enum(['live', 'leaving']).default('live'),
  leavingAtMs: z.number().optional(),
});

/** A backend server's own report. */
export interface ServerReport {
  readonly load: LoadReport;
  readonly state: 'live' | 'leaving';
  readonly leavingAtMs?: number;
}

/** Options of an `EngineClient`. */
export interface EngineClientOptions {
  readonly connectTimeoutMs: number;
  readonly reportTimeoutMs: number;
}

/** Talks to backend servers over HTTP. */
export class EngineClient {
  private readonly options: EngineClientOptions;
  private readonly pools = new Map<string, Pool>();

  constructor(options: EngineClientOptions) {
    this.options = options;
  }

  /**
   * Lets the next calls to a backend server go over new connections; calls under way keep theirs. Where one connection
   * went silent, the idle ones beside it may have too.
   * @param server - The backend server.
   */
  renewConnections(server: BackendServer): void {
    const origin = getOrigin(server);
    const pool = this.pools.get(origin);
    this.pools.delete(origin);
    void pool?.close().catch(() => undefined);
  }

  /**
   * Closes the connections to backend servers that are gone.
   * @param servers - The backend servers known now.
   */
  keepOnly(servers: readonly BackendServer[]): void {
    const known = new Set(servers.map(getOrigin));
    for (const [origin, pool] of this.pools) {
      if (known.has(origin)) continue;
      this.pools.delete(origin);
      void pool.close().catch(() => undefined);
    }
  }

  /**
   * Runs a try and yields its events until the engine says that the stream ended.
   * @param call - The try.
   * @throws AttemptError where the stream breaks or the engine refuses.
   */
  async *streamCompletion(call: EngineCall): AsyncGenerator<EngineEvent, void, undefined> {
    const {body, statusCode} = await this.open(call);
    if (statusCode !== 200) {
      const text = await body.text().catch(() => '');
      throw createStatusError(call.server, statusCode, text);
    }
    let hasEnded = false;
    const pending: EngineEvent[] = [];
    const parser = createParser({
      onEvent: ({data}) => {
        if (data === END_OF_STREAM) hasEnded = true;
        else pending.push(...readChunk(data));
      },
    });
    const decoder = new TextDecoder();
    try {
      for await (const bytes of body) {
        parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
        yield* pending.splice(0);
        if (hasEnded) return;
      }
    } catch (cause) {
      throw createBrokenError(call.server, cause);
    }
    throw createBrokenError(call.server, new Error('the stream ended early'));
  }

  /**
   * Sends a request to a plain service and returns its whole answer.
   * @param server - The backend server.
   * @param options - Method, path, headers and body, as undici takes them.
   */
  async callPlain(
    server: BackendServer,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<PlainAnswer> {
    const response = await this.getPool(server).request(options);
    const body = Buffer.from(await response.body.arrayBuffer());
    const contentType = response.headers['content-type'];
    return {
      status: response.statusCode,
      contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
      body,
    };
  }

  /**
   * Asks a backend server for its load.
   * @param server - The backend server.
   */
  async getReport(server: BackendServer): Promise<ServerReport> {
    const response = await request(`${getOrigin(server)}/load`, {
      dispatcher: this.getPool(server),
      signal: AbortSignal.timeout(this.options.reportTimeoutMs),
    });
    const value = loadSchema.parse(await response.body.json());
    const {state, leavingAtMs, ...load} = value;
    return {load, state, leavingAtMs};
  }

  /**
   * Asks over a new connection whether a backend server still runs. One that takes the connection and is slow to answer
   * does: slowness isn't death.
   * @param server - The backend server.
   */
  async isAlive(server: BackendServer): Promise<boolean> {
    const {connectTimeoutMs, reportTimeoutMs} = this.options;
    const client = new Client(getOrigin(server), {connect: {timeout: connectTimeoutMs}});
    try {
      const response = await client.request({
        method: 'GET',
        path: '/health',
        headersTimeout: reportTimeoutMs,
        bodyTimeout: reportTimeoutMs,
      });
      await response.body.dump();
      return true;
    } catch (error) {
      return error instanceof errors.HeadersTimeoutError;
    } finally {
      await client.destroy();
    }
  }

  /**
   * Reads a backend server's cache events.
   * @param server - The backend server.
   * @param fromSequence - First sequence to read.
   */
  async getCacheEvents(server: BackendServer, fromSequence: number): Promise<CacheEventSlice> {
    const path = `/cache/events?from=${fromSequence}&max=${MAX_CACHE_EVENTS}`;
    const response = await request(getOrigin(server) + path, {
      dispatcher: this.getPool(server),
      signal: AbortSignal.timeout(this.options.reportTimeoutMs),
    });
    return {fromSequence, ...cacheEventsSchema.parse(await response.body.json())};
  }

  /**
   * Takes the KV cache of a running request from one backend server to another.
   * @param move - The request and both servers.
   * @returns Tokens that were moved.
   * @throws AttemptError where either server refuses.
   */
  async moveCache({requestId, from, to, signal}: CacheMove): Promise<number> {
    const {kvId} = kvExportSchema.parse(
      await this.post(from, '/cache/export', {requestId}, signal),
    );
    const source = {kvId, fromAddress: from.address, fromPort: from.port};
    return kvImportSchema.parse(await this.post(to, '/cache/import', source, signal)).tokens;
  }

  /** Closes all connections, also those in use. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    this.pools.clear();
  }

  private getPool(server: BackendServer): Pool {
    const origin = getOrigin(server);
    const kept = this.pools.get(origin);
    if (kept) return kept;
    const pool = new Pool(origin, {
      connect: {timeout: this.options.connectTimeoutMs},
      bodyTimeout: 0,
      headersTimeout: 0,
      pipelining: 1,
    });
    this.pools.set(origin, pool);
    return pool;
  }

  private async post(
    server: BackendServer,
    path: string,
    body: object,
    signal: AbortSignal,
  ): Promise<unknown> {
    const response = await request(getOrigin(server) + path, {
      method: 'POST',
      dispatcher: this.getPool(server),
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      signal,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) throw createStatusError(server, response.statusCode, text);
    return JSON.parse(text) as unknown;
  }

  private async open(call: EngineCall): Promise<Dispatcher.ResponseData> {
    try {
      return await request(getOrigin(call.server) + getCompletionPath(call.format), {
        method: 'POST',
        dispatcher: this.getPool(call.server),
        headers: {
          'content-type': 'application/json',
          'x-request-id': call.requestId,
          'x-attempt-id': call.attemptId,
          'x-workspace': call.workspace,
        },
        body: call.body,
        signal: call.signal,
      });
    } catch (cause) {
      throw createBrokenError(call.server, cause);
    }
  }
}

/** A plain service's answer. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

function getOrigin(server: BackendServer): string {
  const host = server.address.includes(':') ? `[${server.address}]` : server.address;
  return `http://${host}:${server.port}`;
}
