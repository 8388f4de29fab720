/** Tests of the client of backend servers, against small servers that answer, stall, hang up or are gone. */
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import t from 'tap';
import type {BackendServer} from '../../src/blackboard/index.js';
import {EngineClient} from '../../src/engine/index.js';

const ADDRESS = '127.0.0.1';
const REPORT_TIMEOUT_MS = 100;
const CONNECT_TIMEOUT_MS = 1_000;
const HEALTHY = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';

/** What a server does with data on its nth connection, counted from 0. */
type Behaviour = (socket: Socket, connection: number) => void;

async function listen(behave: Behaviour): Promise<Server> {
  let connections = 0;
  const server = createServer(socket => {
    const connection = connections;
    connections += 1;
    socket.on('data', () => behave(socket, connection));
    socket.on('error', () => undefined);
  });
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
  return server;
}

function toBackendServer(server: Server): BackendServer {
  const {port} = server.address() as AddressInfo;
  const place = {address: ADDRESS, port, failureDomain: 'a'};
  const identity = {instanceId: 'm-1', service: 'guidance', version: 'v1'};
  return {...identity, ...place, state: 'live', warmth: 'warm'};
}

t.test('EngineClient', t => {
  t.test('isAlive', t => {
    function doTest(name: string, behave: Behaviour, isAlive: boolean, isClosed = false) {
      t.test(name, async t => {
        const server = await listen(behave);
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
        // Leaves an idle connection behind where the server answers.
        await client.getReport(backend).catch(() => undefined);
        t.equal(await client.isAlive(backend), isAlive);
      });
    }

    doTest('a server that answers', socket => socket.write(HEALTHY), true);
    doTest('a server that takes the connection and is slow to answer', () => undefined, true);
    doTest(
      'a server whose earlier connection went silent',
      (socket, connection) => connection === 0 || socket.write(HEALTHY),
      true,
    );
    doTest('a server that hangs up', socket => socket.destroy(), false);
    doTest('a server that is gone', socket => socket.write(HEALTHY), false, true);
    t.end();
  });
  t.end();
});
