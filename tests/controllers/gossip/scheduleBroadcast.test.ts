/** Tests of `getBroadcastDelayMs`. */
import t from 'tap';
import {BROADCAST_INTERVAL_MS, getBroadcastDelayMs} from '../../../src/controllers/gossip/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';

/** Most time between the first and the last broadcast of gateways of a level. */
const MAX_SPREAD_MS = 10;

/** Returns the times of a gateway's broadcasts, whose timers are called late by up to a few milliseconds. */
function getBroadcastTimes(level: number, startedAtMs: number, seed: number): readonly number[] {
  const random = createSeededRandom(seed);
  const times: number[] = [];
  for (let atMs = startedAtMs; times.length < 40;) {
    times.push(atMs);
    atMs += getBroadcastDelayMs(level, atMs, random) + random();
  }
  return times;
}

t.test('getBroadcastDelayMs', async t => {
  t.test('gateways of a level broadcast at the same moments, whenever they started', async t => {
    for (const level of [0, 1, 2, 5]) {
      const phases = [0, 17, 120, 125, 249].flatMap((startedAtMs, seed) =>
        getBroadcastTimes(level, startedAtMs, seed)
          .slice(1)
          .map(atMs => atMs % BROADCAST_INTERVAL_MS),
      );
      t.ok(Math.max(...phases) - Math.min(...phases) <= MAX_SPREAD_MS, `level ${level}`);
    }
  });
  t.test('no interval is left out or used twice', async t => {
    for (let startedAtMs = 0; startedAtMs < BROADCAST_INTERVAL_MS; startedAtMs += 5) {
      const times = getBroadcastTimes(1, startedAtMs, startedAtMs);
      const gaps = times.slice(1).map((atMs, index) => atMs - times[index]);
      t.ok(Math.min(...gaps) >= BROADCAST_INTERVAL_MS / 2);
      t.ok(Math.max(...gaps) <= 1.5 * BROADCAST_INTERVAL_MS + MAX_SPREAD_MS);
      t.ok(Math.max(...gaps.slice(1)) <= BROADCAST_INTERVAL_MS + MAX_SPREAD_MS);
    }
  });
  t.test('heads follow the gateways that they represent', async t => {
    const [, member] = getBroadcastTimes(0, 0, 1);
    const [, head] = getBroadcastTimes(1, 0, 1);
    t.ok(head > member + MAX_SPREAD_MS);
    t.ok(head < member + BROADCAST_INTERVAL_MS / 2);
  });
});
