/** Tests of warmth in virtual time. */
import t from 'tap';
import {
  createWarmth,
  getWarmthName,
  updateWarmth,
  type WarmthObservation,
  type WarmthState,
} from '../../../src/controllers/warmth/index.js';

const IN_TIME: WarmthObservation = {kind: 'first-token', expectedMs: 100, observedMs: 120};
const SLOW: WarmthObservation = {kind: 'first-token', expectedMs: 100, observedMs: 900};
const REPORT = {kind: 'load-report', coldRequests: 2, warmRequests: 16} as const;

function observe(state: WarmthState, times: number, observation: WarmthObservation): WarmthState {
  let next = state;
  for (let i = 0; i < times; i++) next = updateWarmth(next, observation, (i + 1) * 1_000);
  return next;
}

t.test('updateWarmth', t => {
  function doTest(
    name: string,
    observations: ReadonlyArray<readonly [number, WarmthObservation]>,
    expected: string,
  ) {
    t.test(name, t => {
      const end = observations.reduce(
        (state, [times, observation]) => observe(state, times, observation),
        createWarmth(0),
      );
      t.equal(getWarmthName(end), expected);
      t.end();
    });
  }

  doTest('starts cold', [], 'cold');
  doTest('warms by answers in time', [[8, IN_TIME]], 'warming');
  doTest('is warm after enough of them', [[24, IN_TIME]], 'warm');
  doTest('does not warm by slow answers', [[30, SLOW]], 'cold');
  doTest('does not warm by answers that broke off', [[30, {...IN_TIME, isBroken: true}]], 'cold');
  doTest('warms for others by reported work', [[61, {...REPORT, runningRequests: 1}]], 'warm');
  doTest(
    'is not warm for others by less of it',
    [[29, {...REPORT, runningRequests: 1}]],
    'warming',
  );
  doTest('does not warm while idle', [[100, {...REPORT, runningRequests: 0}]], 'cold');
  doTest('takes a loaded server for warm', [[1, {...REPORT, runningRequests: 16}]], 'warm');
  doTest(
    'suspects a warm server that slows down',
    [
      [24, IN_TIME],
      [3, SLOW],
    ],
    'suspect',
  );
  doTest(
    'forgives a single slow answer',
    [
      [24, IN_TIME],
      [2, SLOW],
      [1, IN_TIME],
    ],
    'warm',
  );
  doTest(
    'suspects a warm server whose cache was cleared',
    [
      [24, IN_TIME],
      [1, {kind: 'cache-cleared'}],
    ],
    'suspect',
  );
  doTest(
    'suspects a server that peers found cold',
    [
      [24, IN_TIME],
      [1, {kind: 'reported-cold'}],
    ],
    'suspect',
  );
  doTest(
    'does not clear a suspicion by the load that was sent before it',
    [
      [24, IN_TIME],
      [1, {kind: 'silent'}],
      [1, {...REPORT, runningRequests: 16}],
    ],
    'suspect',
  );
  doTest(
    'clears a suspicion by answers in time',
    [
      [1, {kind: 'silent'}],
      [24, IN_TIME],
    ],
    'warm',
  );
  t.end();
});
