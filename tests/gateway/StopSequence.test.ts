/** Tests of `StopSequence` in virtual time. */
import t from 'tap';
import {StopSequence, type StoppableParts} from '../../src/gateway/index.js';
import {silentEvents} from '../../src/logging/index.js';

const GRACE_MS = 8_000;
const TICK_MS = 100;

interface StopPlay {
  readonly calls: string[];
  /** Time from the beginning until the process may exit. */
  readonly durationMs: number;
}

/** @param getOpenExchanges - Open exchanges by the time since the beginning; `hasEnded` after they were ended. */
function play(getOpenExchanges: (nowMs: number, hasEnded: boolean) => number): StopPlay {
  const calls: string[] = [];
  let nowMs = 0;
  const parts: StoppableParts = {
    beginStop: endsRequestsAtMs => calls.push(`begin ${endsRequestsAtMs}`),
    endOpenRequests: () => calls.push(`end at ${nowMs}`),
    getOpenExchanges: () => getOpenExchanges(nowMs, calls.length > 1),
    closeListeners: () => calls.push('close'),
  };
  const sequence = new StopSequence({parts, graceMs: GRACE_MS, events: silentEvents}, nowMs);
  while (!sequence.tick(nowMs) && nowMs < 2 * GRACE_MS) nowMs += TICK_MS;
  return {calls, durationMs: nowMs};
}

t.test('StopSequence', async t => {
  t.test('waits for callers with cached addresses, then exits if nothing is open', async t => {
    const {calls, durationMs} = play(() => 0);
    t.same(calls, ['begin 7200', 'close']);
    t.equal(durationMs, 3_200);
  });
  t.test('waits for open exchanges', async t => {
    const {calls, durationMs} = play(nowMs => (nowMs < 5_000 ? 1 : 0));
    t.same(calls, ['begin 7200', 'close']);
    t.equal(durationMs, 5_000);
  });
  t.test(
    'ends requests early enough that their responses are sent before the process is killed',
    async t => {
      const {calls, durationMs} = play((_, hasEnded) => (hasEnded ? 0 : 3));
      t.same(calls, ['begin 7200', 'end at 7200', 'close']);
      t.equal(durationMs, 7_200);
    },
  );
  t.test('exits before the process is killed even if responses cannot be sent', async t => {
    const {calls, durationMs} = play(() => 1);
    t.same(calls, ['begin 7200', 'end at 7200', 'close']);
    t.ok(durationMs < GRACE_MS);
  });
});
