/**
 * Not a case: QUOTA. Consumers that leave before the first event get their tokens refunded, though the replica has their
 * requests. Exit code 1 if a tenant's requests beyond its limit reached the replica, 0 if not; TROUBLE=0: nobody leaves.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Replica} from '../common/replica.mjs';
import {Store} from '../common/store.mjs';
import {HAS_TROUBLE, newAttemptId, runCase, send, sleep} from '../common/world.mjs';

const WINDOW_MS = 8000;
const RATE = 20_000;
const BURST = 20_000;
const BOUND = (RATE * (WINDOW_MS / 1000) + BURST) * 1.1 + 140_000;
const TOKENS = 5000;

await runCase(dirname(fileURLToPath(import.meta.url)), async world => {
  const store = new Store();
  const storeAddress = await store.start(world.ip(1));
  world.closers.push(() => store.stop());
  store.put('keyed.op', 'config', {
    version: 3,
    routes: [{name: 'chat', host: 'h.example', path_prefix: '/chat/', kind: 'stream', resumable: true, attempts: 2,
      service: 'engine', timeout_ms: 12000, goal_ms: 500}],
    services: [{name: 'engine', max_conns: 600}],
    tenants: [{name: 't1', api_keys: ['k1'], unit: 'tokens', rate_per_s: RATE, burst: BURST, plain_tokens: 200}],
  });
  const replica = await new Replica({
    id: 'i-1', service: 'engine', zone: 'z1', store,
    work: (request, run) => replica.stream(run, {count: 40, gapMs: 30, firstMs: 400}),
  }).start(world.ip(2));
  world.closers.push(() => replica.stop());
  const gateways = await world.prepareGateways(2, {storeAddress});
  for (const gateway of gateways) world.startGateway(gateway);
  await world.waitReady();
  const open = [];
  const endMs = Date.now() + 20_000;
  while (Date.now() < endMs) {
    for (const {front} of gateways) {
      open.push(send(front, {
        method: 'POST', path: '/chat/1', body: 'x', timeoutMs: HAS_TROUBLE ? 250 : 20_000,
        headers: {
          host: 'h.example', authorization: 'Bearer k1', 'x-buckthorngw-attempt-id': newAttemptId(),
          'x-buckthorngw-deadline-ms': '12000', 'x-buckthorngw-token-count': '4600,400',
          'x-buckthorngw-prompt-prefix': 'aa:100,bb:4500',
        },
      }));
    }
    await sleep(50);
  }
  await Promise.all(open);
  const times = replica.runs.map(({atMs}) => atMs);
  const counts = times.map(fromMs => times.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length);
  const most = Math.max(0, ...counts) * TOKENS;
  world.log(`most tokens in 8 s: ${most}; bound ${BOUND}`);
  return most > BOUND ? [`${most} tokens in 8 s, bound ${BOUND}`] : [];
});
