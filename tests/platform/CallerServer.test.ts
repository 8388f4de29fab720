/** Tests of `CallerServer` with callers that write raw bytes, in front of a gateway that records its requests. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import type {CallerBounds} from '../../platform/CallerBounds.js';
import {CallerServer} from '../../platform/CallerServer.js';
import type {ResponseSink, ServingRequest} from '../../src/exchange/index.js';
import type {Gateway} from '../../src/gateway/index.js';
import {silentEvents} from '../../src/logging/index.js';

interface AcceptedRequest {
  readonly request: ServingRequest;
  readonly sink: ResponseSink;
  isAbandoned: boolean;
}

interface StartedServer {
  readonly port: number;
  readonly callers: CallerServer;
  readonly accepted: AcceptedRequest[];
  /** Reasons of refusals. */
  readonly refused: string[];
}

const WAIT_MS = 2_000;
const POLL_MS = 5;
const HEAD_CHECK_INTERVAL_MS = 50;
/** Loop turns after which a request that is served at all has been passed to the gateway. */
const SETTLE_MS = 100;

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function startServer(t: Test, bounds?: CallerBounds): Promise<StartedServer> {
  const accepted: AcceptedRequest[] = [];
  const refused: string[] = [];
  const gateway = {
    isLeaving: false,
    accept: (request: ServingRequest, sink: ResponseSink) => {
      const entry = {request, sink, isAbandoned: false};
      accepted.push(entry);
      return {abandon: () => (entry.isAbandoned = true)};
    },
  };
  const callers = new CallerServer({
    gateway: gateway as unknown as Gateway,
    events: silentEvents,
    getNowMs: () => performance.now(),
    headCheckIntervalMs: HEAD_CHECK_INTERVAL_MS,
    bounds,
    onRefused: reason => refused.push(reason),
  });
  const port = await findFreePort();
  await callers.listen(`127.0.0.1:${port}`);
  t.teardown(() => callers.close());
  return {port, callers, accepted, refused};
}

async function openConnection(t: Test, port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  await new Promise<void>(resolve => socket.once('connect', resolve));
  return socket;
}

function wait(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function waitFor(check: () => boolean): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS;
  while (!check()) {
    if (performance.now() > endAtMs) throw new Error('the condition did not become true in time');
    await wait(POLL_MS);
  }
}

const REQUEST =
  'POST /a/1 HTTP/1.1\r\nhost: h\r\nx-buckthorngw-attempt-id: q1\r\ncontent-length: 2\r\n\r\nhi';

/** A head that isn't complete within the time limit, and bytes that are no request. */
const UNREADABLE = [
  {name: 'an incomplete request', bytes: 'GET /a/2 HTT'},
  {name: 'bytes that are no request', bytes: 'hello\r\n\r\n'},
];

