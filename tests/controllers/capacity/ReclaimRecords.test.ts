/**
 * Tests that reclaims are counted from the platform's instance list, both by a daemon that saw them happen and by one
 * that was started later. Otherwise a new lease holder would rank offers differently and move instances back and forth.
 */
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
const RECLAIMED = LIVE.slice(0, 6);
const AFTER_WAVE = [
  ...RECLAIMED.map(one => ({...one, state: 'gone' as const, leavingAtMs: WAVE_MS})),
  ...LIVE.slice(6),
];

/** Returns the records of a daemon that reads the list every minute. */
function watch(
  records: readonly ReclaimRecord[],
  instances: readonly Instance[],
  fromMs: number,
  toMs: number,
): readonly ReclaimRecord[] {
  let updated = records;
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 60_000) {
    updated = updateReclaimRecords(updated, instances, nowMs);
  }
  return updated;
}

t.test('updateReclaimRecords and getReclaimHistory', t => {
  const nowMs = WAVE_MS + HOUR_MS / 2;
  const watched = watch(watch([], LIVE, START_MS, WAVE_MS), AFTER_WAVE, WAVE_MS, nowMs);

  t.test('count reclaims and instance hours while the list is being read', t => {
    t.match(getReclaimHistory(watched, nowMs), [{reclaims: 6, instanceHours: 33}]);
    t.end();
  });

  t.test('give a daemon started after a wave of reclaims the same ranking of offers', t => {
    const late = updateReclaimRecords([], AFTER_WAVE, nowMs);
    t.match(getReclaimHistory(late, nowMs), [{reclaims: 6, instanceHours: 1}]);
    const prices = [
      {...PLACE, priceUsdPerHour: 1},
      {...PLACE, failureDomain: 'kasoa', priceUsdPerHour: 1.015},
    ];
    const getCheapest = (records: readonly ReclaimRecord[]) => {
      const reclaims = getReclaimHistory(records, nowMs);
      return getOffers({prices, reclaims, priceLimits: [], refusedStarts: []}, nowMs)[0];
    };
    t.equal(getCheapest([])?.failureDomain, 'accra');
    t.equal(getCheapest(watched)?.failureDomain, 'kasoa');
    t.equal(getCheapest(late)?.failureDomain, 'kasoa');
    t.end();
  });

  t.test('keep a reclaimed instance that is no longer listed', t => {
    const unlisted = updateReclaimRecords(watched, LIVE.slice(6), nowMs);
    t.match(getReclaimHistory(unlisted, nowMs), [{reclaims: 6}]);
    t.end();
  });

  t.test('do not count planned stops and on-demand instances', t => {
    const others = [
      createInstance(0, {state: 'gone'}),
      createInstance(1, {market: 'on-demand', state: 'leaving', leavingAtMs: nowMs}),
    ];
    t.same(getReclaimHistory(updateReclaimRecords([], others, nowMs), nowMs), []);
    t.end();
  });

  t.test('ignore reclaims older than six hours', t => {
    const laterMs = nowMs + 7 * HOUR_MS;
    const later = updateReclaimRecords(watched, LIVE.slice(6), laterMs);
    t.match(getReclaimHistory(later, laterMs), [{reclaims: 0}]);
    t.end();
  });
  t.end();
});
