/** Unit tests of the warmth estimate, in virtual time. */
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
  doTest('is warming after some responses in time', [[8, IN_TIME]], 'warming');
  doTest('is warm after enough of them', [[24, IN_TIME]], 'warm');
  doTest('does not warm by slow responses', [[30, SLOW]], 'cold');
  doTest('does not warm by aborted responses', [[30, {...IN_TIME, isAborted: true}]], 'cold');
  doTest(
    'is warm after a minute of reported load',
    [[61, {...REPORT, runningRequests: 1}]],
    'warm',
  );
  doTest(
    'is only warming after less reported load',
    [[29, {...REPORT, runningRequests: 1}]],
    'warming',
  );
  doTest('does not warm while idle', [[100, {...REPORT, runningRequests: 0}]], 'cold');
  doTest(
    'considers a server with the load of a warm one warm',
    [[1, {...REPORT, runningRequests: 16}]],
    'warm',
  );
  doTest(
    'suspects a warm server that slows down',
    [
      [24, IN_TIME],
      [3, SLOW],
    ],
    'suspect',
  );
  doTest(
    'stays warm after two slow responses and one in time',
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
    'suspects a server that other entries reported as cold',
    [
      [24, IN_TIME],
      [1, {kind: 'reported-cold'}],
    ],
    'suspect',
  );
  doTest(
    'does not clear a suspicion by a load report, since the load may be older',
    [
      [24, IN_TIME],
      [1, {kind: 'silent'}],
      [1, {...REPORT, runningRequests: 16}],
    ],
    'suspect',
  );
  doTest(
    'clears a suspicion by responses in time',
    [
      [1, {kind: 'silent'}],
      [24, IN_TIME],
    ],
    'warm',
  );
  t.end();
});
