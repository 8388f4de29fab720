/** Tests of the schedule of load report requests. */
import t from 'tap';
import {isReportDue} from '../../src/entry/reportSchedule.js';

const NOW_MS = 100_000;

t.test('isReportDue', t => {
  function doTest(
    name: string,
    requestedAgoMs: number | undefined,
    usedAgoMs: number | undefined,
    isDue: boolean,
  ) {
    t.test(name, t => {
      const lastRequestedAtMs = requestedAgoMs === undefined ? undefined : NOW_MS - requestedAgoMs;
      const lastUsedAtMs = usedAgoMs === undefined ? undefined : NOW_MS - usedAgoMs;
      t.equal(isReportDue({lastRequestedAtMs, lastUsedAtMs, activeIntervalMs: 500}, NOW_MS), isDue);
      t.end();
    });
  }

  doTest('is true before the first request', undefined, undefined, true);
  doTest('is true at each tick for a server in use', 495, 0, true);
  doTest('is true at each tick for a recently used server', 505, 2_500, true);
  doTest('is false within 2 s for an unused server', 505, 10_000, false);
  doTest('is true after 2 s for an unused server', 1_995, undefined, true);
  t.end();
});
