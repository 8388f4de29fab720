/**
 * A gateway process that gets requests from hostile callers: it stays within the memory and the descriptors of its
 * machine, and goes on answering ordinary callers. It runs as it is deployed, with one kind of hostile caller at a time.
 */
import {createServer as createHttpServer, request as httpRequest} from 'node:http';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {
  GatewayProcess,
  OWN_IP,
  PORTS,
  addRecord,
  addServer,
  readDeployedNodeOptions,
  type ProcessLimits,
} from './GatewayProcess.js';
import {HostileCrowd, type HostileBytes} from './HostileCrowd.js';
import {StoreStandIn} from './StoreStandIn.js';

const MIB = 1_048_576;
/** The smallest machine in use. */
const SMALLEST_MACHINE: ProcessLimits = {memory_mb: 210, max_fds: 2_212};
const CONNECTIONS = 200;
/** Longest time for which a crowd sends; shorter if it has sent everything. */
const PLAY_MS = 8_000;
/** An ordinary caller tries again until this time has passed, as one that gets a 503 does. */
const ORDINARY_CALLER_MS = 15_000;
const RETRY_DELAY_MS = 200;
const SAMPLE_INTERVAL_MS = 100;
const TIMEOUT_MS = 15_000;
const HOSTILE_SOURCE = '127.0.0.2';
const ORDINARY_SOURCE = '127.0.0.3';
const MAX_HEADER_BYTES = 16_384;
const MAX_BODY_BYTES = 4_194_304;
/** Body limit of the crowds in one-byte chunks, which otherwise don't come near their end in `PLAY_MS`. */
const SMALL_MAX_BODY_BYTES = 65_536;

const FIELDS = `host: h.example\r\nx-buckthorngw-attempt-id: q1\r\nx-buckthorngw-deadline-ms: ${TIMEOUT_MS}\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n';

function createHead(method: string, path: string, fields: string): string {
  return `${method} ${path} HTTP/1.1\r\n${FIELDS}${fields}`;
}

/** Head of legal size, whose remaining bytes are filled with header lines. */
function fillHead(path: string, createLine: (index: number) => string): string {
  let head = createHead('GET', path, '');
  for (let index = 0; ; index += 1) {
    const line = createLine(index);
    if (head.length + line.length + 2 > MAX_HEADER_BYTES) return head;
    head += line;
  }
}

const NO_BYTES = Buffer.alloc(0);
const SHORT_LINES = fillHead('/slow/1', () => 'a:b\r\n');
/** Names that differ in odd characters, without a value. */
const ODD_LINES = fillHead('/slow/1', index => `!#$%&'*${index.toString(36)}|~:\r\n`);
const CHUNK_BYTES = 65_536;
const LARGE_CHUNK = Buffer.from(
  `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`,
  'latin1',
);
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(1_024));
const PLAIN_BYTES = Buffer.alloc(65_536, 'x');
const PIPELINED = Buffer.from(`${createHead('GET', '/slow/1', '')}\r\n`.repeat(100));

interface HostileCase {
  readonly name: string;
  readonly bytes: HostileBytes;
  readonly limits?: ProcessLimits;
  readonly connections?: number;
  readonly maxBodyBytes?: number;
  readonly reconnects?: boolean;
}

const CASES: readonly HostileCase[] = [
  {
    name: 'many short header lines',
    bytes: {first: NO_BYTES, repeated: Buffer.from(`${SHORT_LINES}\r\n`), count: 10},
  },
  {
    name: 'many short header lines without an end',
    bytes: {first: Buffer.from(SHORT_LINES), repeated: NO_BYTES, count: 0},
    connections: 300,
  },
  {
    name: 'odd header lines',
    bytes: {first: NO_BYTES, repeated: Buffer.from(`${ODD_LINES}\r\n`), count: 5},
  },
  {
    name: 'bodies in large chunks that stop one byte short',
    bytes: {
      first: Buffer.from(`${createHead('POST', '/sound/1', CHUNKED)}\r\n`),
      repeated: LARGE_CHUNK,
      count: MAX_BODY_BYTES / CHUNK_BYTES - 1,
      last: LARGE_CHUNK.subarray(0, -3),
    },
  },
  {
    name: 'bodies in chunks of one byte that stop one byte short',
    bytes: {
      first: Buffer.from(`${createHead('POST', '/sound/1', CHUNKED)}\r\n`),
      repeated: ONE_BYTE_CHUNKS,
      count: SMALL_MAX_BODY_BYTES / 1_024 - 1,
      last: ONE_BYTE_CHUNKS.subarray(0, -6),
    },
    maxBodyBytes: SMALL_MAX_BODY_BYTES,
  },
  {
    name: 'bodies with a content length that stop short',
    bytes: {
      first: Buffer.from(
        `${createHead('POST', '/sound/1', `content-length: ${MAX_BODY_BYTES}\r\n`)}\r\n`,
      ),
      repeated: PLAIN_BYTES,
      count: MAX_BODY_BYTES / PLAIN_BYTES.length - 1,
      last: PLAIN_BYTES.subarray(1),
    },
  },
  {
    name: 'bodies that announce more than the limit',
    bytes: {
      first: Buffer.from(
        `${createHead('POST', '/sound/1', `content-length: ${64 * MIB}\r\n`)}\r\n`,
      ),
      repeated: PLAIN_BYTES,
      count: (64 * MIB) / PLAIN_BYTES.length - 1,
    },
    reconnects: true,
  },
  {
    name: 'bodies above the limit without an announcement',
    bytes: {
      first: Buffer.from(`${createHead('POST', '/sound/1', CHUNKED)}\r\n`),
      repeated: LARGE_CHUNK,
      count: (64 * MIB) / CHUNK_BYTES,
    },
    reconnects: true,
  },
  {
    name: 'many pipelined requests before the first response',
    bytes: {first: NO_BYTES, repeated: PIPELINED, count: 20},
  },
  {
    name: 'connections without a request',
    bytes: {first: NO_BYTES, repeated: NO_BYTES, count: 0},
    connections: 300,
    limits: {memory_mb: 210, max_fds: 260},
  },
];

