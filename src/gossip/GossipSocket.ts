/** Sends and receives the gateways' datagrams. */
import {createSocket, type Socket} from 'node:dgram';
import type {EventLogger} from '../logging/index.js';
import {decodeGossip, encodeGossip} from './gossipCodec.js';
import type {GossipState} from './GossipState.js';

/** Options of a `GossipSocket`. */
export interface GossipSocketOptions {
  readonly ip: string;
  readonly port: number;
  readonly events: EventLogger;
  readonly onState: (state: GossipState) => void;
}

/** The socket on which a gateway speaks with the others. */
export class GossipSocket {
  private readonly socket: Socket = createSocket('udp4');
  private readonly options: GossipSocketOptions;

  constructor(options: GossipSocketOptions) {
    this.options = options;
  }

  /** Binds the socket. */
  async open(): Promise<void> {
    const {ip, port, events, onState} = this.options;
    this.socket.on('error', error => events.log('gossip socket failed', {error: error.message}));
    this.socket.on('message', bytes => {
      const state = decodeGossip(bytes);
      if (state) onState(state);
      else events.log('unreadable gossip datagram', {bytes: bytes.length});
    });
    await new Promise<void>(resolve => this.socket.bind(port, ip, resolve));
  }

  /**
   * Sends a state.
   * @param state - The state.
   * @param addresses - Where to send it, each an IP number and port.
   */
  send(state: GossipState, addresses: readonly string[]): void {
    const bytes = encodeGossip(state);
    for (const address of addresses) {
      const [ip, port] = address.split(':');
      this.socket.send(bytes, Number(port), ip, error => {
        if (error) this.options.events.log('gossip not sent', {error: error.message, address});
      });
    }
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }
}
