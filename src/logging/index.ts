export {
  createLogger,
  silentLogger,
  type LogFields,
  type Logger,
  type LoggerOptions,
} from './Logger.js';
