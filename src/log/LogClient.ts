/** Client of the platform's append-only log service. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import {ServingError} from '../errors/index.js';
import type {LogStream} from '../records/index.js';

/** Options of a `LogClient`. */
export interface LogClientOptions {
  /** Base URL with an IP number, such as `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Longest wait for an answer, beyond the wait that a read asks for. */
  readonly timeoutMs: number;
}

/** A record as the log stores it. */
export interface StoredRecord {
  readonly offset: number;
  readonly atMs: number;
  readonly payload: string;
}

/** Part of a stream. */
export interface LogSlice {
  readonly records: readonly StoredRecord[];
  readonly nextOffset: number;
  /** Lowest offset that is still kept. */
  readonly earliestOffset: number;
  /** Offset that the next append gets. */
  readonly endOffset: number;
}

/** Options of a read. */
export interface LogReadOptions {
  readonly fromOffset: number;
  readonly maxRecords: number;
  /** Time to wait for a first record. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Reads and appends; what a daemon needs of the log. */
export interface LogAccess {
  append(stream: LogStream, payloads: readonly string[]): Promise<number>;
  read(stream: LogStream, options: LogReadOptions): Promise<LogSlice>;
}

const appendAnswerSchema = z.object({firstOffset: z.number().int().min(0)});
const readAnswerSchema = z.object({
  records: z.array(z.object({offset: z.number().int(), atMs: z.number(), payload: z.string()})),
  nextOffset: z.number().int(),
  earliestOffset: z.number().int(),
  endOffset: z.number().int(),
});

/** Talks to the log service over HTTP. */
export class LogClient implements LogAccess {
  private readonly options: LogClientOptions;
  private readonly agent: Agent;

  constructor(options: LogClientOptions) {
    this.options = options;
    this.agent = new Agent({connections: null, pipelining: 1});
  }

  /**
   * Appends payloads as one batch. On an error the batch may have been appended all the same.
   * @param stream - Stream to append to.
   * @param payloads - Encoded records.
   * @returns Offset of the first one.
   * @throws ServingError of kind `log-unavailable`.
   */
  async append(stream: LogStream, payloads: readonly string[]): Promise<number> {
    const body = JSON.stringify({payloads});
    const answer = await this.call('POST', `/v1/streams/${stream}/records`, 0, {body});
    return appendAnswerSchema.parse(answer).firstOffset;
  }

  /**
   * Reads records from an offset on.
   * @param stream - Stream to read.
   * @param options - Where to start and how long to wait.
   * @throws ServingError of kind `log-unavailable`.
   */
  async read(stream: LogStream, options: LogReadOptions): Promise<LogSlice> {
    const {fromOffset, maxRecords, waitMs, signal} = options;
    const path = `/v1/streams/${stream}/records?from=${fromOffset}&max=${maxRecords}&waitMs=${waitMs}`;
    return readAnswerSchema.parse(await this.call('GET', path, waitMs, {signal}));
  }

  /** Closes the connections. */
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
