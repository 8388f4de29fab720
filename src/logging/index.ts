export {
  createLogger,
  silentLogger,
  type LogFields,
  type Logger,
  type LoggerOptions,
} from './Logger.js';
export {EventLog, silentEvents, type EventLogger, type EventLogOptions} from './EventLog.js';
export {
  GATEWAY_EVENTS,
  type EventDescription,
  type GatewayEvent,
  type LogLevel,
} from './gatewayEvents.js';
