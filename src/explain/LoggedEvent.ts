/** Log lines of gateways as they are read back. */
import * as z from 'zod';
import {parseJson} from '../utils/index.js';

/** One line of a gateway's log. */
export interface LoggedEvent {
  readonly atMs: number;
  readonly gatewayId: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What was read from several logs. */
export interface ReadLogs {
  /** In the order of their times. */
  readonly events: readonly LoggedEvent[];
  /** Lines that are no log lines: cut off, or of something else. */
  readonly unreadableLines: number;
}

const LINE = z
  .object({time: z.iso.datetime(), instanceId: z.string(), msg: z.string()})
  .catchall(z.unknown());

/**
 * Reads the lines of several logs.
 * @param texts - The logs; something may stand before the JSON text of a line, as collectors write it.
 */
export function readLogs(texts: readonly string[]): ReadLogs {
  const lines = texts.flatMap(text => text.split('\n')).filter(line => line.trim() !== '');
  const events = lines.map(parseLogLine).filter(event => event !== undefined);
  return {
    events: events.sort((a, b) => a.atMs - b.atMs),
    unreadableLines: lines.length - events.length,
  };
}

/**
 * Reads one line; returns undefined where it is no log line.
 * @param line - The line.
 */
export function parseLogLine(line: string): LoggedEvent | undefined {
  const begin = line.indexOf('{');
  if (begin < 0) return undefined;
  const parsed = LINE.safeParse(parseJson(Buffer.from(line.slice(begin))));
  if (!parsed.success) return undefined;
  const {time, instanceId, msg, ...fields} = parsed.data;
  return {atMs: Date.parse(time), gatewayId: instanceId, event: msg, fields};
}
