/**
 * Two gateways are stopped and started in turn (SIGTERM, 1 s apart). A stream that a stopping gateway takes more than
 * 3 s after its SIGTERM must not be cut off: the gateway may refuse it, but not accept it and break it off.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Consumer} from '../common/consumer.mjs';
import {Replica} from '../common/replica.mjs';
import {Store} from '../common/store.mjs';
import {HAS_TROUBLE, runCase, sleep} from '../common/world.mjs';

const GRACE_MS = 8000;
const GAP_MS = 1000;
const RESTART_DELAY_MS = 300;
const EVENT_MS = 25;
const SHORT = 40;
const LONG = 200;
const SHORT_EVERY_MS = 10;
const LONG_EVERY_MS = 12_000;
const TIMEOUT_MS = 15_000;

const CONFIG = {
  version: 3,
  routes: [{
    name: 'letters', host: 'h.example', path_prefix: '/letters/', kind: 'stream', resumable: false, attempts: 1,
    timeout_ms: TIMEOUT_MS, goal_ms: 800, gap_aim_ms: 500, priority: 1, service: 'engine', sticky: true,
  }],
  services: [{name: 'engine', max_conns: 620}],
  limits: {max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000},
  tenants: [{name: 't1', api_keys: ['k1']}],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async world => {
  const store = new Store();
  const storeAddress = await store.start(world.ip(1));
  world.closers.push(() => store.stop());
  store.put('keyed.op', 'config', CONFIG);
  const replicas = [];
  for (const zone of ['z1', 'z2']) {
    const replica = await new Replica({
      id: `i-${zone}`, service: 'engine', zone, store, slots: 128,
      // The request says how many output tokens it may make; an event holds 6.
      work: (request, run) => {
        const events = Number(request.headers['x-buckthorngw-token-count'].split(',')[1]) / 6;
        replica.stream(run, {count: events, gapMs: EVENT_MS, firstMs: 50});
      },
    }).start(world.ip(2));
    replicas.push(replica);
    world.closers.push(() => replica.stop());
  }
  const gateways = await world.prepareGateways(2, {storeAddress});
  for (const gateway of gateways) world.startGateway(gateway);
  await world.waitReady();

  const consumers = [];
  for (let number = 0; number < 40; number += 1) {
    const consumer = new Consumer(world, {
      name: 'h.example', zone: number % 2 ? 'z1' : 'z2', key: 'k1', patience: number % 4 === 0 ? 3 : 1,
    });
    await consumer.start();
    consumers.push(consumer);
  }
  const violations = [];
  const open = new Set();
  const ends = {};
  const ask = (events, address) => {
    const consumer = consumers[Math.floor(Math.random() * consumers.length)];
    const asked = consumer.ask({
      path: '/letters/1', body: 'a prompt', address, deadlineMs: TIMEOUT_MS,
      headers: {
        'x-buckthorngw-model': 'm', 'x-buckthorngw-token-count': `500,${events * 6}`,
        'x-buckthorngw-prompt-prefix': 'aa:400,bb:100',
      },
    }).then(answer => {
      open.delete(asked);
      judge(answer, events);
    });
    open.add(asked);
  };
  const judge = (answer, events) => {
    const gateway = gateways.find(({front}) => front === answer.address);
    const run = replicas.flatMap(({runs}) => runs).find(({id}) => id === answer.id);
    const kind = answer.error ? `${answer.status} cut (${answer.error})` : `${answer.status}`;
    ends[kind] = (ends[kind] ?? 0) + 1;
    const sinceTermMs = gateway.termAtMs === undefined ? -1 : answer.sentAtMs - gateway.termAtMs;
    if (events === SHORT && !answer.error) return;
    world.log(
      `${answer.id}, ${events} events, by ${gateway.id}, sent ${sinceTermMs} ms after its SIGTERM: ${kind} after ` +
        `${answer.endedAtMs - answer.sentAtMs} ms, ${run ? 'passed on to a replica' : 'not passed on'}`,
    );
    // The bound of the rule: a request sent up to 3 s after the SIGTERM may be cut in the last sixth of the grace.
    const isCut = answer.error !== undefined && run !== undefined;
    if (isCut && sinceTermMs > 3000 && answer.endedAtMs <= gateway.termAtMs + GRACE_MS + 1000) {
      violations.push(`${answer.id} was sent ${sinceTermMs} ms after the SIGTERM of ${gateway.id}, ran, and was cut`);
    }
  };

  /** Most letters are short; one in some hundreds is long. */
  const startMs = Date.now();
  let isOver = false;
  const traffic = (async () => {
    while (!isOver) {
      ask(SHORT);
      await sleep(SHORT_EVERY_MS);
    }
  })();
  const long = (async () => {
    while (!isOver) {
      for (const {front} of gateways) {
        const isKnown = consumers.some(({addresses}) => addresses.includes(front));
        if (isKnown) ask(LONG, front);
      }
      await sleep(LONG_EVERY_MS);
    }
  })();

  /** The platform stops and starts a machine: SIGTERM, SIGKILL after the grace, and a new start after its end. */
  const roll = gateway => {
    const child = gateway.process;
    gateway.termAtMs = Date.now();
    world.log(`SIGTERM to ${gateway.id}`);
    const kill = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    child.once('exit', async () => {
      clearTimeout(kill);
      await sleep(RESTART_DELAY_MS);
      if (!isOver) world.startGateway(gateway);
    });
    child.kill('SIGTERM');
  };
  // The second long letter of each gateway comes 3.5 s after its SIGTERM.
  await sleep(startMs + LONG_EVERY_MS - 4500 - Date.now());
  if (HAS_TROUBLE) roll(gateways[0]);
  await sleep(GAP_MS);
  if (HAS_TROUBLE) roll(gateways[1]);
  await sleep(LONG_EVERY_MS);
  isOver = true;
  await Promise.all([traffic, long]);
  await Promise.all(open);
  world.log(`ends of the requests: ${JSON.stringify(ends)}`);
  return violations;
});
