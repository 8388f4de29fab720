/** Tests of the expectations about caches, abusive requests and access by other workspaces. */
import t from 'tap';
import {checkAbuse, checkSpies} from '../../scenarios/runner/AbuseExpectations.js';
import {checkCachedPercent, checkRecomputed} from '../../scenarios/runner/CacheExpectations.js';
import type {RunEntry} from '../../standins/index.js';

function createRun(service: string, requestId: string, cachedTokens: number): RunEntry {
  return {service, requestId, promptTokens: 100, cachedTokens} as RunEntry;
}

function doTest(name: string, violations: readonly string[], expectedCount: number) {
  t.test(name, t => {
    t.equal(violations.length, expectedCount, violations.join());
    t.end();
  });
}

doTest('enough cached tokens', checkCachedPercent([createRun('s', '1', 80)], 70), 0);
doTest('too few cached tokens', checkCachedPercent([createRun('s', '1', 60)], 70), 1);
doTest('no runs', checkCachedPercent([], 70), 1);

const BOUND = {service: 's', than: 'r', maxPercent: 50};
const FIRST_RUNS = [createRun('s', '1', 0), createRun('r', '2', 0)];
const OTHER = createRun('r', '2', 0);
doTest(
  'fewer recomputed tokens',
  checkRecomputed([...FIRST_RUNS, createRun('s', '1', 80), OTHER], BOUND),
  0,
);
doTest(
  'as many recomputed tokens',
  checkRecomputed([...FIRST_RUNS, createRun('s', '1', 0), OTHER], BOUND),
  1,
);
doTest('no resumed runs', checkRecomputed(FIRST_RUNS, BOUND), 1);

const SLOW = {kind: 'slow-body', marker: 'abuse-1.'} as const;
const RUN = {body: '{"call":"abuse-1."}'} as RunEntry;
doTest('expected refusal status', checkAbuse([{...SLOW, status: 408}], []), 0);
doTest('unexpected refusal status', checkAbuse([{...SLOW, status: 500}], []), 1);
doTest('no response to an abusive request', checkAbuse([SLOW], []), 1);
doTest('abusive request that ran', checkAbuse([{...SLOW, status: 408}], [RUN]), 1);
doTest('no abusive requests', checkAbuse([], []), 1);

const SPY = {url: 'p', status: 404, text: '{"error":{}}', ownerStatus: 200, ownerText: 'answer'};
doTest('bare 404 for another workspace', checkSpies([SPY]), 0);
doTest(
  'response for another workspace',
  checkSpies([{...SPY, status: 200, text: '{"choices":[]}'}]),
  1,
);
doTest('no response for the owner', checkSpies([{...SPY, ownerStatus: 404}]), 1);
