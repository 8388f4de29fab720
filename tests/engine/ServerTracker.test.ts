/** Tests of the concurrency limit that `ServerTracker` learns from the responses of plain services. */
import fc from 'fast-check';
import t from 'tap';
import type {Service} from '../../src/configuration/index.js';
import {ServerTracker} from '../../src/engine/index.js';
import {GUIDANCE, createServer} from '../support/deployment.js';
import {createRandom} from '../support/random.js';

const SEED = 20_261_214;
const RUNS = 200;
const ROUTE = 'GET /search';
const SEARCH: Service = {...GUIDANCE, name: 'search', kind: 'plain', maxConcurrentRequests: 32};
const WARM_UP_CALLS = 40;
const BASELINE_LATENCY_MS = 400;

const SERVER = createServer('a', {service: 'search'});

function createTracker(): ServerTracker {
  const tracker = new ServerTracker({
    ownInstanceId: 'entry-1',
    getEntries: () => [],
    getService: () => SEARCH,
    getNowMs: () => 0,
  });
  for (let index = 0; index < WARM_UP_CALLS; index += 1)
    completeCall(tracker, 1, BASELINE_LATENCY_MS);
  return tracker;
}

/** Opens calls up to a number, records the response of one of them and ends all. */
function completeCall(tracker: ServerTracker, open: number, observedMs: number): void {
  while (tracker.getOpenRequests('a') < open) tracker.addRequest('a');
  tracker.addResponse(SERVER, ROUTE, observedMs);
  while (tracker.getOpenRequests('a') > 0) tracker.removeRequest('a');
}

/** Completes calls at the current limit; latency grows with the cube of the load beyond the server's capacity. */
function completeCallsAtLimit(tracker: ServerTracker, capacity: number, callCount: number): void {
  for (let index = 0; index < callCount; index += 1) {
    const open = Math.max(1, tracker.getLimit(SERVER, SEARCH));
    completeCall(tracker, open, BASELINE_LATENCY_MS * Math.max(1, (open / capacity) ** 3));
  }
}

t.test('ServerTracker', t => {
  t.test(
    'lowers the limit to the capacity of a plain server, and raises it when capacity grows',
    t => {
      fc.assert(
        fc.property(
          fc.integer({min: 9, max: 16}),
          fc.integer({min: 60, max: 2_000}),
          (capacity, callCount) => {
            const tracker = createTracker();
            t.equal(tracker.getLimit(SERVER, SEARCH), SEARCH.maxConcurrentRequests);
            completeCallsAtLimit(tracker, capacity, callCount);
            const lowered = tracker.getLimit(SERVER, SEARCH);
            completeCallsAtLimit(tracker, SEARCH.maxConcurrentRequests, 100);
            return lowered < capacity * 2 && tracker.getLimit(SERVER, SEARCH) > lowered;
          },
        ),
        {seed: SEED, numRuns: RUNS},
      );
      t.end();
    },
  );
  t.test('keeps the limit of a route whose latency varies independently of load', t => {
    fc.assert(
      fc.property(fc.nat(), fc.integer({min: 5, max: 5_000}), (seed, meanMs) => {
        const random = createRandom(seed);
        const tracker = createTracker();
        const drawMs = () => -Math.log(1 - random()) * meanMs;
        for (let index = 0; index < 200; index += 1) completeCall(tracker, 1, drawMs());
        for (let index = 0; index < 500; index += 1) {
          completeCall(tracker, Math.max(1, tracker.getLimit(SERVER, SEARCH)), drawMs());
        }
        return tracker.getLimit(SERVER, SEARCH) >= SEARCH.maxConcurrentRequests / 2;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('learns the latency of a route that has become permanently slower', t => {
    const tracker = createTracker();
    for (let index = 0; index < 500; index += 1) {
      completeCall(
        tracker,
        Math.max(1, tracker.getLimit(SERVER, SEARCH)),
        10 * BASELINE_LATENCY_MS,
      );
    }
    t.ok(tracker.getLimit(SERVER, SEARCH) >= SEARCH.maxConcurrentRequests / 4);
    t.end();
  });
  t.test('does not lower the warmth of the server', t => {
    const tracker = createTracker();
    completeCallsAtLimit(tracker, 4, 100);
    t.equal(tracker.getWarmth('a'), 'warm');
    t.end();
  });
  t.end();
});
