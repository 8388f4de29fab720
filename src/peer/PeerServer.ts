/** Serves the peer service to the deployment's own daemons. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ServiceImpl} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {PeerService} from './generated/buckthorn/peer/v1/peer_pb.js';
import {PEER_KEY_HEADER, type PeerKeys} from './PeerKeys.js';

/** What a daemon answers to its peers; a call without a handler is answered as unimplemented. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  /** IP number to listen on. */
  readonly address: string;
  /** Port to listen on; 0 for one that the kernel gives. */
  readonly port: number;
  readonly keys: PeerKeys;
}

const MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024;
const STATUS_UNAUTHORIZED = 401;

/** Listens for peers; every call needs the deployment's key. */
export class PeerServer {
  private readonly options: PeerServerOptions;
  private readonly server: Server;
  private handlers: PeerHandlers = {};
  private handle = createHandle({});

  constructor(options: PeerServerOptions) {
    this.options = options;
    this.server = createServer((request, response) => {
      if (this.isAllowed(request)) this.handle(request, response);
      else refuse(response);
    });
  }

  /**
   * Adds handlers; also after the start, since some need to know the port.
   * @param handlers - Handlers by call.
   */
  addHandlers(handlers: PeerHandlers): void {
    this.handlers = {...this.handlers, ...handlers};
    this.handle = createHandle(this.handlers);
  }

  /**
   * Starts to listen.
   * @returns The port.
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

  private isAllowed(request: IncomingMessage): boolean {
    const key = request.headers[PEER_KEY_HEADER];
    return this.options.keys.isValid(typeof key === 'string' ? key : undefined);
  }
}

function createHandle(handlers: PeerHandlers) {
  return connectNodeAdapter({
    routes: router => router.service(PeerService, handlers),
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
}

function refuse(response: ServerResponse): void {
  response.writeHead(STATUS_UNAUTHORIZED, {connection: 'close'});
  response.end();
}
