/** Sends and receives the gateways' datagrams. */
import {createSocket, type Socket} from 'node:dgram';
import type {Logger} from '../logging/index.js';
import {decodeGossip, encodeGossip} from './gossipCodec.js';
import type {GossipState} from './GossipState.js';

/** Options of a `GossipSocket`. */
export interface GossipSocketOptions {
  readonly ip: string;
  readonly port: number;
  readonly logger: Logger;
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
    const {ip, port, logger, onState} = this.options;
    this.socket.on('error', error => logger.warn({error: error.message}, 'gossip socket failed'));
    this.socket.on('message', bytes => {
      const state = decodeGossip(bytes);
      if (state) onState(state);
      else logger.warn({bytes: bytes.length}, 'unreadable gossip datagram');
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
        if (error) this.options.logger.warn({error: error.message, address}, 'gossip not sent');
      });
    }
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }
}
