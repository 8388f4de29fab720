/** Tests of the fleet daemon's clocks. */
import t from 'tap';
import {FleetClock} from '../../src/fleet/FleetClock.js';

t.test('FleetClock getHolderMs', t => {
  function doTest(name: string, wallMs: number, monotonicMs: number, expected: number) {
    t.test(name, t => {
      let reads = {wallMs: 50_000, monotonicMs: 1_000};
      const clock = new FleetClock({
        getWallMs: () => reads.wallMs,
        getMonotonicMs: () => reads.monotonicMs,
      });
      reads = {wallMs: 50_000 + wallMs, monotonicMs: 1_000 + monotonicMs};
      t.equal(clock.getHolderMs(), expected);
      t.equal(clock.getCandidateMs(), 1_000 + monotonicMs);
      t.end();
    });
  }

  doTest('advances with both clocks', 500, 500, 1_500);
  doTest('counts the time in which the machine was suspended', 60_000, 10, 61_000);
  doTest('is not set back by the wall clock', -60_000, 500, 1_500);
  t.end();
});
