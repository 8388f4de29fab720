/** Tests which entries aggregate claims, and for which other entries. */
import t from 'tap';
import type {Member} from '../../../src/blackboard/index.js';
import {
  CLAIM_AGGREGATOR_COUNT,
  MAX_ENTRIES_WITHOUT_AGGREGATORS,
  chooseClaimAggregator,
  countClaimAppenders,
} from '../../../src/controllers/claims/index.js';

function createMembers(count: number): readonly Member[] {
  return Array.from({length: count}, (empty, index) => ({
    instanceId: `e${index}`,
    state: 'alive',
    incarnation: 1,
    address: '127.0.0.1',
    peerPort: 1,
    callersPort: 1,
    failureDomain: 'fd-a',
    configurationRevision: 1,
    changedAtMs: 0,
  }));
}

/** Returns the number of entries that claim through each aggregator, including the aggregator itself. */
function countByAggregator(members: readonly Member[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {instanceId} of members) {
    const aggregatorId = chooseClaimAggregator(instanceId, members)?.instanceId ?? instanceId;
    counts.set(aggregatorId, (counts.get(aggregatorId) ?? 0) + 1);
  }
  return counts;
}

t.test('chooseClaimAggregator', t => {
  t.test('lets each entry append its own claims in a small deployment', t => {
    const members = createMembers(MAX_ENTRIES_WITHOUT_AGGREGATORS);
    t.equal(countByAggregator(members).size, MAX_ENTRIES_WITHOUT_AGGREGATORS);
    t.equal(countClaimAppenders('e0', members), MAX_ENTRIES_WITHOUT_AGGREGATORS);
    t.end();
  });

  t.test('chooses the same number of aggregators at any size, with equal shares', t => {
    for (const count of [10, 100]) {
      const members = createMembers(count);
      const share = count / CLAIM_AGGREGATOR_COUNT;
      t.same([...countByAggregator(members).values()], Array(CLAIM_AGGREGATOR_COUNT).fill(share));
    }
    t.end();
  });

  t.test('does not choose a dead aggregator', t => {
    const members = createMembers(20);
    const [first, second] = countByAggregator(members).keys();
    const afterFailure = members.map(member =>
      member.instanceId === first ? {...member, state: 'dead' as const} : member,
    );
    const survivors = afterFailure.filter(({state}) => state === 'alive');
    for (const {instanceId} of survivors) {
      t.not(chooseClaimAggregator(instanceId, afterFailure)?.instanceId, first);
    }
    t.equal(countByAggregator(survivors).size, CLAIM_AGGREGATOR_COUNT);
    t.ok(countByAggregator(survivors).has(second), 'the other aggregator stays');
    t.end();
  });

  t.test('an entry that is missing from the members uses an aggregator', t => {
    const members = createMembers(20);
    t.ok(countByAggregator(members).has(chooseClaimAggregator('other', members)?.instanceId ?? ''));
    t.end();
  });
  t.end();
});

t.test('countClaimAppenders', t => {
  const members = createMembers(100);
  const countById = countByAggregator(members);
  for (const {instanceId} of members) {
    const expected = countById.has(instanceId) ? CLAIM_AGGREGATOR_COUNT : members.length;
    t.equal(countClaimAppenders(instanceId, members), expected);
  }
  t.end();
});
