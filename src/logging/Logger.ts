/** Structured logging. Only state changes are logged; frequent events are counted as metrics instead. */
import bunyan from 'bunyan';

/** Fields of a log line, by name; undefined fields are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logger interface of the daemons, a subset of that of bunyan. */
export interface Logger {
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}

/** Name, instance and minimum severity of a logger. */
export interface LoggerOptions {
  /** Name of the program, written in every line. */
  readonly name: string;
  readonly instanceId: string;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
}

/** Returns a bunyan logger that writes to standard error, because standard output is used for results. */
export function createLogger({name, instanceId, level}: LoggerOptions): Logger {
  return bunyan.createLogger({name, instanceId, level, stream: process.stderr});
}

/** Logger that discards all lines, for tests and tools. */
export const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