t.test('CallerServer', t => {
  // Node.js wrote 408 or 400 for the second one, as if it were the response to the first, which was running.
  for (const {name, bytes} of UNREADABLE) {
    t.test(`answers a request that is followed by ${name}, and then closes`, async t => {
      const {port, accepted, callers} = await startServer(t);
      callers.setLimits({
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: HEAD_CHECK_INTERVAL_MS,
        idleTimeoutMs: WAIT_MS,
      });
      const socket = await openConnection(t, port);
      let received = '';
      let isClosed = false;
      socket.on('data', data => (received += String(data)));
      socket.on('close', () => (isClosed = true));
      socket.write(REQUEST + bytes);
      await waitFor(() => accepted.length === 1);
      await wait(SETTLE_MS + 4 * HEAD_CHECK_INTERVAL_MS);
      t.equal(received, '', 'nothing is written before the response');
      t.notOk(accepted[0].isAbandoned);
      accepted[0].sink.start(200, {'content-length': '4'});
      accepted[0].sink.write(Buffer.from('done'));
      accepted[0].sink.end();
      await waitFor(() => isClosed);
      t.match(received, /^HTTP\/1.1 200 OK\r\n[^]*\r\n\r\ndone$/);
      t.equal(callers.openExchanges, 0);
    });

    t.test(`answers ${name} alone with an error`, async t => {
      const {port, callers} = await startServer(t);
      callers.setLimits({
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: HEAD_CHECK_INTERVAL_MS,
        idleTimeoutMs: WAIT_MS,
      });
      const socket = await openConnection(t, port);
      let received = '';
      let isClosed = false;
      socket.on('data', data => (received += String(data)));
      socket.on('close', () => (isClosed = true));
      socket.write(bytes);
      await waitFor(() => isClosed);
      t.match(received, /^HTTP\/1.1 4(00 Bad Request|08 Request Timeout)\r\n/);
    });
  }

  t.test('passes a request on with its body', async t => {
    const {port, accepted} = await startServer(t);
    const socket = await openConnection(t, port);
    socket.write(REQUEST);
    await waitFor(() => accepted.length === 1);
    t.equal(accepted[0].request.body.toString(), 'hi');
    t.equal(accepted[0].isAbandoned, false);
  });

  for (const how of ['closed', 'reset'] as const) {
    t.test(`never passes on a request whose caller has ${how} before it was read`, async t => {
      const {port, accepted} = await startServer(t);
      const sockets = await Promise.all([1, 2, 3, 4].map(() => openConnection(t, port)));
      // Written and ended in one turn of the loop, so that the server finds both when it polls.
      for (const socket of sockets) {
        socket.write(REQUEST);
        if (how === 'closed') socket.destroy();
        else socket.resetAndDestroy();
      }
      await wait(SETTLE_MS);
      t.same(accepted, []);
    });
  }

  t.test('abandons a request whose caller leaves later', async t => {
    const {port, accepted} = await startServer(t);
    const socket = await openConnection(t, port);
    socket.write(REQUEST);
    await waitFor(() => accepted.length === 1);
    socket.destroy();
    await waitFor(() => accepted[0].isAbandoned);
  });

  // Node.js reports the end of a connection only to the first response; the others were kept, and ran, for ever.
  t.test('abandons all requests of a connection whose caller leaves', async t => {
    const {port, accepted, callers} = await startServer(t);
    const socket = await openConnection(t, port);
    socket.write(REQUEST.repeat(3));
    await waitFor(() => accepted.length === 3);
    socket.destroy();
    await waitFor(() => accepted.every(({isAbandoned}) => isAbandoned));
    t.equal(callers.openExchanges, 0);
    t.equal(callers.incomingBytes, 0);
  });

  t.test('closes a connection with too many requests before the first response', async t => {
    const {port, callers, refused} = await startServer(t);
    const socket = await openConnection(t, port);
    let isClosed = false;
    socket.on('close', () => (isClosed = true));
    socket.write(REQUEST.repeat(17));
    await waitFor(() => isClosed);
    t.same(refused, ['too-many-pipelined']);
    await waitFor(() => callers.openExchanges === 0 && callers.openConnections === 0);
  });

  const HEAD = 'POST /a/1 HTTP/1.1\r\nhost: h\r\nx-buckthorngw-attempt-id: q7\r\n';
  for (const {name, bytes, expected, reason} of [
    {
      name: 'an announced body above the limit',
      bytes: `${HEAD}content-length: 1001\r\n\r\n`,
      expected: /^HTTP\/1.1 413 .*\r\nx-buckthorngw-attempt-id: q7\r\n/,
      reason: 'body-too-large',
    },
    {
      name: 'a body above the limit',
      bytes: `${HEAD}transfer-encoding: chunked\r\n\r\n3e9\r\n${'x'.repeat(1_001)}`,
      expected: /^HTTP\/1.1 413 .*\r\nx-buckthorngw-attempt-id: q7\r\n/,
      reason: 'body-too-large',
    },
    {
      name: 'a body that stops until the deadline',
      bytes: `${HEAD}x-buckthorngw-deadline-ms: 300\r\ncontent-length: 9\r\n\r\nhi`,
      expected: /^HTTP\/1.1 408 .*\r\nx-buckthorngw-attempt-id: q7\r\n/,
      reason: 'body-late',
    },
  ]) {
    t.test(`answers ${name}, and closes without reading on`, async t => {
      const {port, accepted, callers, refused} = await startServer(t);
      callers.setLimits({
        maxHeaderBytes: 1_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: WAIT_MS,
        idleTimeoutMs: WAIT_MS,
      });
      const socket = await openConnection(t, port);
      let received = '';
      let isClosed = false;
      socket.on('data', data => (received += String(data)));
      socket.on('close', () => (isClosed = true));
      socket.write(bytes);
      await waitFor(() => isClosed);
      t.match(received, expected);
      t.same(refused, [reason]);
      await waitFor(() => callers.openConnections === 0);
      t.equal(callers.incomingBytes, 0);
      t.same(accepted, []);
    });
  }

  t.test('refuses requests beyond those that may run, as not run', async t => {
    const {port, accepted, refused} = await startServer(t, {
      maxIncomingBytes: 1_000_000,
      maxConnections: 1,
    });
    const socket = await openConnection(t, port);
    let received = '';
    socket.on('data', data => (received += String(data)));
    socket.write(REQUEST.repeat(2));
    await waitFor(() => refused.length === 1);
    t.same(refused, ['too-many-running']);
    t.equal(accepted.length, 1);
    accepted[0].sink.start(200, {'content-length': '0'});
    accepted[0].sink.end();
    await waitFor(() => received.includes('HTTP/1.1 503 '));
    t.match(received, /^HTTP\/1.1 200 OK\r\n[^]*HTTP\/1.1 503 [^]*\r\nretry-after: 1.00\r\n/i);
  });

  t.end();
});
