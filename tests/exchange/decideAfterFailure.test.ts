/** Unit tests of a run's retry policy: which failed attempts are retried, and which error callers get. */
import t from 'tap';
import {decideAfterFailure, type FailureView} from '../../src/exchange/index.js';

const BROKEN: FailureView = {
  end: {kind: 'broken', status: undefined},
  kind: 'idempotent',
  isResumable: false,
  isResponseStarted: false,
  canResume: true,
  mayHaveRun: true,
  attempts: 1,
  maxAttempts: 2,
  remainingMs: 1_000,
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
  doTest('retries an idempotent request with a broken response', {}, retry);
  doTest('does not retry one whose response was started', {isResponseStarted: true}, end);
  doTest('does not retry an at-most-once request that may have run', {kind: 'at-most-once'}, end);
  doTest('does not exceed the attempts of the route', {attempts: 2}, end);
  doTest('does not retry a stream that is not resumable', {kind: 'stream'}, end);
  doTest(
    'resumes a resumable stream after its last event',
    {kind: 'stream', isResumable: true, isResponseStarted: true},
    retry,
  );
  doTest(
    'does not resume a resumable stream without event ids',
    {kind: 'stream', isResumable: true, isResponseStarted: true, canResume: false},
    end,
  );
  doTest(
    'retries an at-most-once request that a server did not run',
    {kind: 'at-most-once', maxAttempts: 1, mayHaveRun: false, end: notRun},
    {kind: 'retry', refusal: 'backend-refused'},
  );
  doTest(
    'refuses a request after three servers that did not run it',
    {kind: 'at-most-once', maxAttempts: 1, attempts: 3, mayHaveRun: false, end: notRun},
    {kind: 'end', refusal: 'backend-refused'},
  );
  doTest('does not retry a 4xx response', {end: {kind: 'answered-failure', status: 400}}, end);
  doTest('does not retry shortly before the deadline', {remainingMs: 10}, end);
  t.end();
});
