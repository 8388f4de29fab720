/** Tests of the entry's clock for ages. */
import t from 'tap';
import {EntryClock} from '../../src/entry/EntryClock.js';

const HOUR_MS = 3_600_000;
const START_WALL_MS = 1_700_000_000_000;

t.test('EntryClock getAgeClockMs', t => {
  /** Each step advances the two clocks independently. */
  function doTest(
    name: string,
    steps: readonly {readonly wallMs: number; readonly monotonicMs: number}[],
    expectedMs: number,
  ) {
    t.test(name, t => {
      const now = {wallMs: START_WALL_MS, monotonicMs: 5};
      const clock = new EntryClock({
        getWallMs: () => now.wallMs,
        getMonotonicMs: () => now.monotonicMs,
      });
      let lastMs = clock.getAgeClockMs();
      t.equal(lastMs, START_WALL_MS);
      for (const {wallMs, monotonicMs} of steps) {
        now.wallMs += wallMs;
        now.monotonicMs += monotonicMs;
        t.ok(clock.getAgeClockMs() >= lastMs, 'never goes back');
        lastMs = clock.getAgeClockMs();
      }
      t.equal(lastMs - START_WALL_MS, expectedMs);
      t.end();
    });
  }

  const second = {wallMs: 1_000, monotonicMs: 1_000};
  doTest('advances with both clocks', [second, second], 2_000);
  doTest('keeps advancing when the wall clock is set back', [{...second, wallMs: -HOUR_MS}], 1_000);
  doTest(
    'includes the time for which the machine was suspended',
    [{...second, wallMs: HOUR_MS}],
    HOUR_MS,
  );
  doTest(
    'includes a suspension after the wall clock was set back',
    [
      {...second, wallMs: -HOUR_MS},
      {...second, wallMs: HOUR_MS},
    ],
    HOUR_MS + 1_000,
  );
  doTest(
    'does not gain time when it is read more often than the wall clock ticks',
    Array.from({length: 10_000}, (empty, index) => ({
      wallMs: index % 10 === 0 ? 1 : 0,
      monotonicMs: 0.125,
    })),
    1_250,
  );
  t.end();
});
