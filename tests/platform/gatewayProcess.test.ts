/** Tests of the bundled gateway process against stand-ins for the store and a backend server. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import t, {type Test} from 'tap';
import {
  GatewayProcess,
  OWN_IP,
  PORTS,
  addRecord,
  addServer,
  sendRequest,
  waitFor,
} from './GatewayProcess.js';
import {StoreStandIn} from './StoreStandIn.js';

/** Route whose requests the backend server never answers. */
const SLOW_ROUTE = {
  name: 'slow',
  host: 'h.example',
  path_prefix: '/slow/',
  kind: 'unsafe',
  timeout_ms: 30_000,
  service: 'app',
};

function listen(server: Server): Promise<void> {
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

async function startBackend(t: Test): Promise<number> {
  const server = createServer((request, response) => {
    if (request.url?.startsWith('/slow/')) return;
    response.setHeader('x-buckthorngw-replica-stamp', 'signature');
    response.end(`${request.url} for ${String(request.headers['x-buckthorngw-tenant'])}`);
  });
  await listen(server);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

async function startGateway(t: Test, store: StoreStandIn): Promise<GatewayProcess> {
  const backendPort = await startBackend(t);
  addRecord(store, 'keyed.op', 'config', {
    version: 3,
    routes: [
      {
        name: 'r',
        host: 'h.example',
        path_prefix: '/a/',
        kind: 'safe',
        timeout_ms: 2_000,
        service: 'app',
      },
      SLOW_ROUTE,
    ],
    services: [{name: 'app', max_conns: 10}],
    tenants: [{name: 'w', api_keys: ['k1']}],
  });
  addServer(store, 'i-1', 'app', backendPort);
  return GatewayProcess.start(t, {store, graceSeconds: 5, nodeOptions: []});
}

const CALLER = {
  host: 'h.example',
  authorization: 'Bearer k1',
  'x-buckthorngw-attempt-id': 'q1',
  'x-buckthorngw-deadline-ms': '2000',
};

t.test('gateway process', async t => {
  const store = new StoreStandIn();
  const gateway = await startGateway(t, store);
  const {traffic, ready, directory, metrics} = PORTS;

  await t.test('returns its address from the directory', async t => {
    const response = await sendRequest(directory, '/v1/resolve?name=h.example&zone=a');
    t.match(JSON.parse(response.body), {addrs: [`${OWN_IP}:${traffic}`], ttl_s: 1});
  });

  await t.test('forwards a request with the workspace of its key', async t => {
    const response = await sendRequest(traffic, '/a/1?x=2', CALLER);
    t.equal(response.status, 200);
    t.equal(response.body, '/a/1?x=2 for w');
    t.equal(response.headers['x-buckthorngw-replica-stamp'], 'signature');
  });

  await t.test('refuses unknown keys and unknown paths', async t => {
    t.equal(
      (await sendRequest(traffic, '/a/1', {...CALLER, authorization: 'Bearer k2'})).status,
      401,
    );
    t.equal((await sendRequest(traffic, '/b/1', CALLER)).status, 404);
  });

  await t.test('refuses a key that a newer configuration removed', async t => {
    addRecord(store, 'keyed.op', 'config', {
      version: 4,
      routes: [
        {
          name: 'r',
          host: 'h.example',
          path_prefix: '/a/',
          kind: 'safe',
          timeout_ms: 2_000,
          service: 'app',
        },
        SLOW_ROUTE,
      ],
      services: [{name: 'app'}],
      tenants: [{name: 'w', api_keys: ['k3']}],
    });
    await waitFor(async () => (await sendRequest(traffic, '/a/1', CALLER)).status === 401);
    t.equal(
      (await sendRequest(traffic, '/a/1', {...CALLER, authorization: 'Bearer k3'})).status,
      200,
    );
  });

  await t.test('exposes its metrics', async t => {
    const {body} = await sendRequest(metrics, '/metrics');
    t.match(body, /buckthorn_requests_total\{route="r",workspace="w",outcome="answered"/);
    t.match(body, /buckthorn_configuration_version 4/);
  });

  await t.test(
    'refuses requests while the store is unavailable, and serves again afterwards',
    async t => {
      const caller = {...CALLER, authorization: 'Bearer k3'};
      store.mode = 'refuses';
      await waitFor(async () => (await sendRequest(traffic, '/a/1', caller)).status === 503);
      t.equal((await sendRequest(ready, '/v1/readyz')).status, 503);
      store.mode = 'works';
      await waitFor(async () => (await sendRequest(traffic, '/a/1', caller)).status === 200);
    },
  );

  await t.test(
    'shuts down on SIGTERM: not ready, still serving, closing connections, exit status 0',
    async t => {
      const caller = {...CALLER, authorization: 'Bearer k3'};
      const patient = {...caller, 'x-buckthorngw-deadline-ms': '30000'};
      const ended = new Promise(resolve => gateway.process.on('close', resolve));
      const open = sendRequest(traffic, '/slow/1', patient);
      await waitFor(async () =>
        (await sendRequest(metrics, '/metrics')).body.includes('buckthorn_open_requests 1'),
      );
      gateway.process.kill('SIGTERM');
      await waitFor(async () => (await sendRequest(ready, '/v1/readyz')).status === 503);
      const response = await sendRequest(traffic, '/a/1', caller);
      t.equal(response.status, 200);
      t.equal(response.headers.connection, 'close');
      const late = await sendRequest(traffic, '/slow/2', patient);
      t.equal(late.status, 503, 'a request that cannot end in time is refused at once');
      t.ok(Number(late.headers['retry-after']) < 1);
      t.equal((await open).status, 502, 'a request that is still open at the end gets a response');
      t.equal(await ended, 0);
      t.match(gateway.getOutput(), /"msg":"stopping"[\s\S]*"msg":"stopped"/);
    },
  );
});
