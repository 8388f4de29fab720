/** Unit tests of stall timeouts and the count of consecutive stalled connections. */
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
  t.notOk(counter.addSilence('a'), 'one stalled connection is attributed to the connection');
  t.ok(counter.addSilence('a'), 'two consecutive ones are attributed to the server');
  counter.addAnswer('a');
  t.notOk(counter.addSilence('a'), 'a response resets the count');
  t.end();
});
