/** Tests of `EngineClient.isAlive` against TCP servers that respond, stall, close connections or are stopped. */
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import t from 'tap';
import type {BackendServer} from '../../src/blackboard/index.js';
import {EngineClient, type EngineCall} from '../../src/engine/index.js';

const ADDRESS = '127.0.0.1';
const REPORT_TIMEOUT_MS = 100;
const CONNECT_TIMEOUT_MS = 1_000;
const WAIT_MS = 20_000;
/** What a server sends at most; the client leaves it long before. */
const MAX_SENT_BYTES = 256 * 1_048_576;
const HEALTHY_RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';

/** Handles data that a server receives on a connection; connections are numbered from 0. */
type DataHandler = (socket: Socket, connection: number) => void;

async function listen(handleData: DataHandler): Promise<Server> {
  let connections = 0;
  const server = createServer(socket => {
    const connection = connections;
    connections += 1;
    socket.on('data', () => handleData(socket, connection));
    socket.on('error', () => undefined);
  });
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
  return server;
}

function toBackendServer(server: Server): BackendServer {
  const {port} = server.address() as AddressInfo;
  const location = {address: ADDRESS, port, failureDomain: 'a'};
  const identity = {instanceId: 'm-1', service: 'guidance', version: 'v1'};
  return {...identity, ...location, state: 'live', warmth: 'warm'};
}

t.test('EngineClient', t => {
  t.test('isAlive', t => {
    function doTest(name: string, handleData: DataHandler, isAlive: boolean, isClosed = false) {
      t.test(name, async t => {
        const server = await listen(handleData);
        const backend = toBackendServer(server);
        if (isClosed) await new Promise(resolve => server.close(resolve));
        const client = new EngineClient({
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          reportTimeoutMs: REPORT_TIMEOUT_MS,
        });
        t.teardown(async () => {
          await client.close();
          server.close();
        });
        // Leaves an idle connection in the pool if the server responds.
        await client.getReport(backend).catch(() => undefined);
        t.equal(await client.isAlive(backend), isAlive);
      });
    }

    doTest(
      'returns true for a server that responds',
      socket => socket.write(HEALTHY_RESPONSE),
      true,
    );
    doTest(
      'returns true for a server that accepts the connection but does not respond in time',
      () => undefined,
      true,
    );
    doTest(
      'returns true for a server whose earlier connection stalled',
      (socket, connection) => connection === 0 || socket.write(HEALTHY_RESPONSE),
      true,
    );
    doTest(
      'returns false for a server that closes the connection',
      socket => socket.destroy(),
      false,
    );
    doTest(
      'returns false for a server that has stopped',
      socket => socket.write(HEALTHY_RESPONSE),
      false,
      true,
    );
    t.end();
  });

  // Each of these kept what a server sent without end until the entry was out of memory.
  t.test('a server that sends without end', t => {
    const LINE = 'x'.repeat(65_536);
    const doTest = (
      name: string,
      head: string,
      call: (client: EngineClient, server: BackendServer) => Promise<unknown>,
    ) => {
      t.test(`is left in ${name}`, async t => {
        let sentBytes = 0;
        let isClosed = false;
        const server = await listen(socket => {
          socket.once('close', () => (isClosed = true));
          const send = () => {
            if (isClosed || sentBytes >= MAX_SENT_BYTES) return;
            sentBytes += LINE.length;
            socket.write(LINE, () => setImmediate(send));
          };
          socket.write(`${head}\r\n`);
          send();
        });
        const client = new EngineClient({
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          reportTimeoutMs: WAIT_MS,
        });
        t.teardown(async () => {
          await client.close();
          server.close();
        });
        await t.rejects(call(client, toBackendServer(server)));
        t.ok(sentBytes < MAX_SENT_BYTES, `${sentBytes} bytes were sent`);
      });
    };
    const call: Omit<EngineCall, 'server'> = {
      format: 'chat',
      requestId: 'r',
      attemptId: 'r.1',
      workspace: 'w',
      body: '{}',
      signal: AbortSignal.timeout(WAIT_MS),
    };
    const complete = async (client: EngineClient, server: BackendServer) => {
      for await (const event of client.streamCompletion({...call, server})) void event;
    };
    const OK = 'HTTP/1.1 200 OK\r\n';
    doTest('a load report', OK, (client, server) => client.getReport(server));
    doTest('cache events', OK, (client, server) => client.getCacheEvents(server, 0));
    doTest('a plain response', OK, (client, server) =>
      client.sendPlainRequest(server, {method: 'GET', path: '/'}),
    );
    doTest('an event of a completion', OK, complete);
    doTest('the body of an error', 'HTTP/1.1 500 x\r\n', complete);
    t.end();
  });
  t.end();
});
