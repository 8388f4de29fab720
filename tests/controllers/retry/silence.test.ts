/** Tests of silent connections. */
import t from 'tap';
import {SilenceCounter, getSilenceTimeouts} from '../../../src/controllers/retry/index.js';

t.test('getSilenceTimeouts', t => {
  const view = {
    expectedFirstTokenMs: 100,
    firstTokenTargetMs: 1_300,
    interTokenTargetMs: 52,
    earlierSilences: 0,
  };
  t.same(getSilenceTimeouts(view), {firstTokenMs: 1_600, interTokenMs: 1_040});
  t.same(getSilenceTimeouts({...view, earlierSilences: 1}), {
    firstTokenMs: 3_200,
    interTokenMs: 2_080,
  });
  t.end();
});

t.test('SilenceCounter', t => {
  const counter = new SilenceCounter();
  t.notOk(counter.addSilence('a'), 'one silent connection is the connection’s fault');
  t.ok(counter.addSilence('a'), 'two in a row count against the server');
  counter.addAnswer('a');
  t.notOk(counter.addSilence('a'), 'an answer between them starts the count anew');
  t.end();
});
