/** Which failed tries are followed by another one, and what callers are told. */
import t from 'tap';
import {decideAfterFailure, type FailureView} from '../../src/exchange/index.js';

const BROKEN: FailureView = {
  end: {kind: 'broken', status: undefined},
  kind: 'idempotent',
  isResumable: false,
  isAnswerStarted: false,
  canResume: true,
  mayHaveRun: true,
  attempts: 1,
  maxAttempts: 2,
  leftMs: 1_000,
};

t.test('decideAfterFailure', t => {
  const doTest = (
    name: string,
    view: Partial<FailureView>,
    expected: ReturnType<typeof decideAfterFailure>,
  ) => {
    t.test(name, t => {
      t.same(decideAfterFailure({...BROKEN, ...view}), expected);
      t.end();
    });
  };
  const notRun = {kind: 'not-run', status: 503} as const;
  const retry = {kind: 'retry', refusal: 'backend-failed'} as const;
  const end = {kind: 'end', refusal: 'backend-failed'} as const;
  doTest('an idempotent request that broke is tried again', {}, retry);
  doTest('an idempotent request whose answer has begun is not', {isAnswerStarted: true}, end);
  doTest('a request that may have run and is at most once is not', {kind: 'at-most-once'}, end);
  doTest('the attempts of the route are kept', {attempts: 2}, end);
  doTest('a stream that is not resumable is not', {kind: 'stream'}, end);
  doTest(
    'a resumable stream goes on after its last event',
    {kind: 'stream', isResumable: true, isAnswerStarted: true},
    retry,
  );
  doTest(
    'a resumable stream without event ids does not',
    {kind: 'stream', isResumable: true, isAnswerStarted: true, canResume: false},
    end,
  );
  doTest(
    'a request that a server did not run is tried elsewhere, at most once or not',
    {kind: 'at-most-once', maxAttempts: 1, mayHaveRun: false, end: notRun},
    {kind: 'retry', refusal: 'backend-refused'},
  );
  doTest(
    'after three servers that did not run it the caller is told so',
    {kind: 'at-most-once', maxAttempts: 1, attempts: 3, mayHaveRun: false, end: notRun},
    {kind: 'end', refusal: 'backend-refused'},
  );
  doTest(
    'a failure of the request itself is not tried again',
    {end: {kind: 'answered-failure', status: 400}},
    end,
  );
  doTest('no try is made without time', {leftMs: 10}, end);
  t.end();
});
