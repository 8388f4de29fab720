/** Tests of what is known of claimants. */
import t from 'tap';
import type {Member, MemberState} from '../../src/blackboard/index.js';
import {ClaimantWatch, createClaimant} from '../../src/entry/ClaimantWatch.js';

const NOW_MS = 1_000_000;
const CLAIMANT = createClaimant('entry-1', 'x');

t.test('isLive', t => {
  function doTest(name: string, state: MemberState | undefined, waitedMs: number, isLive: boolean) {
    t.test(name, t => {
      const watch = new ClaimantWatch();
      const members = state ? [createMember(state)] : [];
      watch.isLive(CLAIMANT, members, NOW_MS);
      t.equal(watch.isLive(CLAIMANT, members, NOW_MS + waitedMs), isLive);
      t.end();
    });
  }

  doTest('an alive member runs', 'alive', 60_000, true);
  doTest('a suspected member may run', 'suspect', 60_000, true);
  doTest('a leaving member may run', 'leaving', 60_000, true);
  doTest('a dead member does not run', 'dead', 0, false);
  doTest('a member not heard of yet may run', undefined, 1_000, true);
  doTest('a member not heard of for long does not run', undefined, 6_000, false);
  t.end();
});

function createMember(state: MemberState): Member {
  return {
    instanceId: 'entry-1',
    state,
    incarnation: 0,
    address: '127.0.0.1',
    peerPort: 1,
    callersPort: 2,
    failureDomain: 'a',
    configurationRevision: 1,
    changedAtMs: NOW_MS,
  };
}
