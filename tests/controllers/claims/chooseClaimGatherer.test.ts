/** Tests of the choice of gatherers. */
import t from 'tap';
import type {Member} from '../../../src/blackboard/index.js';
import {
  CLAIM_GATHERER_COUNT,
  MAX_SELF_CLAIMING_ENTRIES,
  chooseClaimGatherer,
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

/** Returns how many entries claim at each gatherer, its own claims included. */
function countClaimants(members: readonly Member[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {instanceId} of members) {
    const gatherer = chooseClaimGatherer(instanceId, members)?.instanceId ?? instanceId;
    counts.set(gatherer, (counts.get(gatherer) ?? 0) + 1);
  }
  return counts;
}

t.test('chooseClaimGatherer', t => {
  t.test('lets each of few entries claim for itself', t => {
    const members = createMembers(MAX_SELF_CLAIMING_ENTRIES);
    t.equal(countClaimants(members).size, MAX_SELF_CLAIMING_ENTRIES);
    t.equal(countClaimAppenders('e0', members), MAX_SELF_CLAIMING_ENTRIES);
    t.end();
  });

  t.test('names the same few gatherers however many entries there are, with equal shares', t => {
    for (const count of [10, 100]) {
      const members = createMembers(count);
      const share = count / CLAIM_GATHERER_COUNT;
      t.same([...countClaimants(members).values()], Array(CLAIM_GATHERER_COUNT).fill(share));
    }
    t.end();
  });

  t.test('passes over a dead gatherer', t => {
    const members = createMembers(20);
    const [first, second] = countClaimants(members).keys();
    const left = members.map(member =>
      member.instanceId === first ? {...member, state: 'dead' as const} : member,
    );
    const living = left.filter(({state}) => state === 'alive');
    for (const {instanceId} of living) {
      t.not(chooseClaimGatherer(instanceId, left)?.instanceId, first);
    }
    t.equal(countClaimants(living).size, CLAIM_GATHERER_COUNT);
    t.ok(countClaimants(living).has(second), 'the other one stays');
    t.end();
  });

  t.test('an entry that knows no member of its own name claims at a gatherer', t => {
    const members = createMembers(20);
    t.ok(countClaimants(members).has(chooseClaimGatherer('other', members)?.instanceId ?? ''));
    t.end();
  });
  t.end();
});

t.test('countClaimAppenders', t => {
  const members = createMembers(100);
  const gatherers = countClaimants(members);
  for (const {instanceId} of members) {
    const expected = gatherers.has(instanceId) ? CLAIM_GATHERER_COUNT : members.length;
    t.equal(countClaimAppenders(instanceId, members), expected);
  }
  t.end();
});
