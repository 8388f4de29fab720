/** Connections that send prepared bytes to a gateway as fast as it reads them, and then stay open. */
import {connect, type Socket} from 'node:net';

/** The bytes that one connection sends. */
export interface HostileBytes {
  readonly first: Buffer;
  /** Sent `count` times after `first`. */
  readonly repeated: Buffer;
  readonly count: number;
  /** Sent at the end; nothing if undefined. */
  readonly last?: Buffer;
}

/** Where a crowd comes from and what it sends. */
export interface HostileCrowdOptions {
  readonly ip: string;
  readonly port: number;
  readonly connections: number;
  /** Address of the callers; chosen by the operating system if undefined. */
  readonly sourceIp?: string;
  readonly bytes: HostileBytes;
  /** Opens a new connection for each one that the gateway closes. */
  readonly reconnects?: boolean;
}

const NO_BYTES = Buffer.alloc(0);
const POLL_MS = 50;
/** Pause before a closed connection is replaced, so that the crowd's own process keeps up. */
const RECONNECT_DELAY_MS = 20;

/** Callers of one kind. Their responses are read and dropped. */
export class HostileCrowd {
  private readonly options: HostileCrowdOptions;
  private readonly sockets = new Set<Socket>();
  private sending = 0;
  private isStopped = false;
  /** Connections that the gateway has closed. */
  closed = 0;
  /** Beginnings of the responses, each counted, by status line. */
  readonly statuses = new Map<string, number>();

  constructor(options: HostileCrowdOptions) {
    this.options = options;
    for (let index = 0; index < options.connections; index += 1) this.open();
  }

  /** Resolves when every connection has sent everything or is closed, or after `maxMs`. */
  async play(maxMs: number): Promise<void> {
    const endAtMs = Date.now() + maxMs;
    while (this.sending > 0 && Date.now() < endAtMs) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    this.isStopped = true;
  }

  /** Closes all connections. */
  close(): void {
    this.isStopped = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private open(): void {
    const {ip, port, sourceIp} = this.options;
    const socket = connect({host: ip, port, localAddress: sourceIp, allowHalfOpen: false});
    this.sockets.add(socket);
    this.sending += 1;
    let isSending = true;
    const endSending = () => {
      if (!isSending) return;
      isSending = false;
      this.sending -= 1;
    };
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => this.countStatus(data));
    socket.on('connect', () => this.send(socket, endSending));
    socket.on('close', () => {
      this.sockets.delete(socket);
      endSending();
      if (this.isStopped) return;
      this.closed += 1;
      if (this.options.reconnects) {
        setTimeout(() => !this.isStopped && this.open(), RECONNECT_DELAY_MS);
      }
    });
  }

  private send(socket: Socket, onSent: () => void): void {
    const {first, repeated, count, last = NO_BYTES} = this.options.bytes;
    let left = count;
    socket.write(first);
    const sendMore = () => {
      while (left > 0 && !this.isStopped && !socket.destroyed) {
        left -= 1;
        if (!socket.write(repeated)) {
          socket.once('drain', sendMore);
          return;
        }
      }
      if (left === 0) socket.write(last, onSent);
    };
    sendMore();
  }

  private countStatus(data: Buffer): void {
    const [status] = /^HTTP\/1\.1 \d+/.exec(data.toString('latin1', 0, 16)) ?? [];
    if (status !== undefined) this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
  }
}
