/** Log lines of gateways as they are read back. */
import * as z from 'zod';
import {parseJson} from '../utils/index.js';

/** The fields of log lines that explanations go by; each line has some of them. */
export interface LoggedFields {
  readonly request?: string;
  /** How an admitted request ended. */
  readonly outcome?: string;
  readonly refusal?: string;
  readonly detail?: string;
  /** Id of a backend server. */
  readonly server?: string;
  readonly change?: string;
  readonly toldBy?: string;
  readonly service?: string;
  readonly failureDomain?: string;
  readonly isEvacuated?: boolean;
  readonly topic?: string;
  /** Version of the configuration. */
  readonly version?: number;
}

/** One line of a gateway's log. */
export interface LoggedEvent {
  readonly atMs: number;
  readonly gatewayId: string;
  readonly event: string;
  readonly fields: LoggedFields;
  /** All fields but the standard ones and the request's id, as `name=value`. */
  readonly text: string;
}

/** What was read from several logs. */
export interface ReadLogs {
  /** In the order of their times. */
  readonly events: readonly LoggedEvent[];
  /** Lines that are no log lines: cut off, or of something else. */
  readonly unreadableLines: number;
}

const HEAD = z.object({time: z.iso.datetime(), instanceId: z.string(), msg: z.string()});
const TEXT = z.string().optional().catch(undefined);
const FIELDS = z.object({
  request: TEXT,
  outcome: TEXT,
  refusal: TEXT,
  detail: TEXT,
  server: TEXT,
  change: TEXT,
  toldBy: TEXT,
  service: TEXT,
  failureDomain: TEXT,
  isEvacuated: z.boolean().optional().catch(undefined),
  topic: TEXT,
  version: z.number().optional().catch(undefined),
});
/** Fields of every line, and the id that the line is found by. */
const UNTOLD_FIELDS: ReadonlySet<string> = new Set([
  ...Object.keys(HEAD.shape),
  ...['name', 'hostname', 'pid', 'level', 'v', 'request'],
]);

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
  const value = parseJson(Buffer.from(line.slice(begin)));
  const head = HEAD.safeParse(value);
  const fields = FIELDS.safeParse(value);
  if (!head.success || !fields.success) return undefined;
  const {time, instanceId, msg} = head.data;
  return {
    atMs: Date.parse(time),
    gatewayId: instanceId,
    event: msg,
    fields: fields.data,
    text: formatFields(value as object),
  };
}

function formatFields(line: object): string {
  return Object.entries(line)
    .filter(([name]) => !UNTOLD_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
