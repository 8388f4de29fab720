/** Tests of the limit that answers of plain services give a backend server. */
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
const ANSWERS_TO_WARM = 40;
const USUAL_MS = 400;

const SERVER = createServer('a', {service: 'search'});

function createTracker(): ServerTracker {
  const tracker = new ServerTracker({
    ownInstanceId: 'entry-1',
    getEntries: () => [],
    getService: () => SEARCH,
    getNowMs: () => 0,
  });
  for (let index = 0; index < ANSWERS_TO_WARM; index += 1) answer(tracker, 1, USUAL_MS);
  return tracker;
}

/** Has one of some open calls answered. */
function answer(tracker: ServerTracker, open: number, observedMs: number): void {
  while (tracker.getOpenRequests('a') < open) tracker.addRequest('a');
  tracker.addAnswer(SERVER, ROUTE, observedMs);
  while (tracker.getOpenRequests('a') > 0) tracker.removeRequest('a');
}

/** Answers under full use, at a server that slows down beyond its capacity. */
function answerAtLimit(tracker: ServerTracker, capacity: number, answers: number): void {
  for (let index = 0; index < answers; index += 1) {
    const open = Math.max(1, tracker.getLimit(SERVER, SEARCH));
    answer(tracker, open, USUAL_MS * Math.max(1, (open / capacity) ** 3));
  }
}

t.test('ServerTracker.addAnswer', t => {
  t.test('finds the capacity of a plain server, and takes more when it can', t => {
    fc.assert(
      fc.property(
        fc.integer({min: 9, max: 16}),
        fc.integer({min: 60, max: 2_000}),
        (able, count) => {
          const tracker = createTracker();
          t.equal(tracker.getLimit(SERVER, SEARCH), SEARCH.maxConcurrentRequests);
          answerAtLimit(tracker, able, count);
          const lowered = tracker.getLimit(SERVER, SEARCH);
          answerAtLimit(tracker, SEARCH.maxConcurrentRequests, 100);
          return lowered < able * 2 && tracker.getLimit(SERVER, SEARCH) > lowered;
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('keeps the limit of a route whose answers just differ', t => {
    fc.assert(
      fc.property(fc.nat(), fc.integer({min: 5, max: 5_000}), (seed, meanMs) => {
        const random = createRandom(seed);
        const tracker = createTracker();
        const drawMs = () => -Math.log(1 - random()) * meanMs;
        for (let index = 0; index < 200; index += 1) answer(tracker, 1, drawMs());
        for (let index = 0; index < 500; index += 1) {
          answer(tracker, Math.max(1, tracker.getLimit(SERVER, SEARCH)), drawMs());
        }
        return tracker.getLimit(SERVER, SEARCH) >= SEARCH.maxConcurrentRequests / 2;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('learns a route that has become slow for good', t => {
    const tracker = createTracker();
    for (let index = 0; index < 500; index += 1) {
      answer(tracker, Math.max(1, tracker.getLimit(SERVER, SEARCH)), 10 * USUAL_MS);
    }
    t.ok(tracker.getLimit(SERVER, SEARCH) >= SEARCH.maxConcurrentRequests / 4);
    t.end();
  });
  t.test('leaves the server warm', t => {
    const tracker = createTracker();
    answerAtLimit(tracker, 4, 100);
    t.equal(tracker.getWarmth('a'), 'warm');
    t.end();
  });
  t.end();
});
