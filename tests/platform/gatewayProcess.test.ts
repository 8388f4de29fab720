/** The process of one machine, whole, against stand-ins of the store and of a backend server. */
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as httpRequest, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t, {type Test} from 'tap';
import {encodeKeyed} from '../../platform/records.js';
import {StoreStandIn} from './StoreStandIn.js';

const FOLDER = mkdtempSync(join(tmpdir(), 'gateway-'));
/** The bundle, as it is deployed. */
const BINARY = join(FOLDER, 'gateway.mjs');
const WAIT_MS = 10_000;
const POLL_MS = 50;
/** Loopback address of this process alone, so that its fixed ports are free. */
const OWN_IP = `127.${50 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.1`;
const PORTS = {traffic: 8_221, ready: 8_224, directory: 8_220, gossip: 7_600, metrics: 7_601};

execFileSync(process.execPath, ['scripts/bundle.mjs', 'dist/platform/main.js', BINARY]);
t.teardown(() => rmSync(FOLDER, {recursive: true}));

interface Reply {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
}

interface World {
  readonly store: StoreStandIn;
  readonly process: ChildProcess;
  getOutput(): string;
}

function call(port: number, path: string, headers: Record<string, string> = {}): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const sent = httpRequest({host: OWN_IP, port, path, headers, agent: false}, reply => {
      let body = '';
      reply.on('data', data => (body += String(data)));
      reply.on('error', reject);
      reply.on('end', () => resolve({status: reply.statusCode ?? 0, headers: reply.headers, body}));
    });
    sent.on('error', reject);
    sent.end();
  });
}

async function waitFor(check: () => Promise<boolean> | boolean): Promise<void> {
  const endAtMs = Date.now() + WAIT_MS;
  while (!(await check())) {
    if (Date.now() > endAtMs) throw new Error('not within the time');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

function listen(server: Server): Promise<void> {
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

async function startBackend(t: Test): Promise<number> {
  const server = createServer((request, response) => {
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
  store.getRecords(topic).push(encodeKeyed(key, Buffer.from(JSON.stringify(value))));
}

async function startWorld(t: Test): Promise<World> {
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
      bounds: {},
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
    const reply = await call(PORTS.ready, '/v1/readyz').catch(() => undefined);
    return reply?.status === 200;
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

t.test('the process of a machine', async t => {
  const world = await startWorld(t);
  const {traffic, ready, directory, metrics} = PORTS;

  await t.test('tells callers its address', async t => {
    const reply = await call(directory, '/v1/resolve?name=h.example&zone=a');
    t.match(JSON.parse(reply.body), {addrs: [`${OWN_IP}:${traffic}`], ttl_s: 1});
  });

  await t.test('passes a request on in the name of its workspace', async t => {
    const reply = await call(traffic, '/a/1?x=2', CALLER);
    t.equal(reply.status, 200);
    t.equal(reply.body, '/a/1?x=2 for w');
    t.equal(reply.headers['x-buckthorngw-replica-stamp'], 'signature');
  });

  await t.test('knows neither other keys nor other paths', async t => {
    t.equal((await call(traffic, '/a/1', {...CALLER, authorization: 'Bearer k2'})).status, 401);
    t.equal((await call(traffic, '/b/1', CALLER)).status, 404);
  });

  await t.test('honours a key no longer when it was taken away', async t => {
    addRecord(world.store, 'keyed.op', 'config', {
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
      ],
      services: [{name: 'app'}],
      tenants: [{name: 'w', api_keys: ['k3']}],
    });
    await waitFor(async () => (await call(traffic, '/a/1', CALLER)).status === 401);
    t.equal((await call(traffic, '/a/1', {...CALLER, authorization: 'Bearer k3'})).status, 200);
  });

  await t.test('shows its metrics', async t => {
    const {body} = await call(metrics, '/metrics');
    t.match(body, /buckthorn_requests_total\{route="r",workspace="w",outcome="answered"/);
    t.match(body, /buckthorn_configuration_version 4/);
  });

  await t.test('refuses without news from the store, and serves again with it', async t => {
    const caller = {...CALLER, authorization: 'Bearer k3'};
    world.store.mode = 'refuses';
    await waitFor(async () => (await call(traffic, '/a/1', caller)).status === 503);
    t.equal((await call(ready, '/v1/readyz')).status, 503);
    world.store.mode = 'works';
    await waitFor(async () => (await call(traffic, '/a/1', caller)).status === 200);
  });

  await t.test('leaves when it is asked to, and tells so', async t => {
    const ended = new Promise(resolve => world.process.on('close', resolve));
    world.process.kill('SIGTERM');
    await waitFor(async () => (await call(ready, '/v1/readyz')).status === 503);
    const reply = await call(traffic, '/a/1', {...CALLER, authorization: 'Bearer k3'});
    t.equal(reply.status, 200);
    t.equal(reply.headers.connection, 'close');
    t.equal(await ended, 0);
    t.match(world.getOutput(), /"msg":"stopping"[\s\S]*"msg":"stopped"/);
  });
});
