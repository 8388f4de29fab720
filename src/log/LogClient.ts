/** HTTP client of the platform's append-only log service. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import {ServingError} from '../errors/index.js';
import type {LogStream} from '../records/index.js';

/** Options of a `LogClient`. */
export interface LogClientOptions {
  /** Base URL with an IP address, such as `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Timeout of a call, added to the long-poll time of a read. */
  readonly timeoutMs: number;
}

/** A record as the log stores it. */
export interface StoredRecord {
  readonly offset: number;
  /** Unix time in milliseconds at which the log stored the record, by the log's clock. */
  readonly atMs: number;
  readonly payload: string;
}

/** Result of a read: consecutive records of a stream, and the stream's bounds at that time. */
export interface LogSlice {
  readonly records: readonly StoredRecord[];
  /** Offset from which to read next. */
  readonly nextOffset: number;
  /** Lowest offset that retention has not dropped. */
  readonly earliestOffset: number;
  /** Offset of the next record to be appended. */
  readonly endOffset: number;
}

/** Options of a read. */
export interface LogReadOptions {
  readonly fromOffset: number;
  readonly maxRecords: number;
  /** How long the log holds the read open if there is no record yet (long poll); 0 returns at once. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Access to the log, implemented by `LogClient` and by fakes in tests. */
export interface LogAccess {
  append(stream: LogStream, payloads: readonly string[]): Promise<number>;
  read(stream: LogStream, options: LogReadOptions): Promise<LogSlice>;
}

const appendResponseSchema = z.object({firstOffset: z.number().int().min(0)});
const readResponseSchema = z.object({
  records: z.array(z.object({offset: z.number().int(), atMs: z.number(), payload: z.string()})),
  nextOffset: z.number().int(),
  earliestOffset: z.number().int(),
  endOffset: z.number().int(),
});

/** Reads and appends records over HTTP, with at most one request at a time on a connection. */
export class LogClient implements LogAccess {
  private readonly options: LogClientOptions;
  private readonly agent: Agent;

  constructor(options: LogClientOptions) {
    this.options = options;
    this.agent = new Agent({connections: null, pipelining: 1});
  }

  /**
   * Appends payloads as one batch. After an error the batch may still have been appended.
   * @param payloads - Encoded records.
   * @returns Offset of the first payload.
   * @throws ServingError of kind `log-unavailable` on a timeout, a transport error or a status other than 200.
   */
  async append(stream: LogStream, payloads: readonly string[]): Promise<number> {
    const body = JSON.stringify({payloads});
    const answer = await this.call('POST', `/v1/streams/${stream}/records`, 0, {body});
    return appendResponseSchema.parse(answer).firstOffset;
  }

  /**
   * Reads records from an offset on.
   * @throws ServingError of kind `log-unavailable` on a timeout, a transport error or a status other than 200.
   */
  async read(stream: LogStream, options: LogReadOptions): Promise<LogSlice> {
    const {fromOffset, maxRecords, waitMs, signal} = options;
    const path = `/v1/streams/${stream}/records?from=${fromOffset}&max=${maxRecords}&waitMs=${waitMs}`;
    return readResponseSchema.parse(await this.call('GET', path, waitMs, {signal}));
  }

  /** Closes all connections, aborting open calls. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    waitMs: number,
    {body, signal}: {readonly body?: string; readonly signal?: AbortSignal},
  ): Promise<unknown> {
    const timeout = AbortSignal.timeout(waitMs + this.options.timeoutMs);
    try {
      const response = await request(this.options.url + path, {
        method,
        body,
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
      return JSON.parse(text) as unknown;
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw new ServingError(`${method} ${path} failed: ${reason}`, {
        kind: 'log-unavailable',
        cause,
      });
    }
  }
}
