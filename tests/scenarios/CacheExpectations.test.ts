/** Tests of the expectations about caches and about abusive callers. */
import t from 'tap';
import {checkAbuse, checkSpies} from '../../scenarios/runner/AbuseExpectations.js';
import {checkCachedPercent, checkRecomputed} from '../../scenarios/runner/CacheExpectations.js';
import type {RunEntry} from '../../standins/index.js';

function createRun(service: string, requestId: string, cachedTokens: number): RunEntry {
  return {service, requestId, promptTokens: 100, cachedTokens} as RunEntry;
}

function doTest(name: string, findings: readonly string[], expectedCount: number) {
  t.test(name, t => {
    t.equal(findings.length, expectedCount, findings.join());
    t.end();
  });
}

doTest('most was cached', checkCachedPercent([createRun('s', '1', 80)], 70), 0);
doTest('little was cached', checkCachedPercent([createRun('s', '1', 60)], 70), 1);
doTest('nothing ran', checkCachedPercent([], 70), 1);

const BOUND = {service: 's', than: 'r', maxPercent: 50};
const FIRST_RUNS = [createRun('s', '1', 0), createRun('r', '2', 0)];
const OTHER = createRun('r', '2', 0);
doTest(
  'less is computed',
  checkRecomputed([...FIRST_RUNS, createRun('s', '1', 80), OTHER], BOUND),
  0,
);
doTest(
  'as much is computed',
  checkRecomputed([...FIRST_RUNS, createRun('s', '1', 0), OTHER], BOUND),
  1,
);
doTest('nothing went on elsewhere', checkRecomputed(FIRST_RUNS, BOUND), 1);

const SLOW = {kind: 'slow-body', marker: 'abuse-1.'} as const;
const RUN = {body: '{"call":"abuse-1."}'} as RunEntry;
doTest('a refusal', checkAbuse([{...SLOW, status: 408}], []), 0);
doTest('another refusal', checkAbuse([{...SLOW, status: 500}], []), 1);
doTest('no answer', checkAbuse([SLOW], []), 1);
doTest('an abuse that ran', checkAbuse([{...SLOW, status: 408}], [RUN]), 1);
doTest('no abuse', checkAbuse([], []), 1);

const SPY = {place: 'p', status: 404, text: '{"error":{}}', ownerStatus: 200, ownerText: 'answer'};
doTest('a bare refusal', checkSpies([SPY]), 0);
doTest('an answer', checkSpies([{...SPY, status: 200, text: '{"choices":[]}'}]), 1);
doTest('no answer for the owner', checkSpies([{...SPY, ownerStatus: 404}]), 1);
