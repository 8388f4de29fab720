/** HTTP client for backend servers: streams completions, and reads load reports, health and cache events. */
import {createParser} from 'eventsource-parser';
import {Client, errors, Pool, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {BackendServer, LoadReport} from '../blackboard/index.js';
import type {CacheEventSlice} from '../controllers/routing/index.js';
import {createBrokenError, createStatusError} from './attemptErrors.js';
import {parseChunk, type EngineEvent} from './EngineEvent.js';
import {getCompletionPath, type CompletionFormat} from './CompletionBody.js';
import {MAX_BODY_BYTES, readBody, readJson} from './readBody.js';

/** One attempt of a completion at one backend server. */
export interface EngineCall {
  readonly server: BackendServer;
  readonly format: CompletionFormat;
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  /** JSON body from `createEngineBody`, which requests a stream. */
  readonly body: string;
  /** Aborts the HTTP request, which cancels the attempt at the engine. */
  readonly signal: AbortSignal;
}

/** A transfer of a running request's KV cache between two backend servers. */
export interface CacheTransfer {
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

/** A backend server's report on its own load and state. */
export interface ServerReport {
  readonly load: LoadReport;
  readonly state: 'live' | 'leaving';
  /** Unix time in milliseconds at which the server will leave; undefined if it doesn't leave or the time is unknown. */
  readonly leavingAtMs?: number;
}

/** Options of an `EngineClient`. */
export interface EngineClientOptions {
  readonly connectTimeoutMs: number;
  /** Time limit of load reports, health probes and reads of cache events; other calls have none. */
  readonly reportTimeoutMs: number;
}

/** Keeps one connection pool for each backend server. */
export class EngineClient {
  private readonly options: EngineClientOptions;
  private readonly pools = new Map<string, Pool>();

  constructor(options: EngineClientOptions) {
    this.options = options;
  }

  /**
   * Makes later calls to a backend server use new connections; calls in progress keep theirs. If one connection has
   * stalled, the idle connections to the same server may have stalled too.
   * @param server - Backend server whose pool is replaced.
   */
  renewConnections(server: BackendServer): void {
    const origin = getOrigin(server);
    const pool = this.pools.get(origin);
    this.pools.delete(origin);
    void pool?.close().catch(() => undefined);
  }

  /**
   * Closes the pools of all backend servers that are not listed; calls in progress may finish.
   * @param servers - Backend servers that currently exist.
   */
  closeRemovedServers(servers: readonly BackendServer[]): void {
    const currentOrigins = new Set(servers.map(getOrigin));
    for (const [origin, pool] of this.pools) {
      if (currentOrigins.has(origin)) continue;
      this.pools.delete(origin);
      void pool.close().catch(() => undefined);
    }
  }

  /**
   * Sends a completion request and yields the events of its stream until the engine sends `[DONE]`.
   * @param call - Request, server and abort signal.
   * @throws AttemptError if the engine responds with an error status, or the stream ends before `[DONE]`.
   */
  async *streamCompletion(call: EngineCall): AsyncGenerator<EngineEvent, void, undefined> {
    const {body, statusCode} = await this.openStream(call);
    if (statusCode !== 200) {
      const text = await readBody(body).then(String, () => '');
      throw createStatusError(call.server, statusCode, text);
    }
    let hasEnded = false;
    const pending: EngineEvent[] = [];
    const parser = createParser({
      maxBufferSize: MAX_BODY_BYTES,
      onEvent: ({data}) => {
        if (data === END_OF_STREAM) hasEnded = true;
        else pending.push(...parseChunk(data));
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
    throw createBrokenError(call.server, new Error('the stream ended before [DONE]'));
  }

  /**
   * Sends a request to a plain service, which serves ordinary HTTP and no completions, and returns its complete
   * response. Errors of undici are thrown unchanged.
   * @param server - Backend server of the service.
   * @param options - Method, path, headers, body and signal, as in undici.
   */
  async sendPlainRequest(
    server: BackendServer,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<PlainResponse> {
    const response = await this.getPool(server).request(options);
    const body = await readBody(response.body);
    const contentType = response.headers['content-type'];
    return {
      status: response.statusCode,
      contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
      body,
    };
  }

  /**
   * Reads a backend server's load report; rejects if it is invalid or takes longer than `reportTimeoutMs`.
   * @param server - Backend server to query.
   */
  async getReport(server: BackendServer): Promise<ServerReport> {
    const response = await request(`${getOrigin(server)}/load`, {
      dispatcher: this.getPool(server),
      signal: AbortSignal.timeout(this.options.reportTimeoutMs),
    });
    const value = loadSchema.parse(await readJson(response.body));
    const {state, leavingAtMs, ...load} = value;
    return {load, state, leavingAtMs};
  }

  /**
   * Probes over a new connection whether a backend server is running. A server that accepts the connection but exceeds
   * `reportTimeoutMs` counts as alive, since it may only be slow.
   * @param server - Backend server to probe.
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
   * Reads up to 1,000 of a backend server's prefix cache events.
   * @param server - Backend server to query.
   * @param fromSequence - Sequence number of the first event to read.
   */
  async getCacheEvents(server: BackendServer, fromSequence: number): Promise<CacheEventSlice> {
    const path = `/cache/events?from=${fromSequence}&max=${MAX_CACHE_EVENTS}`;
    const response = await request(getOrigin(server) + path, {
      dispatcher: this.getPool(server),
      signal: AbortSignal.timeout(this.options.reportTimeoutMs),
    });
    return {fromSequence, ...cacheEventsSchema.parse(await readJson(response.body))};
  }

  /**
   * Transfers the KV cache of a running request from one backend server to another: exports it at the source, then has
   * the destination import it from there.
   * @param move - Request, source, destination and abort signal.
   * @returns Number of tokens whose cache was transferred.
   * @throws AttemptError if either server responds with an error status.
   */
  async transferCache({requestId, from, to, signal}: CacheTransfer): Promise<number> {
    const {kvId} = kvExportSchema.parse(
      await this.post(from, '/cache/export', {requestId}, signal),
    );
    const source = {kvId, fromAddress: from.address, fromPort: from.port};
    return kvImportSchema.parse(await this.post(to, '/cache/import', source, signal)).tokens;
  }

  /** Closes all connections, including those in use. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    this.pools.clear();
  }

  private getPool(server: BackendServer): Pool {
    const origin = getOrigin(server);
    const existing = this.pools.get(origin);
    if (existing) return existing;
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
    const bytes = await readBody(response.body);
    if (response.statusCode !== 200) {
      throw createStatusError(server, response.statusCode, String(bytes));
    }
    return JSON.parse(String(bytes)) as unknown;
  }

  private async openStream(call: EngineCall): Promise<Dispatcher.ResponseData> {
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

/** The complete response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

function getOrigin(server: BackendServer): string {
  const host = server.address.includes(':') ? `[${server.address}]` : server.address;
  return `http://${host}:${server.port}`;
}
