/** Tests that reclaims are counted from the platform's list, alike by those who watched and those who came later. */
import t from 'tap';
import type {Instance} from '../../../src/blackboard/index.js';
import {
  getOffers,
  getReclaimHistory,
  updateReclaimRecords,
  type ReclaimRecord,
} from '../../../src/controllers/capacity/index.js';

const HOUR_MS = 3_600_000;
const START_MS = 100 * HOUR_MS;
const PLACE = {failureDomain: 'accra', machineClass: 'a100', market: 'reclaimable'} as const;

function createInstance(index: number, changes: Partial<Instance> = {}): Instance {
  const place = {address: '127.0.0.1', port: 1, service: 'guidance', version: 'v1'};
  return {instanceId: `i-${index}`, role: 'backend', state: 'live', ...PLACE, ...place, ...changes};
}

const LIVE = Array.from({length: 8}, (ignored, index) => createInstance(index));
const WAVE_MS = START_MS + 4 * HOUR_MS;
const HIT = LIVE.slice(0, 6);
const AFTER_WAVE = [
  ...HIT.map(one => ({...one, state: 'gone' as const, leavingAtMs: WAVE_MS})),
  ...LIVE.slice(6),
];

/** Returns what a daemon knows that looks at a list every minute. */
function watch(
  records: readonly ReclaimRecord[],
  instances: readonly Instance[],
  fromMs: number,
  toMs: number,
): readonly ReclaimRecord[] {
  let seen = records;
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 60_000) {
    seen = updateReclaimRecords(seen, instances, nowMs);
  }
  return seen;
}

t.test('updateReclaimRecords and getReclaimHistory', t => {
  const nowMs = WAVE_MS + HOUR_MS / 2;
  const watched = watch(watch([], LIVE, START_MS, WAVE_MS), AFTER_WAVE, WAVE_MS, nowMs);

  t.test('count the reclaims and hours that were watched', t => {
    t.match(getReclaimHistory(watched, nowMs), [{reclaims: 6, instanceHours: 33}]);
    t.end();
  });

  t.test('give a daemon that came after a wave the same order of offers', t => {
    const late = updateReclaimRecords([], AFTER_WAVE, nowMs);
    t.match(getReclaimHistory(late, nowMs), [{reclaims: 6, instanceHours: 1}]);
    const prices = [
      {...PLACE, priceUsdPerHour: 1},
      {...PLACE, failureDomain: 'kasoa', priceUsdPerHour: 1.015},
    ];
    const readCheapest = (records: readonly ReclaimRecord[]) => {
      const reclaims = getReclaimHistory(records, nowMs);
      return getOffers({prices, reclaims, priceLimits: [], refusedStarts: []}, nowMs)[0];
    };
    t.equal(readCheapest([])?.failureDomain, 'accra');
    t.equal(readCheapest(watched)?.failureDomain, 'kasoa');
    t.equal(readCheapest(late)?.failureDomain, 'kasoa');
    t.end();
  });

  t.test('keep a reclaimed instance that the list no longer has', t => {
    const forgotten = updateReclaimRecords(watched, LIVE.slice(6), nowMs);
    t.match(getReclaimHistory(forgotten, nowMs), [{reclaims: 6}]);
    t.end();
  });

  t.test('count no planned stop and no instance on demand', t => {
    const others = [
      createInstance(0, {state: 'gone'}),
      createInstance(1, {market: 'on-demand', state: 'leaving', leavingAtMs: nowMs}),
    ];
    t.same(getReclaimHistory(updateReclaimRecords([], others, nowMs), nowMs), []);
    t.end();
  });

  t.test('forget after hours', t => {
    const laterMs = nowMs + 7 * HOUR_MS;
    const later = updateReclaimRecords(watched, LIVE.slice(6), laterMs);
    t.match(getReclaimHistory(later, laterMs), [{reclaims: 0}]);
    t.end();
  });
  t.end();
});
