/** HTTP server shared by all stand-ins: routing, fault injection and access to the ledger. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {faultsSchema, NO_FAULTS, type Faults, type FaultsInput} from '../faults/index.js';
import {Exchange} from './Exchange.js';

/** Handles one call; `params` are the decoded capture groups of the route's path. */
export type Handler = (exchange: Exchange, params: readonly string[]) => Promise<void> | void;

/** A route of a stand-in; the first one that matches handles a call. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  readonly path: RegExp;
  readonly handler: Handler;
  /** Whether the call changes state, so that the fault `loseAnswersPercent` applies to it. */
  readonly hasEffect?: boolean;
}

/** Options of a `StandinServer`. */
export interface StandinServerOptions {
  /** IP address to listen on. */
  readonly address: string;
  /** Port to listen on; 0 for a free port. */
  readonly port: number;
  readonly routes: readonly Route[];
  /** Returns the body of `GET /standin/ledger`. */
  readonly getLedger: () => unknown;
  /** Called after each replacement of the faults. */
  readonly onFaults?: (faults: Faults) => void;
  /** Returns a number from 0 (inclusive) to 1 (exclusive), which decides which calls a fault affects. */
  readonly random: () => number;
}

const CONTROL_PREFIX = '/standin/';
const PERCENT = 100;

/** Serves the routes of a stand-in and applies the injected faults to them. */
export class StandinServer {
  private readonly options: StandinServerOptions;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly stalledSockets = new WeakSet<Socket>();
  private faults: Faults = NO_FAULTS;
  private faultsSetAtMs = 0;

  constructor(options: StandinServerOptions) {
    this.options = options;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => this.addSocket(socket));
  }

  /** Starts listening; rejects if the port is in use. */
  async start(): Promise<void> {
    const {port, address} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Stops listening and destroys all open connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  /** Returns the port that the server listens on; only valid after `start`. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the active faults. */
  getFaults(): Faults {
    return this.faults;
  }

  /** Returns the Unix time in milliseconds at which the faults were last replaced; 0 if never. */
  getFaultsSetAtMs(): number {
    return this.faultsSetAtMs;
  }

  /**
   * Replaces the faults.
   * @param exceptSocket - Connection that `silenceOpenConnections` doesn't stall: the one that the faults came over.
   */
  setFaults(input: FaultsInput, exceptSocket?: Socket): void {
    this.faults = faultsSchema.parse(input);
    this.faultsSetAtMs = Date.now();
    if (this.faults.silenceOpenConnections) this.stallSockets(exceptSocket);
    this.options.onFaults?.(this.faults);
  }

  /** Draws a random number; returns true with the given probability in percent. */
  occursWithChance(percent: number): boolean {
    return percent > 0 && this.options.random() * PERCENT < percent;
  }

  private addSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
  }

  private stallSockets(exceptSocket: Socket | undefined): void {
    for (const socket of this.sockets) {
      if (socket !== exceptSocket) this.stalledSockets.add(socket);
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const {socket} = request;
    const exchange = new Exchange(request, response, () => this.stalledSockets.has(socket));
    try {
      if (exchange.url.pathname.startsWith(CONTROL_PREFIX)) {
        if (await this.handleControl(exchange, socket)) return;
      } else if (!(await this.applyFaults(exchange))) return;
      await this.handleRoute(exchange);
    } catch (error) {
      exchange.sendJson(400, {error: error instanceof Error ? error.message : String(error)});
    }
  }

  /** Serves the ledger and the faults, to which no fault applies; returns whether the path was one of them. */
  private async handleControl(exchange: Exchange, socket: Socket): Promise<boolean> {
    const {method, url} = exchange;
    if (url.pathname === '/standin/ledger') {
      exchange.sendJson(200, this.options.getLedger());
      return true;
    }
    if (url.pathname !== '/standin/faults') return false;
    if (method === 'PUT') this.setFaults((await exchange.readJson()) as FaultsInput, socket);
    exchange.sendJson(200, this.faults);
    return true;
  }

  /** Applies the faults that concern every route; returns whether the call should still be handled. */
  private async applyFaults(exchange: Exchange): Promise<boolean> {
    const {isFrozen, slowByMs, hasOutage, refusePercent} = this.faults;
    if (isFrozen) return false;
    if (slowByMs > 0) await sleep(slowByMs);
    if (hasOutage || this.occursWithChance(refusePercent)) {
      exchange.sendJson(503, {error: 'unavailable'});
      return false;
    }
    return true;
  }

  private async handleRoute(exchange: Exchange): Promise<void> {
    for (const {method, path, handler, hasEffect} of this.options.routes) {
      const match =
        method === exchange.method || method === '*' ? path.exec(exchange.url.pathname) : null;
      if (!match) continue;
      const dropsResponse =
        hasEffect === true && this.occursWithChance(this.faults.loseAnswersPercent);
      if (dropsResponse) exchange.dropResponse();
      await handler(exchange, match.slice(1).map(decodeURIComponent));
      return;
    }
    exchange.sendJson(404, {error: `no such route: ${exchange.method} ${exchange.url.pathname}`});
  }
}
