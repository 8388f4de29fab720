/** Graceful shutdown of a gateway process: from the request to stop until nothing is open any more, or time is up. */
import type {EventLogger} from '../logging/index.js';

/** What a `StopSequence` stops; implemented by the gateway and the server for callers. */
export interface StoppableParts {
  /** Announces that the gateway leaves, and that it ends open requests at the given monotonic time. */
  beginStop(endsRequestsAtMs: number): void;
  /** Ends all requests in progress with an error, so that no caller is left without a response. */
  endOpenRequests(): void;
  /** Returns the number of requests that are being received, in progress, or answered but not sent completely. */
  getOpenExchanges(): number;
  /** Stops accepting connections. */
  closeListeners(): void;
}

/** Constructor options of `StopSequence`. */
export interface StopSequenceOptions {
  readonly parts: StoppableParts;
  /** Time from the request to stop until the process is killed. */
  readonly graceMs: number;
  readonly events: EventLogger;
}

/** Callers cache the directory's responses, so requests still arrive for this time. */
const MIN_STOP_MS = 3_200;
/** Before the process is killed, this time is left for the last responses to be sent. */
const SEND_MARGIN_MS = 800;
/** Before the process is killed, this time is left for its exit. */
const EXIT_MARGIN_MS = 300;

/** One shutdown; `tick` is called regularly until it returns true. */
export class StopSequence {
  private readonly options: StopSequenceOptions;
  private readonly startedAtMs: number;
  private hasEndedRequests = false;

  /**
   * Begins the shutdown.
   * @param options - Parts to stop, and the time for it.
   * @param nowMs - Monotonic time in milliseconds.
   */
  constructor(options: StopSequenceOptions, nowMs: number) {
    this.options = options;
    this.startedAtMs = nowMs;
    const {parts, events} = options;
    parts.beginStop(this.getEndsRequestsAtMs());
    events.log('stopping', {openRequests: parts.getOpenExchanges()});
  }

  /**
   * Ends the remaining requests when time is up.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the process can exit.
   */
  tick(nowMs: number): boolean {
    const {parts, graceMs, events} = this.options;
    if (!this.hasEndedRequests && nowMs >= this.getEndsRequestsAtMs()) {
      this.hasEndedRequests = true;
      parts.endOpenRequests();
    }
    const openRequests = parts.getOpenExchanges();
    const isIdle = nowMs >= this.startedAtMs + MIN_STOP_MS && openRequests === 0;
    if (!isIdle && nowMs < this.startedAtMs + graceMs - EXIT_MARGIN_MS) return false;
    parts.closeListeners();
    events.log('stopped', {openRequests});
    return true;
  }

  private getEndsRequestsAtMs(): number {
    return this.startedAtMs + this.options.graceMs - SEND_MARGIN_MS;
  }
}
