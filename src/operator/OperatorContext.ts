/** What buckthornctl's commands need of their process. */
import {randomUUID} from 'node:crypto';
import {LogClient} from '../log/index.js';
import {ConfigurationStream} from './ConfigurationStream.js';
import {DaemonsClient} from './DaemonsClient.js';
import {FleetStream} from './FleetStream.js';
import type {SessionOptions} from './StreamSession.js';
import type {DaemonsSettings, LogSettings} from './OperatorSettings.js';

/** Clock, output and identity of the process. */
export interface OperatorContext {
  readonly getNowMs: () => number;
  /** Shows a prompt and returns the line typed; undefined where the input has ended. */
  readonly ask: (prompt: string) => Promise<string | undefined>;
  /** Writes a result; standard output. */
  readonly writeLine: (line: string) => void;
  /** Writes progress; standard error. */
  readonly writeProgress: (line: string) => void;
}

/** A stream that is read before it is used. */
interface OpenableStream {
  open(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Runs with the configuration stream read to its end.
 * @param settings - Where the log is.
 * @param context - The process.
 * @param act - What to do with the stream.
 */
export async function withConfigurationStream<Result>(
  settings: LogSettings,
  context: OperatorContext,
  act: (stream: ConfigurationStream) => Promise<Result>,
): Promise<Result> {
  return withStream(settings, context, options => new ConfigurationStream(options), act);
}

/**
 * Runs with the fleet stream read to its end.
 * @param settings - Where the log is.
 * @param context - The process.
 * @param act - What to do with the stream.
 */
export async function withFleetStream<Result>(
  settings: LogSettings,
  context: OperatorContext,
  act: (stream: FleetStream) => Promise<Result>,
): Promise<Result> {
  return withStream(settings, context, options => new FleetStream(options), act);
}

/**
 * Runs with a client of the instance list and the daemons.
 * @param settings - Where they are.
 * @param act - What to do with the client.
 */
export async function withDaemonsClient<Result>(
  {listUrl, deploymentKey, daemonTimeoutMs}: DaemonsSettings,
  act: (client: DaemonsClient) => Promise<Result>,
): Promise<Result> {
  const client = new DaemonsClient({listUrl, deploymentKey, timeoutMs: daemonTimeoutMs});
  try {
    return await act(client);
  } finally {
    await client.close();
  }
}

/** Returns a writer's incarnation that no other process has. */
export function createWriterId(): string {
  return `buckthornctl-${randomUUID()}`;
}

async function withStream<Stream extends OpenableStream, Result>(
  {logUrl, logTimeoutMs}: LogSettings,
  {getNowMs}: OperatorContext,
  create: (options: SessionOptions) => Stream,
  act: (stream: Stream) => Promise<Result>,
): Promise<Result> {
  const log = new LogClient({url: logUrl, timeoutMs: logTimeoutMs});
  const stream = create({log, writer: createWriterId(), getNowMs, timeoutMs: logTimeoutMs});
  try {
    await stream.open();
    return await act(stream);
  } finally {
    await stream.close();
    await log.close();
  }
}
