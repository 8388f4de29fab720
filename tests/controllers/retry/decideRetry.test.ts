/** Tests of retry decisions. */
import t from 'tap';
import {decideRetry, type RetryView} from '../../../src/controllers/retry/index.js';

const VIEW: RetryView = {
  failure: 'broken',
  isIdempotent: true,
  attempts: 1,
  deadlineAtMs: 10_000,
  hasBudget: true,
};

t.test('decideRetry', t => {
  function doTest(name: string, view: Partial<RetryView>, expected: object) {
    t.test(name, t => {
      t.match(
        decideRetry({...VIEW, ...view}, 0, () => 0.5),
        expected,
      );
      t.end();
    });
  }

  const once = {isIdempotent: false};
  doTest('retries a broken idempotent try at once', {}, {kind: 'retry', delayMs: 0});
  doTest('waits before a second retry', {attempts: 2}, {kind: 'retry', delayMs: 100});
  doTest('waits where the server refused', {failure: 'refused'}, {kind: 'retry', delayMs: 50});
  doTest('waits where the budget is used up', {hasBudget: false}, {kind: 'retry', delayMs: 250});
  doTest(
    'moves without budget',
    {failure: 'moved', attempts: 9},
    {kind: 'retry', usesBudget: false},
  );
  doTest('fails past the most tries', {attempts: 6}, {kind: 'fail', run: 'unknown'});
  doTest('fails past the deadline', {deadlineAtMs: 0}, {kind: 'fail', run: 'unknown'});
  doTest('fails a rejected request', {failure: 'rejected'}, {kind: 'fail', run: 'ran'});
  doTest('never repeats a broken booking', once, {kind: 'fail', run: 'unknown'});
  doTest('never repeats a silent booking', {...once, failure: 'silent'}, {kind: 'fail'});
  doTest('never repeats a refused booking', {...once, failure: 'refused'}, {kind: 'fail'});
  doTest('never moves a booking', {...once, failure: 'moved'}, {kind: 'fail', run: 'unknown'});
  doTest(
    'retries a booking that was not sent',
    {...once, failure: 'not-connected'},
    {kind: 'retry'},
  );
  doTest(
    'says not run of a booking that was never sent',
    {...once, failure: 'not-connected', attempts: 6},
    {kind: 'fail', run: 'not-run'},
  );
  t.end();
});
