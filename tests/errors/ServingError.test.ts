/** Tests of the messages and defaults of `ServingError`, and of the conversion of other errors. */
import t from 'tap';
import {ServingError, toServingError} from '../../src/errors/index.js';

t.test('ServingError', t => {
  const cause = new Error('connection refused');
  const error = new ServingError('the log is out', {kind: 'log-unavailable', cause});

  t.test('does not add the message of the cause to its own', t => {
    t.equal(error.message, 'the log is out');
    t.equal(error.cause, cause);
    t.end();
  });
  t.test('uses the run state and retry delay of its kind by default', t => {
    t.equal(error.run, 'unknown');
    t.equal(error.retryAfterMs, 5_000);
    t.end();
  });
  t.test('can override the run state of its kind', t => {
    t.equal(new ServingError('not sent', {kind: 'backend-failed', run: 'not-run'}).run, 'not-run');
    t.end();
  });
  t.end();
});

t.test('toServingError', t => {
  t.equal(toServingError(new Error('boom')).kind, 'internal');
  t.equal(toServingError(new Error('boom')).message, 'boom');
  t.end();
});