/** The gateway, and a count of the descriptors that its process has open. */
interface Setting {
  readonly gateway: GatewayProcess;
  readonly limits: ProcessLimits;
  readonly getMaxDescriptors: () => number;
}

async function start(
  t: Test,
  limits: ProcessLimits,
  maxBodyBytes = MAX_BODY_BYTES,
): Promise<Setting> {
  const store = new StoreStandIn();
  const sound = createHttpServer((request, response) => {
    let bytes = 0;
    request.on('data', (chunk: Buffer) => (bytes += chunk.length));
    request.on('end', () => {
      response.setHeader('x-buckthorngw-replica-stamp', 's');
      response.end(String(bytes));
    });
  });
  await new Promise<void>(resolve => sound.listen(0, '127.0.0.1', resolve));
  const slowSockets = new Set<Socket>();
  const slow = createServer(socket => {
    slowSockets.add(socket.resume().on('error', () => undefined));
  });
  await new Promise<void>(resolve => slow.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    sound.closeAllConnections();
    sound.close();
    for (const socket of slowSockets) socket.destroy();
    slow.close();
  });
  const route = {host: 'h.example', timeout_ms: TIMEOUT_MS, kind: 'unsafe', attempts: 1};
  addRecord(store, 'keyed.op', 'config', {
    version: 1,
    routes: [
      {...route, name: 'sound', path_prefix: '/sound/', service: 'sound'},
      {...route, name: 'slow', path_prefix: '/slow/', service: 'slow'},
    ],
    services: [
      {name: 'sound', max_conns: 600},
      {name: 'slow', max_conns: 600},
    ],
    limits: {max_body_bytes: maxBodyBytes},
  });
  addServer(store, 'i-1', 'sound', (sound.address() as AddressInfo).port);
  addServer(store, 'i-2', 'slow', (slow.address() as AddressInfo).port);
  const nodeOptions = readDeployedNodeOptions();
  const gateway = await GatewayProcess.start(t, {store, graceSeconds: 5, nodeOptions, limits});
  let maxDescriptors = 0;
  const sample = () => (maxDescriptors = Math.max(maxDescriptors, gateway.sampleUse()));
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  t.teardown(() => clearInterval(timer));
  return {gateway, limits, getMaxDescriptors: sample};
}

/** Sends a body and returns the response, as `STATUS BODY`, or the error. */
function sendOnce(sourceIp: string | undefined, chunks: Iterable<Buffer>): Promise<string> {
  return new Promise(resolve => {
    const request = httpRequest(
      {
        host: OWN_IP,
        port: PORTS.traffic,
        localAddress: sourceIp,
        method: 'POST',
        path: '/sound/1',
        headers: {
          host: 'h.example',
          'x-buckthorngw-attempt-id': 'q1',
          'x-buckthorngw-deadline-ms': String(TIMEOUT_MS),
        },
        agent: false,
        timeout: ORDINARY_CALLER_MS,
      },
      response => {
        let body = '';
        response.on('data', data => (body += String(data)));
        response.on('error', error => resolve(String(error)));
        response.on('end', () => resolve(`${response.statusCode} ${body}`));
      },
    );
    request.on('error', error => resolve(String(error)));
    request.on('timeout', () => request.destroy(new Error('no response in time')));
    for (const chunk of chunks) request.write(chunk);
    request.end();
  });
}

