/** Tests of the fleet daemon's suspend-aware and monotonic clocks. */
import t from 'tap';
import {FleetClock} from '../../src/fleet/FleetClock.js';

t.test('FleetClock getSuspendAwareMs', t => {
  function doTest(name: string, wallMs: number, monotonicMs: number, expected: number) {
    t.test(name, t => {
      let clockTimes = {wallMs: 50_000, monotonicMs: 1_000};
      const clock = new FleetClock({
        getWallMs: () => clockTimes.wallMs,
        getMonotonicMs: () => clockTimes.monotonicMs,
      });
      clockTimes = {wallMs: 50_000 + wallMs, monotonicMs: 1_000 + monotonicMs};
      t.equal(clock.getSuspendAwareMs(), expected);
      t.equal(clock.getMonotonicMs(), 1_000 + monotonicMs);
      t.end();
    });
  }

  doTest('advances with both clocks', 500, 500, 1_500);
  doTest('includes the time for which the machine was suspended', 60_000, 10, 61_000);
  doTest('does not go back when the wall clock does', -60_000, 500, 1_500);
  t.end();
});
