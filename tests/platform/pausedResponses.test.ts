/** Responses whose server is paused because the caller doesn't take them: nothing is lost, kept or thrown. */
import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {BackendConnections} from '../../platform/BackendConnections.js';
import type {BackendAttempt} from '../../src/exchange/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, createServer as createEntry} from '../exchange/exchangeFixtures.js';

const KIB = 1_024;
const BODY_BYTES = 8 * KIB * KIB;
/** More than the buffers of a connection that isn't read hold, besides those of the system. */
const MAX_UNREAD_BYTES = 256 * KIB;
const WAIT_MS = 10_000;
const SETTLE_MS = 200;
const SIGNED = 'x-buckthorngw-attempt-id: q1\r\nx-buckthorngw-replica-stamp: s\r\n';

/** How the server marks the end of a response. */
type Framing = 'length' | 'chunks' | 'close';
/** How the server ends its connection while the response is paused. */
type Ending = 'end' | 'reset';

const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'close'];

/** The response to one request, of which nothing is read after the first bytes until it is resumed. */
class PausedExchange {
  receivedBytes = 0;
  isPausing = true;
  outcome: 'open' | 'ended' | 'failed' = 'open';
  private attempt: BackendAttempt | undefined;
  private readonly port: number;
  private readonly connections = new BackendConnections(silentEvents, () => performance.now());

  constructor(port: number) {
    this.port = port;
    this.sendAgain();
  }

  /** Sends the request, the second time on the same connection if that is open. */
  sendAgain(): void {
    this.outcome = 'open';
    const known = createEntry('s1');
    this.attempt = this.connections.send(
      {
        request: REQUEST,
        server: {...known, entry: {...known.entry, address: `127.0.0.1:${this.port}`}},
        workspace: 'w',
        deadlineMs: WAIT_MS,
        priority: 2,
        isStream: true,
        resumeAfterEventId: undefined,
        maxConnections: 4,
      },
      {
        onHead: () => undefined,
        onData: chunk => {
          this.receivedBytes += chunk.length;
          if (this.isPausing) this.attempt?.pause();
        },
        onEnd: () => (this.outcome = 'ended'),
        onFailure: () => (this.outcome = 'failed'),
      },
    );
  }

  resume(): void {
    this.isPausing = false;
    this.attempt?.resume();
  }

  /** Reads a little more, and pauses again. */
  readOnce(): void {
    this.attempt?.resume();
  }

  cancel(): void {
    this.attempt?.cancel();
  }

  close(): void {
    this.connections.removeServers(() => false);
  }
}

async function waitFor(check: () => boolean): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS;
  while (!check()) {
    if (performance.now() > endAtMs) throw new Error('the condition did not become true in time');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

async function listen(t: Test, respond: (socket: Socket) => void): Promise<number> {
  const server: Server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

function frame(framing: Framing, body: Buffer): Buffer {
  const fields = {
    length: `content-length: ${body.length}\r\n`,
    chunks: 'transfer-encoding: chunked\r\nconnection: close\r\n',
    close: '',
  }[framing];
  const head = Buffer.from(`HTTP/1.1 200 OK\r\n${SIGNED}${fields}\r\n`);
  if (framing !== 'chunks') return Buffer.concat([head, body]);
  const size = Buffer.from(`${body.length.toString(16)}\r\n`);
  return Buffer.concat([head, size, body, Buffer.from('\r\n0\r\n\r\n')]);
}

t.test('a paused response', async t => {
  for (const framing of FRAMINGS) {
    t.test(`whose end is marked by ${framing} is read no further, and then in full`, async t => {
      const port = await listen(t, socket =>
        socket.end(frame(framing, Buffer.alloc(BODY_BYTES, 'x'))),
      );
      const exchange = new PausedExchange(port);
      await waitFor(() => exchange.receivedBytes > 0);
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
      t.ok(exchange.receivedBytes < MAX_UNREAD_BYTES, `${exchange.receivedBytes} bytes`);
      const before = exchange.receivedBytes;
      exchange.readOnce();
      await waitFor(() => exchange.receivedBytes > before);
      t.ok(exchange.receivedBytes < 2 * MAX_UNREAD_BYTES, `${exchange.receivedBytes} bytes`);
      exchange.resume();
      await waitFor(() => exchange.outcome !== 'open');
      t.equal(exchange.outcome, 'ended');
      t.equal(exchange.receivedBytes, BODY_BYTES);
      exchange.close();
    });

    // The pause of the HTTP client's own parser throws outside of every call when the connection ends.
    for (const ending of ['end', 'reset'] satisfies readonly Ending[]) {
      for (const bodyBytes of [10, BODY_BYTES]) {
        t.test(`of ${bodyBytes} bytes by ${framing} survives a server's ${ending}`, async t => {
          const sockets: Socket[] = [];
          const port = await listen(t, socket => {
            sockets.push(socket);
            const bytes = frame(framing, Buffer.alloc(bodyBytes, 'x'));
            socket.write(bytes.subarray(0, bytes.length - 1));
          });
          const exchange = new PausedExchange(port);
          await waitFor(() => exchange.receivedBytes > 0);
          for (const socket of sockets) {
            if (ending === 'end') socket.end();
            else socket.resetAndDestroy();
          }
          await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
          exchange.resume();
          await waitFor(() => exchange.outcome !== 'open');
          const isWhole = framing === 'close' && ending === 'end';
          t.equal(exchange.outcome, isWhole ? 'ended' : 'failed');
          exchange.close();
        });
      }
    }

    if (framing === 'length') {
      t.test('that ends in the bytes that were read leaves its connection open', async t => {
        const whole = frame(framing, Buffer.alloc(10, 'x'));
        const port = await listen(t, socket => {
          socket.on('data', () => socket.write(whole));
          socket.write(whole);
        });
        const exchange = new PausedExchange(port);
        await waitFor(() => exchange.outcome !== 'open');
        t.equal(exchange.outcome, 'ended');
        exchange.sendAgain();
        await waitFor(() => exchange.outcome !== 'open');
        t.equal(exchange.outcome, 'ended', 'the next response on it is read');
        t.equal(exchange.receivedBytes, 20);
        exchange.close();
      });

      t.test('that is followed by bytes of no response ends regularly', async t => {
        const whole = frame(framing, Buffer.alloc(10, 'x'));
        const rest = Buffer.alloc(BODY_BYTES, 'y');
        const port = await listen(t, socket => socket.write(Buffer.concat([whole, rest])));
        const exchange = new PausedExchange(port);
        await waitFor(() => exchange.outcome !== 'open');
        t.equal(exchange.outcome, 'ended');
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        t.equal(exchange.receivedBytes, 10);
        exchange.close();
      });
    }

    t.test(`whose end is marked by ${framing} can be cancelled`, async t => {
      let isClosed = false;
      const port = await listen(t, socket => {
        socket.once('close', () => (isClosed = true));
        socket.write(frame(framing, Buffer.alloc(BODY_BYTES, 'x')).subarray(0, -1));
      });
      const exchange = new PausedExchange(port);
      await waitFor(() => exchange.receivedBytes > 0);
      exchange.cancel();
      await waitFor(() => isClosed);
      exchange.resume();
      t.equal(exchange.outcome, 'open');
      exchange.close();
    });
  }
});
