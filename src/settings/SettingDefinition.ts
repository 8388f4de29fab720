/** Settings of a binary: each a flag with an environment variable beside it, checked at start. */
import {isIP} from 'node:net';
import {ServingError} from '../errors/index.js';

/** One setting. */
export interface SettingDefinition<Value> {
  /** Long flag without its dashes, such as `log-url`. */
  readonly flag: string;
  /** Environment variable, read where the flag is absent. */
  readonly variable: string;
  readonly description: string;
  /** Returns the value, or throws an error whose message completes "VALUE ...". */
  readonly parse: (text: string) => Value;
  /** Used where neither flag nor variable is given; absent for a setting that must be given. */
  readonly defaultText?: string;
  /** Whether the value is kept out of messages. */
  readonly isSecret?: boolean;
}

/** Settings of a binary by field name. */
export type SettingDefinitions<Values> = {
  readonly [Name in keyof Values]: SettingDefinition<Values[Name]>;
};

/** Makes a setting whose variable is named after its flag. */
export type DefineSetting = <Value>(
  flag: string,
  description: string,
  parse: (text: string) => Value,
  defaultText?: string,
) => SettingDefinition<Value>;

/**
 * Returns a function that makes settings of one binary or group of binaries.
 * @param prefix - Start of the variables' names, such as `BUCKTHORN`.
 */
export function createDefineSetting(prefix: string): DefineSetting {
  return (flag, description, parse, defaultText) => {
    const variable = `${prefix}_${flag.toUpperCase().replaceAll('-', '_')}`;
    return {flag, variable, description, parse, defaultText};
  };
}

/**
 * Reads one setting.
 * @param definition - The setting.
 * @param text - What the flag or variable gave.
 * @throws ServingError of kind `invalid-settings` naming flag, variable and value.
 */
export function parseSetting<Value>(
  definition: SettingDefinition<Value>,
  text: string | undefined,
): Value {
  const {flag, variable, parse, defaultText, isSecret} = definition;
  const given = text ?? defaultText;
  if (given === undefined) {
    throw new ServingError(`--${flag} (${variable}) is missing`, {kind: 'invalid-settings'});
  }
  try {
    return parse(given);
  } catch (cause) {
    const shown = isSecret ? 'the given value' : `"${given}"`;
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new ServingError(`--${flag} (${variable}): ${shown} ${reason}`, {
      kind: 'invalid-settings',
      cause,
    });
  }
}

/** Accepts any text that isn't empty. */
export function parseText(text: string): string {
  if (text.length === 0) throw new Error('is empty');
  return text;
}

/** Returns a parser of whole numbers within bounds. */
export function parseWholeNumber(min: number, max: number): (text: string) => number {
  return text => {
    const value = Number(text);
    if (!Number.isInteger(value) || value < min || value > max || text.trim() === '') {
      throw new Error(`is not a whole number from ${min} to ${max}`);
    }
    return value;
  };
}

/** Accepts a TCP or UDP port. */
export const parsePort = parseWholeNumber(0, 65_535);

/** Accepts an IP number. */
export function parseIpNumber(text: string): string {
  if (isIP(text) === 0) throw new Error('is not an IP number');
  return text;
}

/** Accepts an HTTP URL whose host is an IP number, without a trailing slash. */
export function parseHttpUrl(text: string): string {
  let url: URL;
  try {
    url = new URL(text);
  } catch {
    throw new Error('is not a URL such as http://10.0.0.1:7000');
  }
  if (url.protocol !== 'http:') throw new Error('is not an http URL');
  const host = url.hostname.replace(/^\[|\]$/g, '');
  if (isIP(host) === 0) throw new Error(`names the host "${host}" and not an IP number`);
  return text.replace(/\/+$/, '');
}

/** Accepts values separated by commas, each read by `parseItem`; an empty text gives none. */
export function parseList<Item>(
  parseItem: (text: string) => Item,
): (text: string) => readonly Item[] {
  return text =>
    text
      .split(',')
      .map(item => item.trim())
      .filter(item => item.length > 0)
      .map(parseItem);
}

/** Severities that a daemon can log from, the least first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** Severity that a daemon logs from. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Accepts a severity. */
export function parseLogLevel(text: string): LogLevel {
  const level = LOG_LEVELS.find(candidate => candidate === text);
  if (!level) throw new Error(`is none of ${LOG_LEVELS.join(', ')}`);
  return level;
}

/** Accepts an IP number, or an empty text for none. */
export function parseOptionalIpNumber(text: string): string | undefined {
  return text === '' ? undefined : parseIpNumber(text);
}
