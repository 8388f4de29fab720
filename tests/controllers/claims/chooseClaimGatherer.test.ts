/** Tests of the choice of gatherers. */
import t from 'tap';
import type {Member} from '../../../src/blackboard/index.js';
import {
  CLAIM_GATHERER_COUNT,
  MAX_SELF_CLAIMING_ENTRIES,
  chooseClaimGatherer,
  countClaimAppenders,
} from '../../../src/controllers/claims/index.js';

const KEY_COUNT = 1_000;

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

function countGatherers(members: readonly Member[]): number {
  const keys = Array.from({length: KEY_COUNT}, (empty, index) => `k${index}`);
  return new Set(keys.map(key => chooseClaimGatherer('w', key, members)?.instanceId)).size;
}

t.test('chooseClaimGatherer', t => {
  t.test('lets each of few entries claim for itself', t => {
    const members = createMembers(MAX_SELF_CLAIMING_ENTRIES);
    t.equal(chooseClaimGatherer('w', 'k', members), undefined);
    t.equal(countClaimAppenders(members), MAX_SELF_CLAIMING_ENTRIES);
    t.end();
  });

  t.test('names the same few gatherers however many entries there are', t => {
    for (const count of [10, 100]) {
      const members = createMembers(count);
      t.equal(countGatherers(members), CLAIM_GATHERER_COUNT);
      t.equal(countClaimAppenders(members), CLAIM_GATHERER_COUNT);
    }
    t.end();
  });

  t.test('passes over a dead gatherer', t => {
    const members = createMembers(20);
    const first = chooseClaimGatherer('w', 'k', members)?.instanceId;
    const left = members.map(member =>
      member.instanceId === first ? {...member, state: 'dead' as const} : member,
    );
    const second = chooseClaimGatherer('w', 'k', left)?.instanceId;
    t.ok(second !== undefined && second !== first);
    t.end();
  });
  t.end();
});
