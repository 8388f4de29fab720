/** Tests of the rate limit of appends. */
import t from 'tap';
import {AppendPacer} from '../../src/claims/AppendPacer.js';

t.test('AppendPacer', t => {
  function doTest(name: string, reservedAtMs: readonly number[], expectedWaitMs: number) {
    t.test(name, t => {
      const pacer = new AppendPacer(2);
      const waits = reservedAtMs.map(nowMs => pacer.reserveAppend(nowMs, 10));
      t.equal(waits.at(-1), expectedWaitMs);
      t.end();
    });
  }

  doTest('reserveAppend lets an idle entry append at once', [0, 0], 0);
  doTest('reserveAppend delays an append beyond the burst', [0, 0, 0], 100);
  doTest('reserveAppend adds up the delays of queued appends', [0, 0, 0, 0], 200);
  doTest('reserveAppend refills no more than the burst', [0, 0, 10_000, 10_000, 10_000], 100);
  doTest('reserveAppend refills nothing when the clock goes back', [1_000, 0, 0], 100);
  t.end();
});
