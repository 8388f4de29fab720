/** Tests that the expectations about calls report each kind of violation, and nothing else. */
import t from 'tap';
import type {CallAttempt, CallRecord} from '../../scenarios/callers/index.js';
import {
  checkAnswers,
  checkNotRun,
  checkRepeats,
  checkRuns,
} from '../../scenarios/runner/CallExpectations.js';
import type {RunEntry} from '../../standins/index.js';

const ATTEMPT: CallAttempt = {
  entryUrl: 'http://127.0.0.1:1',
  startedAtMs: 0,
  endedAtMs: 10,
  isConnected: true,
  isWhole: true,
};
const UNCONNECTED = {...ATTEMPT, isConnected: false, isWhole: false};
const LOST = {...ATTEMPT, isWhole: false};
const REFUSED = {...ATTEMPT, status: 503, run: 'not-run'};
const ANSWERED = {...ATTEMPT, status: 201, text: 'first'};
const RUN = {body: '{"call":"call-1."}', startedAtMs: 5} as RunEntry;

function createRecord(
  attempts: readonly CallAttempt[],
  repeatAttempts: readonly CallAttempt[] = [],
) {
  return {load: 'l', marker: 'call-1.', attempts, repeatAttempts};
}

t.test('expectations', t => {
  function doTest(name: string, violations: readonly string[], expectedCount: number) {
    t.test(name, t => {
      t.equal(violations.length, expectedCount);
      t.end();
    });
  }

  const stream = (tokens: readonly string[], isWhole: boolean): CallRecord => ({
    ...createRecord([{...ATTEMPT, status: 200, tokens, isWhole}]),
    expectedText: 'a b ',
  });
  doTest('complete stream', checkAnswers([stream(['a ', 'b '], true)], false), 0);
  doTest('aborted stream', checkAnswers([stream(['a '], false)], false), 1);
  doTest('duplicate token', checkAnswers([stream(['a ', 'b ', 'b '], true)], false), 1);
  doTest('missing token', checkAnswers([stream(['a '], true)], false), 1);
  doTest(
    'unreachable entry, then a response',
    checkAnswers([createRecord([UNCONNECTED, ANSWERED])], false),
    0,
  );
  doTest('unreachable entry only', checkAnswers([createRecord([UNCONNECTED])], false), 1);
  doTest(
    'lost response, then a response',
    checkAnswers([createRecord([LOST, ANSWERED])], false),
    1,
  );
  doTest('refusal', checkAnswers([createRecord([REFUSED])], false), 1);
  doTest('allowed refusal', checkAnswers([createRecord([REFUSED])], true), 0);
  doTest('one run', checkRuns([createRecord([ANSWERED])], [RUN]), 0);
  doTest('two runs', checkRuns([createRecord([ANSWERED])], [RUN, RUN]), 1);
  doTest('confirmed call without a run', checkRuns([createRecord([ANSWERED])], []), 1);
  doTest('refused as not-run without a run', checkNotRun([createRecord([REFUSED])], []), 0);
  doTest('refused as not-run after a run', checkNotRun([createRecord([REFUSED])], [RUN]), 1);
  const other = {...ANSWERED, text: 'second'};
  doTest(
    'repeat with the same response',
    checkRepeats([createRecord([ANSWERED], [ANSWERED])], 0),
    0,
  );
  doTest('repeat with another response', checkRepeats([createRecord([ANSWERED], [other])], 0), 1);
  t.end();
});
