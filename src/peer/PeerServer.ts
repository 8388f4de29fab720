/** Server of the peer service, which the daemons of a deployment use among themselves. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ServiceImpl} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {PeerService} from './generated/buckthorn/peer/v1/peer_pb.js';
import {PEER_KEY_HEADER, type PeerKeys} from './PeerKeys.js';

/** Handlers of peer service calls; a call without a handler fails as unimplemented. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  /** IP address to listen on. */
  readonly address: string;
  /** Port to listen on; 0 for any free port. */
  readonly port: number;
  readonly keys: PeerKeys;
}

const MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024;
const STATUS_UNAUTHORIZED = 401;

/** Listens for calls of peers; calls without a valid deployment key get status 401. */
export class PeerServer {
  private readonly options: PeerServerOptions;
  private readonly server: Server;
  private handlers: PeerHandlers = {};
  private requestListener = createRequestListener({});

  constructor(options: PeerServerOptions) {
    this.options = options;
    this.server = createServer((request, response) => {
      if (this.isAuthenticated(request)) this.requestListener(request, response);
      else respondUnauthorized(response);
    });
  }

  /**
   * Adds handlers, replacing those of the same calls. May be called after `start`, since some handlers need the port.
   */
  addHandlers(handlers: PeerHandlers): void {
    this.handlers = {...this.handlers, ...handlers};
    this.requestListener = createRequestListener(this.handlers);
  }

  /**
   * Starts listening.
   * @returns The actual port.
   */
  async start(): Promise<number> {
    const {address, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private isAuthenticated(request: IncomingMessage): boolean {
    const key = request.headers[PEER_KEY_HEADER];
    return this.options.keys.isValid(typeof key === 'string' ? key : undefined);
  }
}

function createRequestListener(handlers: PeerHandlers) {
  return connectNodeAdapter({
    routes: router => router.service(PeerService, handlers),
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
}

function respondUnauthorized(response: ServerResponse): void {
  response.writeHead(STATUS_UNAUTHORIZED, {connection: 'close'});
  response.end();
}
