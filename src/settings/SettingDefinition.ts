/** Settings of a binary, given as command-line flags or environment variables and validated at start-up. */
import {isIP} from 'node:net';
import {ServingError} from '../errors/index.js';

/** Names, parser and default value of a setting. */
export interface SettingDefinition<Value> {
  /** Long command-line flag without its dashes, such as `log-url`. */
  readonly flag: string;
  /** Environment variable that is read if the flag is absent. */
  readonly variable: string;
  readonly description: string;
  /** Returns the parsed value, or throws an error whose message is a predicate of the value, such as "is empty". */
  readonly parse: (text: string) => Value;
  /** Used if neither the flag nor the variable is set; undefined for a required setting. */
  readonly defaultText?: string;
  /** Whether error messages must not contain the value; undefined for false. */
  readonly isSecret?: boolean;
}

/** Definitions of the settings of a binary, by the name of the field that receives the value. */
export type SettingDefinitions<Values> = {
  readonly [Name in keyof Values]: SettingDefinition<Values[Name]>;
};

/** Creates a setting whose environment variable is named after its flag. */
export type DefineSetting = <Value>(
  flag: string,
  description: string,
  parse: (text: string) => Value,
  defaultText?: string,
) => SettingDefinition<Value>;

/**
 * Returns a function that creates the settings of a binary or a group of binaries.
 * @param prefix - Prefix of the environment variables, such as `BUCKTHORN`.
 */
export function createDefineSetting(prefix: string): DefineSetting {
  return (flag, description, parse, defaultText) => {
    const variable = `${prefix}_${flag.toUpperCase().replaceAll('-', '_')}`;
    return {flag, variable, description, parse, defaultText};
  };
}

/**
 * Parses the value of a setting.
 * @param definition - Names, parser and default value of the setting.
 * @param text - Value of the flag or variable; undefined if neither is set.
 * @throws ServingError of kind `invalid-settings` that names the flag, the variable and, unless secret, the value.
 */
export function parseSetting<Value>(
  definition: SettingDefinition<Value>,
  text: string | undefined,
): Value {
  const {flag, variable, parse, defaultText, isSecret} = definition;
  const source = text ?? defaultText;
  if (source === undefined) {
    throw new ServingError(`--${flag} (${variable}) is missing`, {kind: 'invalid-settings'});
  }
  try {
    return parse(source);
  } catch (cause) {
    const displayedValue = isSecret ? 'the given value' : `"${source}"`;
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new ServingError(`--${flag} (${variable}): ${displayedValue} ${reason}`, {
      kind: 'invalid-settings',
      cause,
    });
  }
}

/** Accepts any non-empty string. */
export function parseNonEmptyString(text: string): string {
  if (text.length === 0) throw new Error('is empty');
  return text;
}

/** Returns a parser that accepts integers from `min` to `max`, both inclusive. */
export function createIntegerParser(min: number, max: number): (text: string) => number {
  return text => {
    const value = Number(text);
    if (!Number.isInteger(value) || value < min || value > max || text.trim() === '') {
      throw new Error(`is not a whole number from ${min} to ${max}`);
    }
    return value;
  };
}

/** Accepts a TCP or UDP port; 0 lets the operating system choose one. */
export const parsePort = createIntegerParser(0, 65_535);

/** Accepts an IPv4 or IPv6 address. */
export function parseIpAddress(text: string): string {
  if (isIP(text) === 0) throw new Error('is not an IP address');
  return text;
}

/** Accepts an HTTP URL whose host is an IP address, and removes trailing slashes. */
export function parseHttpUrl(text: string): string {
  let url: URL;
  try {
    url = new URL(text);
  } catch {
    throw new Error('is not a URL such as http://10.0.0.1:7000');
  }
  if (url.protocol !== 'http:') throw new Error('is not an http URL');
  const host = url.hostname.replace(/^\[|\]$/g, '');
  if (isIP(host) === 0) throw new Error(`has the host name "${host}" instead of an IP address`);
  return text.replace(/\/+$/, '');
}

/** Returns a parser of comma-separated values, each parsed by `parseItem`; empty values are ignored. */
export function createListParser<Item>(
  parseItem: (text: string) => Item,
): (text: string) => readonly Item[] {
  return text =>
    text
      .split(',')
      .map(item => item.trim())
      .filter(item => item.length > 0)
      .map(parseItem);
}

/** Minimum severities that a daemon can be set to log, in ascending order. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** Minimum severity that a daemon logs. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Accepts one of the names in `LOG_LEVELS`. */
export function parseLogLevel(text: string): LogLevel {
  const level = LOG_LEVELS.find(candidate => candidate === text);
  if (!level) throw new Error(`is none of ${LOG_LEVELS.join(', ')}`);
  return level;
}

/** Accepts an IPv4 or IPv6 address, or an empty string, which returns undefined. */
export function parseOptionalIpAddress(text: string): string | undefined {
  return text === '' ? undefined : parseIpAddress(text);
}
