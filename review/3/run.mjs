/**
 * Replicas of a plain service fail part of their requests: they run a booking and answer it with a 503 of their own that
 * doesn't say `X-Buckthorngw-Not-Executed`. A 503 is a promise to the consumer that nothing has run.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Consumer} from '../common/consumer.mjs';
import {Replica} from '../common/replica.mjs';
import {Store} from '../common/store.mjs';
import {HAS_TROUBLE, runCase, sleep} from '../common/world.mjs';

const WORK_MS = 30;
/** The site's `srv_grey`, how `errors all`: share 1.0, x 0.45, for 4.0 s. */
const TROUBLE_AT_MS = 3000;
const TROUBLE_MS = 4000;
const FAILED_SHARE = 0.45;
const PLAY_MS = 10_000;
const PROMISES = new Set([408, 421, 429, 503]);

const CONFIG = {
  version: 3,
  routes: [{
    name: 'visit-book', host: 'h.example', path_prefix: '/visit-book/', kind: 'unsafe', attempts: 1, timeout_ms: 1200,
    goal_ms: 150, priority: 2, service: 'field-app',
  }],
  services: [{name: 'field-app', max_conns: 100}],
  limits: {max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000},
  tenants: [{name: 't1', api_keys: ['k1']}],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async world => {
  const store = new Store();
  const storeAddress = await store.start(world.ip(1));
  world.closers.push(() => store.stop());
  store.put('keyed.op', 'config', CONFIG);
  /** Bookings that a replica made, by the consumer's booking number. */
  const bookings = new Map();
  const replicas = [];
  let isGrey = false;
  for (const zone of ['z1', 'z2', 'z1', 'z2']) {
    const replica = await new Replica({
      id: `i-${replicas.length + 1}`, service: 'field-app', zone, store, slots: 6,
      work: (request, run) => setTimeout(() => {
        const booking = run.body.toString();
        bookings.set(booking, [...(bookings.get(booking) ?? []), run.id]);
        const hasFailed = isGrey && Math.random() < FAILED_SHARE;
        run.status = hasFailed ? 503 : 200;
        run.answer(run.status, hasFailed ? 'the booking was made, its confirmation could not be sent' : 'booked');
      }, WORK_MS),
    }).start(world.ip(2));
    replicas.push(replica);
    world.closers.push(() => replica.stop());
  }
  const gateways = await world.prepareGateways(2, {storeAddress});
  for (const gateway of gateways) world.startGateway(gateway);
  await world.waitReady();
  const consumers = [];
  for (let number = 0; number < 6; number += 1) {
    const consumer = new Consumer(world, {name: 'h.example', zone: number % 2 ? 'z1' : 'z2', key: 'k1'});
    await consumer.start();
    consumers.push(consumer);
  }
  const violations = [];
  const ends = {};
  const open = new Set();
  let booked = 0;
  /** A consumer retries a booking once, and only after a promise that it hasn't run. */
  const book = async consumer => {
    booked += 1;
    const booking = `booking ${booked}`;
    for (let tries = 0; tries < 2; tries += 1) {
      const answer = await consumer.ask({path: '/visit-book/1', body: booking, deadlineMs: 2500});
      ends[answer.status] = (ends[answer.status] ?? 0) + 1;
      if (!PROMISES.has(answer.status)) return;
      const run = replicas.flatMap(({runs}) => runs).find(({id}) => id === answer.id);
      world.log(`${answer.id}, ${booking}: ${answer.status}, ${run ? `run by ${run.replica.id}, which answered ${run.status}` : 'not run'}`);
      if (run) violations.push(`${answer.id} was answered ${answer.status} and has run at ${run.replica.id}`);
      await sleep(Math.min(800, Number(answer.headers['retry-after'] ?? 0.1) * 1000));
    }
  };
  const startMs = Date.now();
  while (Date.now() - startMs < PLAY_MS) {
    const atMs = Date.now() - startMs;
    const isNowGrey = HAS_TROUBLE && atMs >= TROUBLE_AT_MS && atMs < TROUBLE_AT_MS + TROUBLE_MS;
    if (isNowGrey !== isGrey) world.log(isNowGrey ? 'the replicas fail part of their requests' : 'the replicas are well');
    isGrey = isNowGrey;
    const booking = book(consumers[Math.floor(Math.random() * consumers.length)]).finally(() => open.delete(booking));
    open.add(booking);
    await sleep(50);
  }
  await Promise.all(open);
  const doubled = [...bookings].filter(([, ids]) => ids.length > 1);
  world.log(`answers: ${JSON.stringify(ends)}; bookings made twice: ${doubled.length}`);
  for (const [booking, ids] of doubled.slice(0, 5)) world.log(`${booking} was made by the attempts ${ids.join(' and ')}`);
  return violations;
});
