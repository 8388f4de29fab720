/** Parses the JSON log lines of gateways. */
import * as z from 'zod';
import {parseJson} from '../utils/index.js';

/** Log fields that are used to explain requests; which of them are set depends on the event. */
export interface LoggedFields {
  readonly request?: string;
  /** Outcome of an admitted request, such as `answered`. */
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
  /** Version of the configuration that came into force. */
  readonly version?: number;
}

/** A parsed log line. */
export interface LoggedEvent {
  readonly atMs: number;
  /** Instance id of the gateway that logged the event. */
  readonly gatewayId: string;
  /** Name of the event: the `msg` field of the line. */
  readonly event: string;
  readonly fields: LoggedFields;
  /** All fields except the standard ones and the request id, as `name=value` pairs separated by spaces. */
  readonly text: string;
}

/** Events of several logs, merged. */
export interface ParsedLogs {
  /** Events in chronological order. */
  readonly events: readonly LoggedEvent[];
  /** Number of lines that couldn't be parsed because they are truncated or aren't log lines. */
  readonly unreadableLines: number;
}

const commonFieldsSchema = z.object({
  time: z.iso.datetime(),
  instanceId: z.string(),
  msg: z.string(),
});
const optionalStringSchema = z.string().optional().catch(undefined);
const eventFieldsSchema = z.object({
  request: optionalStringSchema,
  outcome: optionalStringSchema,
  refusal: optionalStringSchema,
  detail: optionalStringSchema,
  server: optionalStringSchema,
  change: optionalStringSchema,
  toldBy: optionalStringSchema,
  service: optionalStringSchema,
  failureDomain: optionalStringSchema,
  isEvacuated: z.boolean().optional().catch(undefined),
  topic: optionalStringSchema,
  version: z.number().optional().catch(undefined),
});
/** Fields left out of `LoggedEvent.text`: the standard fields of every line, and the id of the request. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  ...Object.keys(commonFieldsSchema.shape),
  ...['name', 'hostname', 'pid', 'level', 'v', 'request'],
]);

/**
 * Parses several logs and merges their events.
 * @param texts - Contents of the logs. Lines may have a prefix before the JSON object, as log collectors add one.
 */
export function parseLogs(texts: readonly string[]): ParsedLogs {
  const lines = texts.flatMap(text => text.split('\n')).filter(line => line.trim() !== '');
  const events = lines.map(parseLogLine).filter(event => event !== undefined);
  return {
    events: events.sort((a, b) => a.atMs - b.atMs),
    unreadableLines: lines.length - events.length,
  };
}

/** Parses a line from its first `{`; returns undefined if it isn't the log line of a gateway. */
export function parseLogLine(line: string): LoggedEvent | undefined {
  const jsonStart = line.indexOf('{');
  if (jsonStart < 0) return undefined;
  const value = parseJson(Buffer.from(line.slice(jsonStart)));
  const commonFields = commonFieldsSchema.safeParse(value);
  const fields = eventFieldsSchema.safeParse(value);
  if (!commonFields.success || !fields.success) return undefined;
  const {time, instanceId, msg} = commonFields.data;
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
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
