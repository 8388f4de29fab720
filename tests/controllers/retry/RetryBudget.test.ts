/** Property test of the retry budget. */
import fc from 'fast-check';
import t from 'tap';
import {RetryBudget} from '../../../src/controllers/retry/index.js';

const SEED = 20_261_205;
const RUNS = 1_000;
const OPTIONS = {windowMs: 1_000, sharePercent: 20, minRetries: 3};

t.test('RetryBudget', t => {
  t.test('keeps retries within their share of first attempts in every window', t => {
    const eventArbitrary = fc.record({isRetry: fc.boolean(), afterMs: fc.nat(40)});
    fc.assert(
      fc.property(fc.array(eventArbitrary, {maxLength: 300}), events => {
        const budget = new RetryBudget(OPTIONS);
        const firstAttempts: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        for (const {isRetry, afterMs} of events) {
          nowMs += afterMs;
          if (!isRetry) {
            budget.recordFirstAttempt(nowMs);
            firstAttempts.push(nowMs);
          } else if (budget.canRetry(nowMs)) {
            budget.recordRetry(nowMs);
            retries.push(nowMs);
          }
        }
        const isWithinShare = (endMs: number) => {
          const inWindow = (atMs: number) => atMs > endMs - OPTIONS.windowMs * 0.9 && atMs <= endMs;
          const attempts = firstAttempts.filter(
            atMs => atMs > endMs - OPTIONS.windowMs && atMs <= endMs,
          );
          return retries.filter(inWindow).length <= Math.max(3, Math.ceil(attempts.length / 5));
        };
        return retries.every(isWithinShare);
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('allows retries again when the window has passed', t => {
    const budget = new RetryBudget(OPTIONS);
    for (let i = 0; i < 3; i++) budget.recordRetry(0);
    t.notOk(budget.canRetry(500));
    t.ok(budget.canRetry(1_100));
    t.end();
  });
  t.end();
});
