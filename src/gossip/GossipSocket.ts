/** Sends and receives gossip datagrams over UDP. */
import {createSocket, type Socket} from 'node:dgram';
import type {EventLogger} from '../logging/index.js';
import {decodeGossip, encodeGossip} from './gossipCodec.js';
import type {GossipState} from './GossipState.js';

/** Carries gossip states between gateways. A state may be lost, repeated or overtaken by a later one. */
export interface GossipChannel {
  /** Traffic since the channel was opened. */
  readonly traffic: GossipTraffic;
  /** Starts to receive states. */
  open(): Promise<void>;
  /**
   * Sends a state as one datagram per address.
   * @param state - Encoded once for all addresses.
   * @param addresses - Recipients, each an IP address and port.
   */
  send(state: GossipState, addresses: readonly string[]): void;
  /** Closes the channel; it cannot be opened again. */
  close(): void;
}

/** Constructor options of `GossipSocket`. */
export interface GossipSocketOptions {
  readonly ip: string;
  readonly port: number;
  readonly events: EventLogger;
  /** Called with each state received; datagrams that cannot be decoded are logged instead. */
  readonly onState: (state: GossipState) => void;
}

/** Datagrams and payload bytes since the socket was opened. */
export interface GossipTraffic {
  readonly sentDatagrams: number;
  readonly sentBytes: number;
  readonly receivedDatagrams: number;
  readonly receivedBytes: number;
}

/** A gateway's UDP socket for gossip. Send errors are logged and not retried. */
export class GossipSocket implements GossipChannel {
  private readonly socket: Socket = createSocket('udp4');
  private readonly options: GossipSocketOptions;
  private totals: GossipTraffic = {
    sentDatagrams: 0,
    sentBytes: 0,
    receivedDatagrams: 0,
    receivedBytes: 0,
  };

  constructor(options: GossipSocketOptions) {
    this.options = options;
  }

  get traffic(): GossipTraffic {
    return this.totals;
  }

  /** Binds the socket and starts to receive. */
  async open(): Promise<void> {
    const {ip, port, events, onState} = this.options;
    this.socket.on('error', error => events.log('gossip socket failed', {error: error.message}));
    this.socket.on('message', bytes => {
      this.countReceived(bytes.length);
      const state = decodeGossip(bytes);
      if (state) onState(state);
      else events.log('unreadable gossip datagram', {bytes: bytes.length});
    });
    await new Promise<void>(resolve => this.socket.bind(port, ip, resolve));
  }

  send(state: GossipState, addresses: readonly string[]): void {
    const bytes = encodeGossip(state);
    for (const address of addresses) {
      const [ip, port] = address.split(':');
      this.socket.send(bytes, Number(port), ip, error => {
        if (error) this.options.events.log('gossip not sent', {error: error.message, address});
      });
    }
    this.totals = {
      ...this.totals,
      sentDatagrams: this.totals.sentDatagrams + addresses.length,
      sentBytes: this.totals.sentBytes + addresses.length * bytes.length,
    };
  }

  private countReceived(bytes: number): void {
    this.totals = {
      ...this.totals,
      receivedDatagrams: this.totals.receivedDatagrams + 1,
      receivedBytes: this.totals.receivedBytes + bytes,
    };
  }

  close(): void {
    this.socket.close();
  }
}
