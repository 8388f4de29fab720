/** Tests of `RecentDurations`. */
import t from 'tap';
import {RecentDurations} from '../../src/utils/index.js';

t.test('RecentDurations', async t => {
  const durations = new RecentDurations();
  for (let count = 1; count < 20; count += 1) durations.addDuration('r', 100);
  t.equal(durations.getLongestExpectedMs('r'), undefined, 'a few requests say nothing');
  durations.addDuration('r', 400);
  t.equal(durations.getLongestExpectedMs('r'), 800);
  for (let count = 1; count <= 100; count += 1) durations.addDuration('r', 100);
  t.equal(durations.getLongestExpectedMs('r'), 200, 'only the latest requests count');
});
