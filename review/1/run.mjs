/**
 * The replicas of a service are replaced one after the other by a new version of their software, which numbers the
 * events of its streams from a large number on: the time of the run's start and a count in one 64-bit integer. Consumers
 * must get every event.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Consumer} from '../common/consumer.mjs';
import {Replica} from '../common/replica.mjs';
import {Store} from '../common/store.mjs';
import {HAS_TROUBLE, runCase, sleep} from '../common/world.mjs';

const EVENTS = 20;
const EVENT_MS = 20;
const RELEASE_AT_MS = 3000;
/** The site's `release`: x 1.0 at a time, gap_s 1.0, share up to 0.584. */
const RELEASE_GAP_MS = 1000;
const RELEASED = 2;
const DRAIN_MS = 2000;
const PLAY_MS = 12_000;
/** Bits of an event's id that count the events of its run. */
const COUNT_BITS = 16n;

const ROUTE = {
  host: 'h.example', kind: 'stream', timeout_ms: 12000, goal_ms: 500, gap_aim_ms: 500, priority: 0,
  service: 'model-pool', sticky: true,
};
const CONFIG = {
  version: 3,
  routes: [
    {...ROUTE, name: 'fault-chat', path_prefix: '/fault-chat/', resumable: true, attempts: 2},
    {...ROUTE, name: 'audit-review', path_prefix: '/audit-review/', resumable: false, attempts: 1},
  ],
  services: [{name: 'model-pool', max_conns: 620}],
  limits: {max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000},
  tenants: [{name: 't1', api_keys: ['k1']}],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async world => {
  const store = new Store();
  const storeAddress = await store.start(world.ip(1));
  world.closers.push(() => store.stop());
  store.put('keyed.op', 'config', CONFIG);
  const replicas = [];
  const boot = async (zone, version) => {
    const replica = await new Replica({
      id: `i-${replicas.length + 1}`, service: 'model-pool', zone, store, version, slots: 128,
      work: (request, run) => writeStream(run, version),
    }).start(world.ip(2));
    replicas.push(replica);
    world.closers.push(() => replica.stop());
    return replica;
  };
  const zones = ['z1', 'z2', 'z1', 'z2'];
  for (const zone of zones) await boot(zone, '1');
  const gateways = await world.prepareGateways(2, {storeAddress});
  for (const gateway of gateways) world.startGateway(gateway);
  await world.waitReady();
  const consumers = [];
  for (let number = 0; number < 6; number += 1) {
    const consumer = new Consumer(world, {name: 'h.example', zone: number % 2 ? 'z1' : 'z2', key: 'k1'});
    await consumer.start();
    consumers.push(consumer);
  }
  /** The new replica starts first, then the old one drains and leaves. */
  const release = async () => {
    await sleep(RELEASE_AT_MS);
    for (const old of replicas.slice(0, RELEASED)) {
      await boot(old.zone, '2');
      world.log(`${old.id} is replaced`);
      old.register('draining');
      setTimeout(() => {
        clearTimeout(old.timer);
        store.put('keyed.servers', old.id, undefined);
      }, DRAIN_MS + 1000);
      await sleep(RELEASE_GAP_MS);
    }
  };
  const violations = [];
  const ends = {};
  const open = new Set();
  const ask = async consumer => {
    const route = Math.random() < 0.5 ? 'fault-chat' : 'audit-review';
    const answer = await consumer.ask({
      path: `/${route}/1`, body: 'a prompt', deadlineMs: 12_000,
      headers: {
        'x-buckthorngw-model': 'm', 'x-buckthorngw-token-count': '500,120',
        'x-buckthorngw-prompt-prefix': 'aa:400,bb:100',
      },
    });
    const run = replicas.flatMap(({runs}) => runs).find(({id}) => id === answer.id);
    const isComplete = answer.status === 200 && answer.error === undefined;
    const got = answer.body.toString().split('\n\n').filter(Boolean);
    const isWhole = isComplete && got.join() === run.written.join();
    const kind = `version ${run?.replica.version}: ${isComplete ? (isWhole ? 'whole' : 'events missing') : answer.status}`;
    ends[kind] = (ends[kind] ?? 0) + 1;
    if (!isComplete || isWhole) return;
    world.log(`${answer.id} (${route}): ${run.written.length} events written by ${run.replica.id}, ${got.length} received; ended as complete`);
    violations.push(`${answer.id} (${route}) got ${got.length} of ${run.written.length} events in a stream that ended as complete`);
  };
  const released = HAS_TROUBLE ? release() : undefined;
  const startMs = Date.now();
  while (Date.now() - startMs < PLAY_MS) {
    const asked = ask(consumers[Math.floor(Math.random() * consumers.length)]).finally(() => open.delete(asked));
    open.add(asked);
    await sleep(100);
  }
  await released;
  await Promise.all(open);
  world.log(`streams: ${JSON.stringify(ends)}`);
  return violations;
});

/** Writes the events of one run, with increasing ids; keeps what it wrote. */
function writeStream(run, version) {
  const {response, replica, headers} = run;
  const base = version === '1' ? 0n : BigInt(run.atMs) << COUNT_BITS;
  run.written = [];
  response.writeHead(200, {...replica.getStamp(), 'content-type': 'text/event-stream'});
  response.flushHeaders();
  const step = number => {
    if (run.isDropped) return;
    if (number > EVENTS) {
      response.end();
      return;
    }
    const event = `id: ${base + BigInt(number)}\ndata: piece ${number} of ${EVENTS} of ${headers['x-buckthorngw-attempt-id']}`;
    run.written.push(event);
    response.write(`${event}\n\n`);
    setTimeout(() => step(number + 1), EVENT_MS);
  };
  setTimeout(() => step(1), EVENT_MS);
}
