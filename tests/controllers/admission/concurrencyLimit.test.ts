/** Property tests of the adaptive concurrency limit. */
import fc from 'fast-check';
import t from 'tap';
import {
  createConcurrencyLimit,
  updateConcurrencyLimit,
} from '../../../src/controllers/admission/index.js';

const SEED = 20_261_207;
const BOUNDS = {minLimit: 1, maxLimit: 32};

t.test('updateConcurrencyLimit', t => {
  t.test('stays within its bounds', t => {
    const sampleArbitrary = fc.record({
      expectedMs: fc.integer({min: 0, max: 1_000}),
      observedMs: fc.integer({min: 1, max: 60_000}),
      openRequests: fc.nat(40),
    });
    fc.assert(
      fc.property(fc.array(sampleArbitrary, {maxLength: 200}), samples => {
        let state = createConcurrencyLimit(BOUNDS);
        for (const sample of samples) state = updateConcurrencyLimit(state, sample, BOUNDS);
        return state.limit >= BOUNDS.minLimit && state.limit <= BOUNDS.maxLimit;
      }),
      {seed: SEED, numRuns: 1_000},
    );
    t.end();
  });
  t.test('converges near the capacity of a server, and rises when the capacity grows', t => {
    const capacities = fc.integer({min: 4, max: 20});
    fc.assert(
      fc.property(capacities, capacity => {
        const run = (start: ReturnType<typeof createConcurrencyLimit>, serverCapacity: number) => {
          let state = start;
          for (let i = 0; i < 60; i++) {
            const openRequests = Math.floor(state.limit);
            const observedMs = 100 * Math.max(1, (openRequests / serverCapacity) ** 3);
            state = updateConcurrencyLimit(
              state,
              {expectedMs: 100, observedMs, openRequests},
              BOUNDS,
            );
          }
          return state;
        };
        const lowered = run(createConcurrencyLimit(BOUNDS), capacity);
        const raised = run(lowered, BOUNDS.maxLimit);
        return lowered.limit < capacity * 2 && raised.limit > lowered.limit;
      }),
      {seed: SEED, numRuns: 100},
    );
    t.end();
  });
  // Cached prompts answer faster than predicted. Without a floor, the baseline follows them down and normal responses
  // then look like an overload that never ends.
  t.test('recovers after an overload that follows many faster-than-predicted responses', t => {
    const run = (
      start: ReturnType<typeof createConcurrencyLimit>,
      expectedMs: number,
      observedMs: number,
      responses: number,
    ) => {
      let state = start;
      for (let i = 0; i < responses; i++) {
        const openRequests = Math.floor(state.limit);
        state = updateConcurrencyLimit(state, {expectedMs, observedMs, openRequests}, BOUNDS);
      }
      return state;
    };
    const baseline = run(createConcurrencyLimit(BOUNDS), 300, 100, 500);
    const overloaded = run(baseline, 40, 2_000, 100);
    const recovered = run(overloaded, 40, 70, 60);
    t.ok(overloaded.limit < BOUNDS.maxLimit / 2, `${overloaded.limit} during the overload`);
    t.ok(recovered.limit > BOUNDS.maxLimit / 2, `${recovered.limit} after it`);
    t.end();
  });
  t.end();
});
