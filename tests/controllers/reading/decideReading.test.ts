/** Who reads a shared log, and when. */
import t from 'tap';
import {getReaderRank, getReadingDelayMs} from '../../../src/controllers/reading/index.js';

const TIMES = {intervalMs: 700, maxRelayedAgeMs: 1_100, readsToldNews: false};
const VIEW = {rank: 3, knownOffset: 10, toldOffset: 0, ageMs: 200, sinceReadMs: 5_000};

function createCandidates(count: number, domains: number) {
  return Array.from({length: count}, (_, index) => ({
    id: `g${index}`,
    failureDomain: `d${index % domains}`,
  }));
}

function orderReaders(candidates: ReturnType<typeof createCandidates>) {
  const rank = ({id}: {readonly id: string}) => getReaderRank(id, candidates);
  return [...candidates].sort((a, b) => rank(a) - rank(b));
}

t.test('getReaderRank', t => {
  t.test('a gateway that hears no other is the first', t => {
    t.equal(getReaderRank('g0', createCandidates(1, 1)), 0);
    t.end();
  });
  for (const [count, domains] of [
    [7, 4],
    [9, 4],
    [90, 6],
  ]) {
    t.test(`the first of ${count} gateways stand in different failure domains`, t => {
      const first = orderReaders(createCandidates(count, domains)).slice(0, domains);
      t.equal(new Set(first.map(({failureDomain}) => failureDomain)).size, domains);
      t.end();
    });
  }
  t.test('all have different places, and the next one takes over for the first', t => {
    const candidates = createCandidates(9, 3);
    const ranks = candidates.map(({id}) => getReaderRank(id, candidates));
    t.same([...ranks].sort(), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
    const left = orderReaders(candidates).slice(1);
    t.equal(left.filter(({id}) => getReaderRank(id, left) === 0).length, 1);
    t.end();
  });
  t.end();
});

t.test('getReadingDelayMs', t => {
  function doTest(name: string, view: Partial<typeof VIEW>, readsToldNews: boolean, ms: number) {
    t.test(name, t => {
      t.equal(getReadingDelayMs({...VIEW, ...view}, {...TIMES, readsToldNews}), ms);
      t.end();
    });
  }
  doTest('a reader reads at its interval', {rank: 0, sinceReadMs: 100}, false, 600);
  doTest('a reader that is late reads now', {rank: 0, sinceReadMs: 900}, false, 0);
  doTest('others wait while they are told', {}, false, 1_200);
  doTest('the second reader waits less', {rank: 1}, false, 900);
  doTest('all behind the third wait alike', {rank: 60}, false, 1_200);
  doTest('others read when what they are told grows old', {ageMs: 1_400}, false, 0);
  doTest(
    'a reading that proved nothing is not repeated at once',
    {ageMs: 1_400, sinceReadMs: 300},
    false,
    400,
  );
  doTest('news is read at once', {toldOffset: 11, sinceReadMs: 0}, true, 0);
  doTest('news that comes with what is told is not read', {toldOffset: 11}, false, 1_200);
  doTest('what is known is no news', {toldOffset: 10}, true, 1_200);
  t.end();
});
