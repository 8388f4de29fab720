/** Unit tests of the retry policy; a booking is a request that isn't idempotent. */
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

  const nonIdempotent = {isIdempotent: false};
  doTest('retries a broken idempotent attempt at once', {}, {kind: 'retry', delayMs: 0});
  doTest('delays a second retry', {attempts: 2}, {kind: 'retry', delayMs: 100});
  doTest(
    'delays the retry when the server refused',
    {failure: 'refused'},
    {kind: 'retry', delayMs: 50},
  );
  doTest(
    'delays the retry when the budget is exhausted',
    {hasBudget: false},
    {kind: 'retry', delayMs: 250},
  );
  doTest(
    'moves a request without using the budget or counting as an attempt',
    {failure: 'moved', attempts: 9},
    {kind: 'retry', usesBudget: false},
  );
  doTest(
    'fails after the maximum number of attempts',
    {attempts: 6},
    {kind: 'fail', run: 'unknown'},
  );
  doTest('fails when the deadline has passed', {deadlineAtMs: 0}, {kind: 'fail', run: 'unknown'});
  doTest('fails a rejected request', {failure: 'rejected'}, {kind: 'fail', run: 'ran'});
  doTest('never retries a broken booking', nonIdempotent, {kind: 'fail', run: 'unknown'});
  doTest('never retries a stalled booking', {...nonIdempotent, failure: 'silent'}, {kind: 'fail'});
  doTest('never retries a refused booking', {...nonIdempotent, failure: 'refused'}, {kind: 'fail'});
  doTest(
    'never moves a booking',
    {...nonIdempotent, failure: 'moved'},
    {kind: 'fail', run: 'unknown'},
  );
  doTest(
    'retries a booking that was not sent',
    {...nonIdempotent, failure: 'not-connected'},
    {kind: 'retry'},
  );
  doTest(
    'reports a booking that was never sent as not run',
    {...nonIdempotent, failure: 'not-connected', attempts: 6},
    {kind: 'fail', run: 'not-run'},
  );
  t.end();
});
