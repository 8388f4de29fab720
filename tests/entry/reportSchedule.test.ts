/** Tests of when backend servers are asked for their load. */
import t from 'tap';
import {isReportDue} from '../../src/entry/reportSchedule.js';

const NOW_MS = 100_000;

t.test('isReportDue', t => {
  function doTest(
    name: string,
    askedAgoMs: number | undefined,
    usedAgoMs: number | undefined,
    isDue: boolean,
  ) {
    t.test(name, t => {
      const askedAtMs = askedAgoMs === undefined ? undefined : NOW_MS - askedAgoMs;
      const usedAtMs = usedAgoMs === undefined ? undefined : NOW_MS - usedAgoMs;
      t.equal(isReportDue({askedAtMs, usedAtMs, activeIntervalMs: 500}, NOW_MS), isDue);
      t.end();
    });
  }

  doTest('a server never asked is asked', undefined, undefined, true);
  doTest('a server in use is asked at each tick', 495, 0, true);
  doTest('a server used a moment ago is still asked often', 505, 2_500, true);
  doTest('a server that is not in use is left alone', 505, 10_000, false);
  doTest('a server that is not in use is asked every 2 s', 1_995, undefined, true);
  t.end();
});
