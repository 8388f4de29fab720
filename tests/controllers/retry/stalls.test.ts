/** Unit tests of stall timeouts and the count of consecutive stalled connections. */
import t from 'tap';
import {StalledConnectionCounter, getStallTimeouts} from '../../../src/controllers/retry/index.js';

t.test('getStallTimeouts', t => {
  const view = {
    expectedFirstTokenMs: 100,
    firstTokenTargetMs: 1_300,
    interTokenTargetMs: 52,
    earlierStalls: 0,
  };
  t.same(getStallTimeouts(view), {firstTokenMs: 1_600, interTokenMs: 1_040});
  t.same(getStallTimeouts({...view, earlierStalls: 1}), {
    firstTokenMs: 3_200,
    interTokenMs: 2_080,
  });
  t.end();
});

t.test('StalledConnectionCounter', t => {
  const counter = new StalledConnectionCounter();
  t.notOk(counter.recordStall('a'), 'one stalled connection is attributed to the connection');
  t.ok(counter.recordStall('a'), 'two consecutive ones are attributed to the server');
  counter.recordResponse('a');
  t.notOk(counter.recordStall('a'), 'a response resets the count');
  t.end();
});
