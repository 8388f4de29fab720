/** Tests of the bundled gateway process against stand-ins for the store and a backend server. */
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as httpRequest, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t, {type Test} from 'tap';
import {encodeKeyedRecord} from '../../platform/records.js';
import {StoreStandIn} from './StoreStandIn.js';

const FOLDER = mkdtempSync(join(tmpdir(), 'gateway-'));
/** The bundle that is deployed. */
const BINARY = join(FOLDER, 'gateway.mjs');
const WAIT_MS = 10_000;
const POLL_MS = 50;
/** Loopback address derived from the process id, so that the fixed ports don't collide with other test processes. */
const OWN_IP = `127.${50 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.1`;
const PORTS = {traffic: 8_221, ready: 8_224, directory: 8_220, gossip: 7_600, metrics: 7_601};

/** Route whose requests the backend server never answers. */
const SLOW_ROUTE = {
  name: 'slow',
  host: 'h.example',
  path_prefix: '/slow/',
  kind: 'unsafe',
  timeout_ms: 30_000,
  service: 'app',
};

execFileSync(process.execPath, ['scripts/bundle.mjs', 'dist/platform/main.js', BINARY]);
t.teardown(() => rmSync(FOLDER, {recursive: true}));

interface HttpResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
}

interface GatewayProcess {
  readonly store: StoreStandIn;
  readonly process: ChildProcess;
  getOutput(): string;
}

function sendRequest(
  port: number,
  path: string,
  headers: Record<string, string> = {},
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({host: OWN_IP, port, path, headers, agent: false}, response => {
      let body = '';
      response.on('data', data => (body += String(data)));
      response.on('error', reject);
      response.on('end', () =>
        resolve({status: response.statusCode ?? 0, headers: response.headers, body}),
      );
    });
    request.on('error', reject);
    request.end();
  });
}

async function waitFor(check: () => Promise<boolean> | boolean): Promise<void> {
  const endAtMs = Date.now() + WAIT_MS;
  while (!(await check())) {
    if (Date.now() > endAtMs) throw new Error('the condition did not become true in time');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

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

function addRecord(store: StoreStandIn, topic: string, key: string, value: unknown): void {
  store.getRecords(topic).push(encodeKeyedRecord(key, Buffer.from(JSON.stringify(value))));
}

async function startGateway(t: Test): Promise<GatewayProcess> {
  const store = new StoreStandIn();
  const storeAddress = await store.start();
  t.teardown(() => store.stop());
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
  addRecord(store, 'keyed.servers', 'i-1', {
    service: 'app',
    addr: `127.0.0.1:${backendPort}`,
    zone: 'a',
    version: 'v1',
    slots: 6,
    state: 'ready',
    cold_left_ms: 0,
    call_seq: 1,
  });
  const path = join(t.testdir(), 'settings.json');
  writeFileSync(
    path,
    JSON.stringify({
      node: 'edge-a-1',
      ip: OWN_IP,
      zone: 'a',
      zones: {a: 'north'},
      listen: {
        front: `${OWN_IP}:${PORTS.traffic}`,
        ready: `${OWN_IP}:${PORTS.ready}`,
        directory: `${OWN_IP}:${PORTS.directory}`,
      },
      port_range: [PORTS.gossip, PORTS.metrics],
      bootstrap: true,
      bounds: {grace_s: 5},
      provider: {addr: storeAddress},
    }),
  );
  const child = spawn(process.execPath, [BINARY], {
    env: {...process.env, BUCKTHORNGW_CONFIG: path},
  });
  let output = '';
  child.stdout.on('data', data => (output += String(data)));
  child.stderr.on('data', data => (output += String(data)));
  t.teardown(() => child.kill('SIGKILL'));
  const isReady = async () => {
    const response = await sendRequest(PORTS.ready, '/v1/readyz').catch(() => undefined);
    return response?.status === 200;
  };
  await waitFor(isReady);
  return {
    store,
    process: child,
    getOutput: () => output,
  };
}

const CALLER = {
  host: 'h.example',
  authorization: 'Bearer k1',
  'x-buckthorngw-attempt-id': 'q1',
  'x-buckthorngw-deadline-ms': '2000',
};

t.test('gateway process', async t => {
  const gateway = await startGateway(t);
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
    addRecord(gateway.store, 'keyed.op', 'config', {
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
      gateway.store.mode = 'refuses';
      await waitFor(async () => (await sendRequest(traffic, '/a/1', caller)).status === 503);
      t.equal((await sendRequest(ready, '/v1/readyz')).status, 503);
      gateway.store.mode = 'works';
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
