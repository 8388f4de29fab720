/** Tests of the pace of appends. */
import t from 'tap';
import {AppendPacer} from '../../src/claims/AppendPacer.js';

t.test('AppendPacer', t => {
  function doTest(name: string, takenAtMs: readonly number[], expectedWaitMs: number) {
    t.test(name, t => {
      const pacer = new AppendPacer(2);
      const waits = takenAtMs.map(nowMs => pacer.takeAppend(nowMs, 10));
      t.equal(waits.at(-1), expectedWaitMs);
      t.end();
    });
  }

  doTest('takeAppend lets a quiet entry append at once', [0, 0], 0);
  doTest('takeAppend makes a busy one wait for its turn', [0, 0, 0], 100);
  doTest('takeAppend lets waits add up', [0, 0, 0, 0], 200);
  doTest('takeAppend refills up to the burst', [0, 0, 10_000, 10_000, 10_000], 100);
  doTest('takeAppend bears a clock that goes back', [1_000, 0, 0], 100);
  t.end();
});
