/** Stand-in of a plain service: bookings that must not be made twice. */
import {setTimeout as sleep} from 'node:timers/promises';
import {BackendLifecycle, type BackendIdentity} from '../backend/index.js';
import {isVersionBad} from '../faults/index.js';
import {StandinServer, type Exchange, type Route} from '../http/index.js';
import {describeBody, RunLedger, type RunEntry} from '../ledger/index.js';

/** Options of a `PlainService`. */
export interface PlainServiceOptions {
  readonly address: string;
  readonly port: number;
  readonly identity: BackendIdentity;
  readonly listUrl?: string;
  /** File that the ledger is written to as well; absent for none. */
  readonly ledgerPath?: string;
  /** Time that a call takes. */
  readonly serviceTimeMs: number;
  readonly random: () => number;
  /** Called when the service crashes or its instance is taken away. */
  readonly onDown: (reason: 'crashed' | 'taken-away') => void;
}

const BOOKING_PREFIX = 'booking-';

/** Runs each call once and records it; any replica can show any booking, as if they shared a database. */
export class PlainService {
  private readonly options: PlainServiceOptions;
  private readonly server: StandinServer;
  private readonly lifecycle: BackendLifecycle;
  private readonly ledger: RunLedger;
  private openRequests = 0;

  constructor(options: PlainServiceOptions) {
    this.options = options;
    this.ledger = new RunLedger(options.ledgerPath);
    this.lifecycle = new BackendLifecycle({
      ...options,
      onTakenAway: () => void this.goDown('taken-away'),
    });
    this.server = new StandinServer({
      ...options,
      routes: this.createRoutes(),
      getLedger: () => ({runs: this.ledger.getEntries()}),
    });
  }

  /** Listens and registers at the instance list. */
  async start(): Promise<void> {
    await this.server.start();
    await this.lifecycle.start(this.server.getPort());
  }

  /** Leaves the instance list and stops. */
  async stop(): Promise<void> {
    await this.lifecycle.stop();
    await this.server.stop();
  }

  /** Returns the port it listens on. */
  getPort(): number {
    return this.server.getPort();
  }

  /** Returns what it ran. */
  getLedger(): RunLedger {
    return this.ledger;
  }

  private createRoutes(): readonly Route[] {
    return [
      {method: 'GET', path: /^\/health$/, handler: exchange => exchange.sendJson(200, {})},
      {method: 'GET', path: /^\/load$/, handler: exchange => this.sendLoad(exchange)},
      {
        method: 'POST',
        path: /^\/standin\/notice$/,
        handler: exchange => this.lifecycle.takeNotice(exchange),
      },
      {
        method: 'POST',
        path: /^\/bookings$/,
        hasEffect: true,
        handler: exchange => this.runCall(exchange, body => createBooking(body)),
      },
      {
        method: 'GET',
        path: new RegExp(`^/bookings/${BOOKING_PREFIX}([A-Za-z0-9_-]+)$`),
        handler: (exchange, [encoded]) => this.runCall(exchange, () => readBooking(encoded)),
      },
      {
        method: '*',
        path: /^\/(.*)$/,
        hasEffect: true,
        handler: (exchange, [path]) =>
          this.runCall(exchange, body => ({
            status: 200,
            value: {path, method: exchange.method, body},
          })),
      },
    ];
  }

  private async runCall(exchange: Exchange, answer: (body: string) => PlainAnswer): Promise<void> {
    const body = await exchange.readText();
    this.openRequests += 1;
    const entry = this.addEntry(exchange, body);
    try {
      if (this.isCrashedBy(body)) {
        await this.goDown('crashed');
        return;
      }
      const badEffect = this.getBadEffect(exchange.url.pathname);
      const {badVersion} = this.server.getFaults();
      const factor = badEffect === 'slow' ? (badVersion?.slowdownFactor ?? 1) : 1;
      await sleep(this.options.serviceTimeMs * factor);
      const isFailed = badEffect === 'fail';
      this.ledger.endEntry(entry, isFailed ? 'failed' : 'finished', Date.now());
      const {status, value} = isFailed ? FAILED_ANSWER : answer(body);
      exchange.sendJson(status, value);
    } finally {
      this.openRequests -= 1;
    }
  }

  private addEntry(exchange: Exchange, body: string): RunEntry {
    const {instanceId, service, version, failureDomain} = this.lifecycle.getIdentity();
    return this.ledger.addEntry({
      instanceId,
      service,
      version,
      failureDomain,
      ...describeBody(body),
      requestId: exchange.getHeader('x-request-id') ?? '',
      attemptId: exchange.getHeader('x-attempt-id') ?? '',
      method: exchange.method,
      path: exchange.url.pathname,
      openRequests: this.openRequests,
      wasCold: false,
      startedAtMs: Date.now(),
      promptTokens: 0,
      cachedTokens: 0,
      generatedTokens: 0,
      end: 'running',
    });
  }

  private isCrashedBy(body: string): boolean {
    const {crashOnBodyText} = this.server.getFaults();
    return crashOnBodyText !== undefined && body.includes(crashOnBodyText);
  }

  private getBadEffect(path: string): 'fail' | 'slow' | undefined {
    const {badVersion} = this.server.getFaults();
    if (!badVersion || !this.server.happens(badVersion.percent)) return undefined;
    const faultAgeMs = Date.now() - this.server.getFaultsSinceMs();
    const isBad = isVersionBad(badVersion, path, this.openRequests, faultAgeMs);
    return isBad ? badVersion.effect : undefined;
  }

  private sendLoad(exchange: Exchange): void {
    exchange.sendJson(200, {
      runningRequests: this.openRequests,
      queuedRequests: 0,
      queuedPrefillTokens: 0,
      prefillTokensPerSecond: 0,
      decodeTokensPerSecond: 0,
      cachedTokens: 0,
      cachedTokensLimit: 0,
      reportedAtMs: Date.now(),
      ...this.lifecycle.getState(),
    });
  }

  private async goDown(reason: 'crashed' | 'taken-away'): Promise<void> {
    this.lifecycle.abandon();
    this.ledger.endAll('crashed', Date.now());
    await this.server.stop();
    this.options.onDown(reason);
  }
}

interface PlainAnswer {
  readonly status: number;
  readonly value: object;
}

const FAILED_ANSWER: PlainAnswer = {status: 500, value: {error: 'version failed'}};

function createBooking(body: string): PlainAnswer {
  const bookingId = BOOKING_PREFIX + Buffer.from(body).toString('base64url');
  return {status: 201, value: {bookingId, state: 'confirmed'}};
}

function readBooking(encoded: string): PlainAnswer {
  const booking = Buffer.from(encoded, 'base64url').toString();
  return {status: 200, value: {bookingId: BOOKING_PREFIX + encoded, state: 'confirmed', booking}};
}
