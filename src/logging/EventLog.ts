/** Logs events of a closed list, each at a bounded rate. */
import type {LogFields, Logger} from './Logger.js';
import {GATEWAY_EVENTS, type EventDescription, type GatewayEvent} from './gatewayEvents.js';

/** What the rest of the gateway needs of its log. */
export interface EventLogger {
  /**
   * Logs an event.
   * @param event - Its name.
   * @param fields - What it says.
   */
  log(event: GatewayEvent, fields: LogFields): void;
}

/** Options of an `EventLog`. */
export interface EventLogOptions {
  readonly logger: Logger;
  readonly getNowMs: () => number;
}

interface EventRate {
  /** Lines that may be written now; a second's worth at the most. */
  tokens: number;
  updatedAtMs: number;
  leftOut: number;
}

const MS_PER_SECOND = 1_000;

/** Writes events until their rate is used up, and tells with the next line how many were left out. */
export class EventLog implements EventLogger {
  private readonly options: EventLogOptions;
  private readonly rates = new Map<GatewayEvent, EventRate>();
  private leftOutTotal = 0;

  constructor(options: EventLogOptions) {
    this.options = options;
  }

  /** Events left out since the start. */
  get leftOutEvents(): number {
    return this.leftOutTotal;
  }

  log(event: GatewayEvent, fields: LogFields): void {
    const description = GATEWAY_EVENTS[event];
    const rate = this.refill(event, description);
    if (rate.tokens < 1) {
      rate.leftOut += 1;
      this.leftOutTotal += 1;
      return;
    }
    rate.tokens -= 1;
    const leftOut = rate.leftOut > 0 ? {leftOut: rate.leftOut} : {};
    rate.leftOut = 0;
    this.options.logger[description.level]({...fields, ...leftOut}, event);
  }

  private refill(event: GatewayEvent, {maxPerSecond}: EventDescription): EventRate {
    const nowMs = this.options.getNowMs();
    const rate = this.rates.get(event) ?? {tokens: maxPerSecond, updatedAtMs: nowMs, leftOut: 0};
    const added = ((nowMs - rate.updatedAtMs) * maxPerSecond) / MS_PER_SECOND;
    rate.tokens = Math.min(maxPerSecond, rate.tokens + added);
    rate.updatedAtMs = nowMs;
    this.rates.set(event, rate);
    return rate;
  }
}

/** An event log that writes nothing, for tests. */
export const silentEvents: EventLogger = {log: () => undefined};
