/**
 * A gateway process that gets bytes without end from a faulty server: it neither keeps them nor ends, and goes on
 * serving the other callers. It runs as it is deployed, with the memory of the smallest machine.
 */
import {createServer as createHttpServer, request as httpRequest} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import t, {type Test} from 'tap';
import {EndlessServer, type EndlessResponse} from './EndlessServer.js';
import {
  GatewayProcess,
  OWN_IP,
  PORTS,
  addRecord,
  addServer,
  readDeployedNodeOptions,
  sendRequest,
} from './GatewayProcess.js';
import {StoreStandIn} from './StoreStandIn.js';

const MIB = 1_048_576;
/** Memory of the smallest machine. */
const MAX_MEMORY_BYTES = 350 * MIB;
/** Time for which the faulty server sends. */
const PLAY_MS = 4_000;
/** More than the buffers between the server, the gateway and the caller hold. */
const MAX_UNREAD_BYTES = 32 * MIB;
/** More than any response head, with the buffers of its connection. */
const MAX_HEAD_BYTES = 16 * MIB;
const CHECK_INTERVAL_MS = 50;
/** Time within which a caller of another service gets its response, while the gateway reads without end. */
const OTHER_CALLER_MS = 2_000;
const TIMEOUT_MS = 15_000;

const CALLER = {
  host: 'h.example',
  'x-buckthorngw-attempt-id': 'q1',
  'x-buckthorngw-deadline-ms': String(TIMEOUT_MS),
};
const STAMP = 'x-buckthorngw-attempt-id: q1\r\nx-buckthorngw-replica-stamp: s\r\n';
const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${STAMP}content-type: text/event-stream\r\n\r\n`;
const CHUNKED_HEAD = `HTTP/1.1 200 OK\r\n${STAMP}transfer-encoding: chunked\r\n\r\n`;

/** The gateway, the faulty server, and a sound server of another service. */
interface Setting {
  readonly gateway: GatewayProcess;
  readonly faulty: EndlessServer;
}

async function start(t: Test, response: EndlessResponse): Promise<Setting> {
  const store = new StoreStandIn();
  const faulty = await EndlessServer.start(response);
  const sound = createHttpServer((request, response) => {
    response.setHeader('x-buckthorngw-replica-stamp', 's');
    response.end('sound');
  });
  await new Promise<void>(resolve => sound.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    sound.closeAllConnections();
    sound.close();
  });
  const route = {host: 'h.example', timeout_ms: TIMEOUT_MS, service: 'faulty', attempts: 1};
  addRecord(store, 'keyed.op', 'config', {
    version: 1,
    routes: [
      {...route, name: 'stream', path_prefix: '/stream/', kind: 'stream'},
      {...route, name: 'plain', path_prefix: '/plain/', kind: 'unsafe'},
      {...route, name: 'sound', path_prefix: '/sound/', kind: 'safe', service: 'sound'},
    ],
    services: [
      {name: 'faulty', max_conns: 600},
      {name: 'sound', max_conns: 600},
    ],
  });
  addServer(store, 'i-1', 'faulty', faulty.port);
  addServer(store, 'i-2', 'sound', (sound.address() as AddressInfo).port);
  const nodeOptions = readDeployedNodeOptions();
  return {gateway: await GatewayProcess.start(t, {store, graceSeconds: 5, nodeOptions}), faulty};
}

/** Sends a request whose response is read as it comes, and dropped. Returns a function that closes the connection. */
function readEndlessly(path: string): () => void {
  const {traffic: port} = PORTS;
  const request = httpRequest({host: OWN_IP, port, path, headers: CALLER, agent: false});
  request.on('response', response => response.on('error', () => undefined).resume());
  request.on('error', () => undefined);
  request.end();
  return () => request.destroy();
}

/** Sends a request whose response is never read. Returns a function that closes the connection. */
function neverRead(path: string): () => void {
  const socket = connect({host: OWN_IP, port: PORTS.traffic});
  const fields = Object.entries(CALLER).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(`GET ${path} HTTP/1.1\r\n${fields.join('')}\r\n`);
  return () => socket.destroy();
}

/** What the other callers saw while a faulty server sent. */
interface OtherCallers {
  readonly served: number;
  readonly failures: readonly string[];
}

/** Sends requests to the sound service one after the other, until the time is over. */
async function callOthers(): Promise<OtherCallers> {
  const endAtMs = Date.now() + PLAY_MS;
  const failures: string[] = [];
  let served = 0;
  while (Date.now() < endAtMs && failures.length === 0) {
    const sentAtMs = Date.now();
    const response = await sendRequest(PORTS.traffic, '/sound/1', CALLER).catch(String);
    const tookMs = Date.now() - sentAtMs;
    if (typeof response === 'string') failures.push(response);
    else if (response.status !== 200) failures.push(`status ${response.status}`);
    else if (tookMs > OTHER_CALLER_MS) failures.push(`${tookMs} ms`);
    else served += 1;
    await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
  return {served, failures};
}

interface EndlessCase {
  readonly name: string;
  readonly path: string;
  readonly response: EndlessResponse;
  readonly call: (path: string) => () => void;
  readonly callers: number;
  /** Most bytes that the gateway may take from the server; undefined if its callers read them. */
  readonly maxTakenBytes: number | undefined;
}

const EVENT = `data: ${'x'.repeat(1_000)}\n\n`;
const CASES: readonly EndlessCase[] = [
  {
    name: 'the shortest events, to a caller that reads them',
    path: '/stream/1',
    response: {head: STREAM_HEAD, repeated: ':\n\n'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: undefined,
  },
  {
    name: 'the shortest events, to a caller that does not read',
    path: '/stream/1',
    response: {head: STREAM_HEAD, repeated: ':\n\n'},
    call: neverRead,
    callers: 1,
    maxTakenBytes: MAX_UNREAD_BYTES,
  },
  {
    name: 'a fast stream, to a caller that does not read',
    path: '/stream/1',
    response: {head: STREAM_HEAD, repeated: EVENT},
    call: neverRead,
    callers: 1,
    maxTakenBytes: MAX_UNREAD_BYTES,
  },
  {
    name: 'an event in chunks of one byte',
    path: '/stream/1',
    response: {head: CHUNKED_HEAD, repeated: '1\r\nx\r\n'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: MAX_UNREAD_BYTES,
  },
  {
    name: 'a body in chunks of one byte',
    path: '/plain/1',
    response: {head: CHUNKED_HEAD, repeated: '1\r\nx\r\n'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: 2 * MAX_UNREAD_BYTES,
  },
  {
    name: 'bodies of many requests at once',
    path: '/plain/1',
    response: {head: `HTTP/1.1 200 OK\r\n${STAMP}\r\n`, repeated: EVENT},
    call: readEndlessly,
    callers: 120,
    maxTakenBytes: undefined,
  },
  {
    name: 'a reason phrase',
    path: '/plain/1',
    response: {head: 'HTTP/1.1 200 ', repeated: 'x'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: MAX_HEAD_BYTES,
  },
  {
    name: 'header fields',
    path: '/plain/1',
    response: {head: 'HTTP/1.1 200 OK\r\n', repeated: 'x: y\r\n'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: MAX_HEAD_BYTES,
  },
  {
    name: 'responses that announce a response',
    path: '/plain/1',
    response: {head: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: MAX_HEAD_BYTES,
  },
  {
    name: 'an extension of a chunk',
    path: '/stream/1',
    response: {head: `${CHUNKED_HEAD}5;`, repeated: 'x'},
    call: readEndlessly,
    callers: 1,
    maxTakenBytes: MAX_HEAD_BYTES,
  },
];

// A gateway kept whatever a faulty server sent, ran out of memory, and the requests of all its callers ended with it.
t.test('a server that sends without end', async t => {
  for (const {name, path, response, call, callers, maxTakenBytes} of CASES) {
    await t.test(name, async t => {
      const {gateway, faulty} = await start(t, response);
      const closes = Array.from({length: callers}, () => call(path));
      const {served, failures} = await callOthers();
      const takenBytes = await faulty.stop();
      for (const close of closes) close();
      t.same(failures, [], 'other callers are served');
      t.ok(served > 0);
      t.ok(takenBytes > 0, 'the server has sent');
      if (maxTakenBytes !== undefined) {
        t.ok(takenBytes <= maxTakenBytes, `${takenBytes} bytes were taken`);
      }
      t.ok(gateway.isRunning, gateway.getOutput().slice(-1_000));
      const peakBytes = gateway.isRunning ? gateway.getPeakMemoryBytes() : Infinity;
      t.ok(peakBytes < MAX_MEMORY_BYTES, `${peakBytes} bytes of memory`);
      t.comment(`${served} served, ${takenBytes} bytes taken, ${peakBytes} bytes of memory`);
    });
  }
});