/** Sends one ordinary request, again if it is refused; returns the last response. */
async function sendOrdinary(sourceIp?: string): Promise<string> {
  const endAtMs = Date.now() + ORDINARY_CALLER_MS;
  for (;;) {
    const response = await sendOnce(sourceIp, [Buffer.from('hello')]);
    if (response.startsWith('200 ') || Date.now() > endAtMs) return response;
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
  }
}

function checkProcess(t: Test, {gateway, limits, getMaxDescriptors}: Setting): void {
  t.ok(gateway.isRunning, `the process is running\n${gateway.getOutput().slice(-1_000)}`);
  const descriptors = getMaxDescriptors();
  const peakMb = Math.round(gateway.getPeakMemoryBytes() / MIB);
  t.ok(peakMb < limits.memory_mb, `${peakMb} MB of memory, ${limits.memory_mb} MB allowed`);
  t.ok(descriptors < limits.max_fds, `${descriptors} descriptors, ${limits.max_fds} allowed`);
  t.comment(`${peakMb} MB, ${descriptors} descriptors, running: ${gateway.isRunning}`);
}

function describeCrowd({closed, statuses}: HostileCrowd): string {
  return `${closed} closed, ${[...statuses].map(([status, count]) => `${status}: ${count}`).join()}`;
}

// A gateway kept what such callers sent, ran out of memory, and the requests of all its callers ended with it.
t.test('hostile callers', async t => {
  for (const {name, bytes, connections, limits, maxBodyBytes, reconnects} of CASES) {
    await t.test(name, async t => {
      const setting = await start(t, limits ?? SMALLEST_MACHINE, maxBodyBytes);
      const crowd = new HostileCrowd({
        ip: OWN_IP,
        port: PORTS.traffic,
        connections: connections ?? CONNECTIONS,
        bytes,
        reconnects,
      });
      t.teardown(() => crowd.close());
      await crowd.play(PLAY_MS);
      t.equal(await sendOrdinary(), '200 5', 'an ordinary request is answered');
      checkProcess(t, setting);
      t.comment(describeCrowd(crowd));
    });
  }

  await t.test('a crowd from one address beside a caller from another', async t => {
    const setting = await start(t, SMALLEST_MACHINE);
    const crowd = new HostileCrowd({
      ip: OWN_IP,
      port: PORTS.traffic,
      connections: CONNECTIONS,
      sourceIp: HOSTILE_SOURCE,
      bytes: {
        first: Buffer.from(`${createHead('POST', '/sound/1', CHUNKED)}\r\n`),
        repeated: LARGE_CHUNK,
        count: MAX_BODY_BYTES / CHUNK_BYTES - 1,
      },
      reconnects: true,
    });
    t.teardown(() => crowd.close());
    const [during] = await Promise.all([sendOrdinary(ORDINARY_SOURCE), crowd.play(PLAY_MS)]);
    t.equal(during, '200 5', 'the other caller is served while the crowd sends');
    t.equal(await sendOrdinary(ORDINARY_SOURCE), '200 5', 'and afterwards');
    checkProcess(t, setting);
    t.comment(describeCrowd(crowd));
  });

  // Guards against bounds that legal requests meet.
  for (const {bytes, chunkBytes} of [
    {bytes: MIB, chunkBytes: 1},
    {bytes: MAX_BODY_BYTES, chunkBytes: 16},
    {bytes: MAX_BODY_BYTES, chunkBytes: CHUNK_BYTES},
  ]) {
    const name = `a legal request of ${bytes} bytes in chunks of ${chunkBytes} is served`;
    await t.test(name, async t => {
      const setting = await start(t, SMALLEST_MACHINE, bytes);
      const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`);
      const perWrite = Math.max(1, Math.floor(CHUNK_BYTES / chunkBytes));
      const crowd = new HostileCrowd({
        ip: OWN_IP,
        port: PORTS.traffic,
        connections: 1,
        bytes: {
          first: Buffer.from(`${createHead('POST', '/sound/1', CHUNKED)}\r\n`),
          repeated: Buffer.concat(Array.from({length: perWrite}, () => chunk)),
          count: bytes / chunkBytes / perWrite,
          last: Buffer.from('0\r\n\r\n'),
        },
      });
      t.teardown(() => crowd.close());
      const endAtMs = Date.now() + TIMEOUT_MS;
      await crowd.play(TIMEOUT_MS);
      while (crowd.statuses.size === 0 && Date.now() < endAtMs) {
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
      }
      t.same([...crowd.statuses.keys()], ['HTTP/1.1 200']);
      checkProcess(t, setting);
    });
  }
});
