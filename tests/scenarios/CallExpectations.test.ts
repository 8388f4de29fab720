/** Tests of the expectations about callers' answers: each must find what speaks against it. */
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
  function doTest(name: string, findings: readonly string[], expectedCount: number) {
    t.test(name, t => {
      t.equal(findings.length, expectedCount);
      t.end();
    });
  }

  const stream = (tokens: readonly string[], isWhole: boolean): CallRecord => ({
    ...createRecord([{...ATTEMPT, status: 200, tokens, isWhole}]),
    expectedText: 'a b ',
  });
  doTest('a whole stream', checkAnswers([stream(['a ', 'b '], true)], false), 0);
  doTest('a broken stream', checkAnswers([stream(['a '], false)], false), 1);
  doTest('a token twice', checkAnswers([stream(['a ', 'b ', 'b '], true)], false), 1);
  doTest('a token missing', checkAnswers([stream(['a '], true)], false), 1);
  doTest(
    'no entry there, then an answer',
    checkAnswers([createRecord([UNCONNECTED, ANSWERED])], false),
    0,
  );
  doTest('no entry there at all', checkAnswers([createRecord([UNCONNECTED])], false), 1);
  doTest('a lost answer, then one', checkAnswers([createRecord([LOST, ANSWERED])], false), 1);
  doTest('a refusal', checkAnswers([createRecord([REFUSED])], false), 1);
  doTest('a refusal that may be', checkAnswers([createRecord([REFUSED])], true), 0);
  doTest('one run', checkRuns([createRecord([ANSWERED])], [RUN]), 0);
  doTest('two runs', checkRuns([createRecord([ANSWERED])], [RUN, RUN]), 1);
  doTest('confirmed without a run', checkRuns([createRecord([ANSWERED])], []), 1);
  doTest('not run', checkNotRun([createRecord([REFUSED])], []), 0);
  doTest('not run, and yet it ran', checkNotRun([createRecord([REFUSED])], [RUN]), 1);
  const other = {...ANSWERED, text: 'second'};
  doTest('the same answer', checkRepeats([createRecord([ANSWERED], [ANSWERED])], 0), 0);
  doTest('another answer', checkRepeats([createRecord([ANSWERED], [other])], 0), 1);
  t.end();
});
