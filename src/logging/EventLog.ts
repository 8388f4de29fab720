/** Rate-limited logging of the events in `GATEWAY_EVENTS`. */
import type {LogFields, Logger} from './Logger.js';
import {GATEWAY_EVENTS, type EventDescription, type GatewayEvent} from './gatewayEvents.js';

/** Interface through which the components of a gateway log events. */
export interface EventLogger {
  /**
   * Logs an event; it may be omitted if the event exceeds its rate limit.
   * @param event - Key of `GATEWAY_EVENTS`, written as the message of the line.
   * @param fields - Fields of the line; undefined ones are left out.
   */
  log(event: GatewayEvent, fields: LogFields): void;
}

/** Destination and clock of an `EventLog`. */
export interface EventLogOptions {
  readonly logger: Logger;
  /** Returns a time in milliseconds, by which the rate limits are refilled. */
  readonly getNowMs: () => number;
}

/** Token bucket of one event. */
interface RateLimiterState {
  /** Number of lines that may be written now; at most `maxPerSecond`. */
  tokens: number;
  updatedAtMs: number;
  /** Lines omitted since the last written line of the event. */
  omitted: number;
}

const MS_PER_SECOND = 1_000;

/** Omits events that exceed their rate limit, and reports their number with the next line of the event. */
export class EventLog implements EventLogger {
  private readonly options: EventLogOptions;
  private readonly rateLimits = new Map<GatewayEvent, RateLimiterState>();
  private omittedTotal = 0;

  constructor(options: EventLogOptions) {
    this.options = options;
  }

  /** Number of events omitted since the process started. */
  get omittedEvents(): number {
    return this.omittedTotal;
  }

  log(event: GatewayEvent, fields: LogFields): void {
    const description = GATEWAY_EVENTS[event];
    const limiter = this.getRefilledState(event, description);
    if (limiter.tokens < 1) {
      limiter.omitted += 1;
      this.omittedTotal += 1;
      return;
    }
    limiter.tokens -= 1;
    const leftOut = limiter.omitted > 0 ? {leftOut: limiter.omitted} : {};
    limiter.omitted = 0;
    this.options.logger[description.level]({...fields, ...leftOut}, event);
  }

  private getRefilledState(
    event: GatewayEvent,
    {maxPerSecond}: EventDescription,
  ): RateLimiterState {
    const nowMs = this.options.getNowMs();
    const limiter = this.rateLimits.get(event) ?? {
      tokens: maxPerSecond,
      updatedAtMs: nowMs,
      omitted: 0,
    };
    const added = ((nowMs - limiter.updatedAtMs) * maxPerSecond) / MS_PER_SECOND;
    limiter.tokens = Math.min(maxPerSecond, limiter.tokens + added);
    limiter.updatedAtMs = nowMs;
    this.rateLimits.set(event, limiter);
    return limiter;
  }
}

/** Event logger that discards all events, for tests. */
export const silentEvents: EventLogger = {log: () => undefined};
