/** Dependencies of buckthornctl's commands: clock, terminal, and clients that are closed after use. */
import {randomUUID} from 'node:crypto';
import {LogClient} from '../log/index.js';
import {ConfigurationStream} from './ConfigurationStream.js';
import {DaemonsClient} from './DaemonsClient.js';
import {FleetStream} from './FleetStream.js';
import type {SessionOptions} from './StreamSession.js';
import type {DaemonsSettings, LogSettings} from './OperatorSettings.js';

/** Clock and terminal of the process, replaceable in tests. */
export interface OperatorContext {
  /** Returns Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** Prompts for a line of input and returns it; undefined at the end of the input. */
  readonly ask: (prompt: string) => Promise<string | undefined>;
  /** Writes a line of the result to standard output. */
  readonly writeLine: (line: string) => void;
  /** Writes a progress message to standard error. */
  readonly writeProgress: (line: string) => void;
}

/** A stream client that must be opened before use and closed afterwards. */
interface OpenableStream {
  open(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Runs a function on the configuration stream after all of its records have been read, then closes the stream.
 * @throws ServingError of kind `log-unavailable` if the log does not respond in time.
 */
export async function withConfigurationStream<Result>(
  settings: LogSettings,
  context: OperatorContext,
  callback: (stream: ConfigurationStream) => Promise<Result>,
): Promise<Result> {
  return withStream(settings, context, options => new ConfigurationStream(options), callback);
}

/**
 * Runs a function on the fleet stream after all of its records have been read, and closes the stream afterwards.
 * @throws ServingError of kind `log-unavailable` if the log does not respond in time.
 */
export async function withFleetStream<Result>(
  settings: LogSettings,
  context: OperatorContext,
  callback: (stream: FleetStream) => Promise<Result>,
): Promise<Result> {
  return withStream(settings, context, options => new FleetStream(options), callback);
}

/** Runs a function with a client of the instance list and the entries, and closes the client afterwards. */
export async function withDaemonsClient<Result>(
  {listUrl, deploymentKey, daemonTimeoutMs}: DaemonsSettings,
  callback: (client: DaemonsClient) => Promise<Result>,
): Promise<Result> {
  const client = new DaemonsClient({listUrl, deploymentKey, timeoutMs: daemonTimeoutMs});
  try {
    return await callback(client);
  } finally {
    await client.close();
  }
}

/** Returns a new writer id, unique among all processes that ever write to the log. */
export function createWriterId(): string {
  return `buckthornctl-${randomUUID()}`;
}

async function withStream<Stream extends OpenableStream, Result>(
  {logUrl, logTimeoutMs}: LogSettings,
  {getNowMs}: OperatorContext,
  createStream: (options: SessionOptions) => Stream,
  callback: (stream: Stream) => Promise<Result>,
): Promise<Result> {
  const log = new LogClient({url: logUrl, timeoutMs: logTimeoutMs});
  const stream = createStream({log, writer: createWriterId(), getNowMs, timeoutMs: logTimeoutMs});
  try {
    await stream.open();
    return await callback(stream);
  } finally {
    await stream.close();
    await log.close();
  }
}
