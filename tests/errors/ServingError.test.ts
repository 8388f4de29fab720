/** Tests of the error class. */
import t from 'tap';
import {ServingError, toServingError} from '../../src/errors/index.js';

t.test('ServingError', t => {
  const cause = new Error('connection refused');
  const error = new ServingError('the log is out', {kind: 'log-unavailable', cause});

  t.test('keeps its message to one line, whatever the cause says', t => {
    t.equal(error.message, 'the log is out');
    t.equal(error.cause, cause);
    t.end();
  });
  t.test('takes run and retry hint from the table of kinds', t => {
    t.equal(error.run, 'unknown');
    t.equal(error.retryAfterMs, 5_000);
    t.end();
  });
  t.test('can know better than the table', t => {
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
