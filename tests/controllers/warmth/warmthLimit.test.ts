/** Property tests of `getWarmthLimit`: the total over all entries at a server that isn't warm. */
import fc from 'fast-check';
import t from 'tap';
import {getWarmthLimit} from '../../../src/controllers/warmth/index.js';
import {GUIDANCE, createEntry, createServer} from '../../support/deployment.js';

const SEED = 20_261_208;
const RUNS = 3_000;
const ENTRIES = Array.from({length: 9}, (unused, index) => createEntry(`entry-${index}`));
const SERVICE = {...GUIDANCE, maxConcurrentRequests: 32, coldConcurrentRequests: 2};

/** Returns the sum of the limits of all entries, each with its own view of the cluster and of the server's warmth. */
function getTotalLimit(
  instanceId: string,
  views: ReadonlyArray<{readonly missing: readonly number[]; readonly level: number}>,
): number {
  const limits = views.map(({missing, level}, own) =>
    getWarmthLimit({
      server: createServer(instanceId, {warmth: 'cold'}),
      service: SERVICE,
      entries: ENTRIES.filter((unused, index) => index === own || !missing.includes(index)),
      ownInstanceId: ENTRIES[own].instanceId,
      level,
    }),
  );
  return limits.reduce((sum, limit) => sum + limit, 0);
}

t.test('getWarmthLimit', t => {
  const levels = fc.array(fc.double({min: 0, max: 0.99, noNaN: true}), {
    minLength: 9,
    maxLength: 9,
  });
  t.test('keeps the total within the limit for the highest level that any entry sees', t => {
    fc.assert(
      fc.property(fc.uuid(), levels, (instanceId, values) => {
        const views = values.map(level => ({level, missing: []}));
        return getTotalLimit(instanceId, views) <= 2 + Math.floor(30 * Math.max(...values));
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('exceeds the cold limit at most once more for each entry missing from a view', t => {
    const missing = fc.uniqueArray(fc.nat(8), {maxLength: 3});
    fc.assert(
      fc.property(
        fc.uuid(),
        fc.array(missing, {minLength: 9, maxLength: 9}),
        (instanceId, missingByEntry) => {
          const maxMissing = Math.max(...missingByEntry.map(({length}) => length));
          const views = missingByEntry.map(list => ({level: 0, missing: list}));
          return getTotalLimit(instanceId, views) <= 2 * (1 + maxMissing);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('assigns the whole cold limit when all entries have the same view', t => {
    fc.assert(
      fc.property(fc.uuid(), instanceId => {
        const views = ENTRIES.map(() => ({level: 0, missing: []}));
        return getTotalLimit(instanceId, views) === 2;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.end();
});
