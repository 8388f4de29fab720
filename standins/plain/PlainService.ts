/** Stand-in for a plain service with bookings, which must not be made twice. */
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
  /** File that also receives the ledger; absent for none. */
  readonly ledgerPath?: string;
  /** Duration of a call without faults. */
  readonly serviceTimeMs: number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive), which decides which calls a fault affects. */
  readonly random: () => number;
  /** Called after the service crashed or its instance was removed, when all its connections are closed. */
  readonly onDown: (reason: 'crashed' | 'instance-removed') => void;
}

const BOOKING_PREFIX = 'booking-';

/**
 * Executes each call it receives, without deduplication, and records it in the ledger. A booking id contains the
 * encoded booking, so that every replica can return every booking as if they shared a database.
 */
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
      onInstanceRemoved: () => void this.shutDownAbruptly('instance-removed'),
    });
    this.server = new StandinServer({
      ...options,
      routes: this.createRoutes(),
      getLedger: () => ({runs: this.ledger.getEntries()}),
    });
  }

  /** Starts listening, then registers with the instance list. */
  async start(): Promise<void> {
    await this.server.start();
    await this.lifecycle.start(this.server.getPort());
  }

  /** Removes the service from the instance list and stops it. */
  async stop(): Promise<void> {
    await this.lifecycle.stop();
    await this.server.stop();
  }

  /** Returns the port that it listens on; only valid after `start`. */
  getPort(): number {
    return this.server.getPort();
  }

  /** Returns the ledger of the calls that the service ran. */
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
        handler: exchange => this.lifecycle.handleReclaimNotice(exchange),
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

  private async runCall(
    exchange: Exchange,
    createResponse: (body: string) => PlainResponse,
  ): Promise<void> {
    const body = await exchange.readText();
    this.openRequests += 1;
    const entry = this.addEntry(exchange, body);
    try {
      if (this.shouldCrash(body)) {
        await this.shutDownAbruptly('crashed');
        return;
      }
      const badEffect = this.getBadVersionEffect(exchange.url.pathname);
      const {badVersion} = this.server.getFaults();
      const factor = badEffect === 'slow' ? (badVersion?.slowdownFactor ?? 1) : 1;
      await sleep(this.options.serviceTimeMs * factor);
      const hasFailed = badEffect === 'fail';
      this.ledger.endEntry(entry, hasFailed ? 'failed' : 'finished', Date.now());
      const {status, value} = hasFailed ? FAILED_RESPONSE : createResponse(body);
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

  private shouldCrash(body: string): boolean {
    const {crashOnBodyText} = this.server.getFaults();
    return crashOnBodyText !== undefined && body.includes(crashOnBodyText);
  }

  private getBadVersionEffect(path: string): 'fail' | 'slow' | undefined {
    const {badVersion} = this.server.getFaults();
    if (!badVersion || !this.server.occursWithChance(badVersion.percent)) return undefined;
    const faultAgeMs = Date.now() - this.server.getFaultsSetAtMs();
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
      ...this.lifecycle.getReclaimState(),
    });
  }

  private async shutDownAbruptly(reason: 'crashed' | 'instance-removed'): Promise<void> {
    this.lifecycle.stopWithoutUnregistering();
    this.ledger.endAll('crashed', Date.now());
    await this.server.stop();
    this.options.onDown(reason);
  }
}

interface PlainResponse {
  readonly status: number;
  readonly value: object;
}

const FAILED_RESPONSE: PlainResponse = {status: 500, value: {error: 'version failed'}};

function createBooking(body: string): PlainResponse {
  const bookingId = BOOKING_PREFIX + Buffer.from(body).toString('base64url');
  return {status: 201, value: {bookingId, state: 'confirmed'}};
}

function readBooking(encoded: string): PlainResponse {
  const booking = Buffer.from(encoded, 'base64url').toString();
  return {status: 200, value: {bookingId: BOOKING_PREFIX + encoded, state: 'confirmed', booking}};
}
