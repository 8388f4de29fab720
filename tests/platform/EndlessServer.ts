/**
 * A server that sends one response without end to each connection, as fast as the gateway takes it. It runs in a thread
 * of its own, so that its work isn't taken for that of the gateway.
 */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {Worker, isMainThread, parentPort, workerData} from 'node:worker_threads';

const BLOCK_BYTES = 65_536;

/** Bytes that the server sends: `head` once, and then `repeated` without end. */
export interface EndlessResponse {
  readonly head: string;
  readonly repeated: string;
}

/** What the thread says: the port, when it listens, and the bytes taken from it, when it stops. */
type ThreadMessage =
  | {readonly kind: 'listening'; readonly port: number}
  | {readonly kind: 'stopped'; readonly takenBytes: number};

/** Handle of a server in its thread. */
export class EndlessServer {
  readonly port: number;
  private readonly worker: Worker;

  private constructor(worker: Worker, port: number) {
    this.worker = worker;
    this.port = port;
  }

  /** Starts the thread; returns when the server listens. */
  static async start(response: EndlessResponse): Promise<EndlessServer> {
    const worker = new Worker(new URL(import.meta.url), {workerData: response});
    const message = await receiveMessage(worker);
    if (message.kind !== 'listening') throw new Error(`unexpected message ${message.kind}`);
    return new EndlessServer(worker, message.port);
  }

  /** Closes all connections and ends the thread; returns the bytes that the gateway has taken. */
  async stop(): Promise<number> {
    this.worker.postMessage('stop');
    const message = await receiveMessage(this.worker);
    await this.worker.terminate();
    return message.kind === 'stopped' ? message.takenBytes : NaN;
  }
}

function receiveMessage(worker: Worker): Promise<ThreadMessage> {
  return new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

/** Serves until the main thread says that it should stop. */
function serve({head, repeated}: EndlessResponse): void {
  const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)));
  const sockets = new Set<Socket>();
  let takenBytes = 0;
  const sendBlock = (socket: Socket) => {
    if (socket.destroyed) return;
    socket.write(block, error => {
      if (error) return;
      takenBytes += block.length;
      setImmediate(() => sendBlock(socket));
    });
  };
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(head);
      sendBlock(socket);
    });
  });
  const say = (message: ThreadMessage) => parentPort?.postMessage(message);
  server.listen(0, '127.0.0.1', () =>
    say({kind: 'listening', port: (server.address() as AddressInfo).port}),
  );
  parentPort?.once('message', () => {
    server.close();
    for (const socket of sockets) socket.destroy();
    say({kind: 'stopped', takenBytes});
  });
}

if (!isMainThread) serve(workerData as EndlessResponse);
