/** Client of other daemons' peer service. */
import {Agent} from 'node:http';
import {isIPv6} from 'node:net';
import {createClient, type Client, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Member} from '../blackboard/index.js';
import {PeerService} from './generated/buckthorn/peer/v1/peer_pb.js';
import {PEER_KEY_HEADER, type PeerKeys} from './PeerKeys.js';

/** Options of a `PeerClient`. */
export interface PeerClientOptions {
  readonly keys: PeerKeys;
  /** Timeout of calls that don't set their own. */
  readonly timeoutMs: number;
}

/** Address and port at which a peer listens. */
export type PeerAddress = Pick<Member, 'address' | 'peerPort'>;

/** Stub of the peer service at one daemon. */
export type PeerCalls = Client<typeof PeerService>;

const MAX_KEPT_CLIENTS = 256;
const IDLE_CONNECTION_MS = 30_000;
const MAX_IDLE_CONNECTIONS = 4;

/**
 * Pools connections to peers and adds the deployment key to each call. A call that times out closes its connection, so
 * a stalled connection fails at most one call.
 */
export class PeerClient {
  private readonly options: PeerClientOptions;
  private readonly agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    timeout: IDLE_CONNECTION_MS,
  });
  private readonly clients = new Map<string, PeerCalls>();

  constructor(options: PeerClientOptions) {
    this.options = options;
  }

  /** Returns the stub of a peer. Stubs are cached by address; beyond 256 the oldest one is dropped. */
  getCalls(peer: PeerAddress): PeerCalls {
    const host = isIPv6(peer.address) ? `[${peer.address}]` : peer.address;
    const baseUrl = `http://${host}:${peer.peerPort}`;
    const existing = this.clients.get(baseUrl);
    if (existing) return existing;
    const calls = this.createCalls(baseUrl);
    this.clients.set(baseUrl, calls);
    this.dropOldestClient();
    return calls;
  }

  /** Closes all connections, aborting open calls. */
  close(): void {
    this.agent.destroy();
  }

  private createCalls(baseUrl: string): PeerCalls {
    const addKey: Interceptor = next => call => {
      call.header.set(PEER_KEY_HEADER, this.options.keys.getSendingKey());
      return next(call);
    };
    const transport = createConnectTransport({
      httpVersion: '1.1',
      baseUrl,
      nodeOptions: {agent: this.agent},
      interceptors: [addKey],
      defaultTimeoutMs: this.options.timeoutMs,
    });
    return createClient(PeerService, transport);
  }

  private dropOldestClient(): void {
    if (this.clients.size <= MAX_KEPT_CLIENTS) return;
    for (const baseUrl of this.clients.keys()) {
      this.clients.delete(baseUrl);
      return;
    }
  }
}
