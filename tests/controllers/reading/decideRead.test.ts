/** Tests which gateway reads a shared log, and when. */
import t from 'tap';
import {
  getReaderRank,
  getReadDelayMs,
  type LogPosition,
} from '../../../src/controllers/reading/index.js';

const TIMES = {intervalMs: 700, maxRelayedAgeMs: 1_100, readsReportedRecords: false};
const VIEW = {
  rank: 3,
  knownPosition: at(10),
  reportedPosition: at(0),
  ageMs: 200,
  sinceReadMs: 5_000,
};

/** Returns a position in the era of a store that was restored once, if not said otherwise. */
function at(offset: number, era = 1): LogPosition {
  return {era, offset};
}

function createCandidates(count: number, domains: number) {
  return Array.from({length: count}, (_, index) => ({
    id: `g${index}`,
    failureDomain: `d${index % domains}`,
  }));
}

function sortByRank(candidates: ReturnType<typeof createCandidates>) {
  const rank = ({id}: {readonly id: string}) => getReaderRank(id, candidates);
  return [...candidates].sort((a, b) => rank(a) - rank(b));
}

t.test('getReaderRank', t => {
  t.test('the only candidate has rank 0', t => {
    t.equal(getReaderRank('g0', createCandidates(1, 1)), 0);
    t.end();
  });
  for (const [count, domains] of [
    [7, 4],
    [9, 4],
    [90, 6],
  ]) {
    t.test(`the first ranks of ${count} gateways are in different failure domains`, t => {
      const firstRanks = sortByRank(createCandidates(count, domains)).slice(0, domains);
      t.equal(new Set(firstRanks.map(({failureDomain}) => failureDomain)).size, domains);
      t.end();
    });
  }
  t.test(
    'ranks are distinct, and another gateway takes over rank 0 when the first one leaves',
    t => {
      const candidates = createCandidates(9, 3);
      const ranks = candidates.map(({id}) => getReaderRank(id, candidates));
      t.same([...ranks].sort(), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
      const remaining = sortByRank(candidates).slice(1);
      t.equal(remaining.filter(({id}) => getReaderRank(id, remaining) === 0).length, 1);
      t.end();
    },
  );
  t.end();
});

t.test('getReadDelayMs', t => {
  function doTest(
    name: string,
    view: Partial<typeof VIEW>,
    readsReportedRecords: boolean,
    ms: number,
  ) {
    t.test(name, t => {
      t.equal(getReadDelayMs({...VIEW, ...view}, {...TIMES, readsReportedRecords}), ms);
      t.end();
    });
  }
  doTest('the designated reader reads at its interval', {rank: 0, sinceReadMs: 100}, false, 600);
  doTest('an overdue designated reader reads now', {rank: 0, sinceReadMs: 900}, false, 0);
  doTest('other ranks wait while their state is recent', {}, false, 1_200);
  doTest('the second reader waits less than the fourth', {rank: 1}, false, 900);
  doTest('lower ranks wait a little longer each', {rank: 10}, false, 1_340);
  doTest('the lowest ranks wait no longer than a limit', {rank: 60}, false, 1_800);
  doTest('other ranks read when their state is too old', {ageMs: 1_400}, false, 0);
  doTest(
    'a read that did not refresh the state is repeated only after the interval',
    {ageMs: 1_400, sinceReadMs: 300},
    false,
    400,
  );
  doTest(
    'a reported higher offset is read at once',
    {reportedPosition: at(11), sinceReadMs: 0},
    true,
    0,
  );
  doTest(
    'a lower offset of a restored store is read at once',
    {reportedPosition: at(3, 2), sinceReadMs: 0},
    true,
    0,
  );
  doTest(
    'a higher offset of before the store was restored triggers no read',
    {reportedPosition: at(90, 0)},
    true,
    1_200,
  );
  doTest('relayed records are not read again', {reportedPosition: at(11)}, false, 1_200);
  doTest('a reported known offset triggers no read', {reportedPosition: at(10)}, true, 1_200);
  t.end();
});
