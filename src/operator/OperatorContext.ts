/** What buckthornctl's commands need of their process. */
import {randomUUID} from 'node:crypto';
import {LogClient} from '../log/index.js';
import {ConfigurationStream} from './ConfigurationStream.js';
import {DaemonsClient} from './DaemonsClient.js';
import type {DaemonsSettings, LogSettings} from './OperatorSettings.js';

/** Clock, output and identity of the process. */
export interface OperatorContext {
  readonly getNowMs: () => number;
  /** Writes a result; standard output. */
  readonly writeLine: (line: string) => void;
  /** Writes progress; standard error. */
  readonly writeProgress: (line: string) => void;
}

/**
 * Runs with the configuration stream read to its end.
 * @param settings - Where the log is.
 * @param context - The process.
 * @param act - What to do with the stream.
 */
export async function withConfigurationStream<Result>(
  {logUrl, logTimeoutMs}: LogSettings,
  {getNowMs}: OperatorContext,
  act: (stream: ConfigurationStream) => Promise<Result>,
): Promise<Result> {
  const log = new LogClient({url: logUrl, timeoutMs: logTimeoutMs});
  const stream = new ConfigurationStream({
    log,
    writer: createWriterId(),
    getNowMs,
    timeoutMs: logTimeoutMs,
  });
  try {
    await stream.open();
    return await act(stream);
  } finally {
    await stream.close();
    await log.close();
  }
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
