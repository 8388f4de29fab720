/** HTTP server that every stand-in builds on: routes, faults and the ledger's routes. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {faultsSchema, NO_FAULTS, type Faults, type FaultsInput} from '../faults/index.js';
import {Exchange} from './Exchange.js';

/** Answers one call; `params` are the groups of the route's pattern. */
export type Handler = (exchange: Exchange, params: readonly string[]) => Promise<void> | void;

/** A route of a stand-in. */
export interface Route {
  /** Method, or `*` for any. */
  readonly method: string;
  readonly path: RegExp;
  readonly handler: Handler;
  /** Whether the call changes something, so that its answer can be lost after it took effect. */
  readonly hasEffect?: boolean;
}

/** Options of a `StandinServer`. */
export interface StandinServerOptions {
  /** IP number to listen on. */
  readonly address: string;
  /** Port to listen on; 0 for one that the kernel gives. */
  readonly port: number;
  readonly routes: readonly Route[];
  /** Returns what the stand-in ran. */
  readonly getLedger: () => unknown;
  /** Called after the faults were replaced. */
  readonly onFaults?: (faults: Faults) => void;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

const CONTROL_PREFIX = '/standin/';
const PERCENT = 100;

/** Serves routes and makes faults happen. */
export class StandinServer {
  private readonly options: StandinServerOptions;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly silentSockets = new WeakSet<Socket>();
  private faults: Faults = NO_FAULTS;
  private faultsSinceMs = 0;

  constructor(options: StandinServerOptions) {
    this.options = options;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => this.addSocket(socket));
  }

  /** Listens. */
  async start(): Promise<void> {
    const {port, address} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Stops listening and breaks open connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  /** Returns the port it listens on. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the faults that are on. */
  getFaults(): Faults {
    return this.faults;
  }

  /** Returns the instant at which the faults were last replaced. */
  getFaultsSinceMs(): number {
    return this.faultsSinceMs;
  }

  /** Replaces the faults. */
  setFaults(input: FaultsInput, exceptSocket?: Socket): void {
    this.faults = faultsSchema.parse(input);
    this.faultsSinceMs = Date.now();
    if (this.faults.silenceOpenConnections) this.silenceSockets(exceptSocket);
    this.options.onFaults?.(this.faults);
  }

  /** Returns whether something with a chance in percent happens now. */
  happens(percent: number): boolean {
    return percent > 0 && this.options.random() * PERCENT < percent;
  }

  private addSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
  }

  private silenceSockets(exceptSocket: Socket | undefined): void {
    for (const socket of this.sockets) {
      if (socket !== exceptSocket) this.silentSockets.add(socket);
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const {socket} = request;
    const exchange = new Exchange(request, response, () => this.silentSockets.has(socket));
    try {
      if (exchange.url.pathname.startsWith(CONTROL_PREFIX)) {
        if (await this.handleControl(exchange, socket)) return;
      } else if (!(await this.passesFaults(exchange))) return;
      await this.handleRoute(exchange);
    } catch (error) {
      exchange.sendJson(400, {error: error instanceof Error ? error.message : String(error)});
    }
  }

  /** Faults never reach the routes by which a test steers the stand-in. */
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

  private async passesFaults(exchange: Exchange): Promise<boolean> {
    const {isFrozen, slowByMs, hasOutage, refusePercent} = this.faults;
    if (isFrozen) return false;
    if (slowByMs > 0) await sleep(slowByMs);
    if (hasOutage || this.happens(refusePercent)) {
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
      const losesAnswer = hasEffect === true && this.happens(this.faults.loseAnswersPercent);
      if (losesAnswer) exchange.loseAnswer();
      await handler(exchange, match.slice(1).map(decodeURIComponent));
      return;
    }
    exchange.sendJson(404, {error: `no such route: ${exchange.method} ${exchange.url.pathname}`});
  }
}
