/** Structured logs: lines for changes of state only, since everything frequent is a counter. */
import bunyan from 'bunyan';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** What the rest of the code needs of a logger. */
export interface Logger {
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
  readonly name: string;
  readonly instanceId: string;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
}

/** Returns a bunyan logger on standard error; standard output belongs to results. */
export function createLogger({name, instanceId, level}: LoggerOptions): Logger {
  return bunyan.createLogger({name, instanceId, level, stream: process.stderr});
}

/** A logger that writes nothing, for tests and tools. */
export const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
