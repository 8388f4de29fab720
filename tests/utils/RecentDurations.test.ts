/** Tests of `RecentDurations`. */
import fc from 'fast-check';
import t from 'tap';
import {RecentDurations} from '../../src/utils/index.js';

const SEED = 4_020_261;

t.test('RecentDurations', async t => {
  const durations = new RecentDurations();
  for (let count = 1; count < 20; count += 1) durations.addDuration('r', 100, count);
  t.equal(durations.getLongestExpectedMs('r', 20), undefined, 'a few requests say nothing');
  durations.addDuration('r', 400, 20);
  t.equal(durations.getLongestExpectedMs('r', 20), 800);
  for (let count = 1; count <= 100; count += 1) durations.addDuration('r', 100, 20 + count);
  t.equal(durations.getLongestExpectedMs('r', 120), 200, 'only the latest requests count');
});

t.test('RecentDurations remembers a duration for a time, however many follow', async t => {
  const durations = new RecentDurations({minRememberedMs: 1_000});
  durations.addDuration('r', 400, 0);
  for (let count = 1; count <= 500; count += 1) durations.addDuration('r', 100, count);
  t.equal(durations.getLongestExpectedMs('r', 999), 800);
  t.equal(durations.getLongestExpectedMs('r', 1_000), 200);
});

t.test('RecentDurations returns the longest of all that it has to remember', async () => {
  const added = fc.record({durationMs: fc.nat(1_000), waitMs: fc.nat(20)});
  fc.assert(
    fc.property(fc.array(added, {minLength: 20, maxLength: 300}), additions => {
      const minRememberedMs = 1_500;
      const durations = new RecentDurations({minRememberedMs});
      const all: {readonly durationMs: number; readonly addedAtMs: number}[] = [];
      let nowMs = 0;
      for (const {durationMs, waitMs} of additions) {
        nowMs += waitMs;
        all.push({durationMs, addedAtMs: nowMs});
        durations.addDuration('r', durationMs, nowMs);
      }
      const remembered = all.filter(
        ({addedAtMs}, index) => index >= all.length - 100 || nowMs - addedAtMs < minRememberedMs,
      );
      const longestMs = Math.max(...remembered.map(({durationMs}) => durationMs));
      return durations.getLongestExpectedMs('r', nowMs) === longestMs * 2;
    }),
    {seed: SEED},
  );
});
