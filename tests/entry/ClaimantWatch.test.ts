/** Tests of the claimant watch. */
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

  doTest('is true for an alive member', 'alive', 60_000, true);
  doTest('is true for a suspect member', 'suspect', 60_000, true);
  doTest('is true for a leaving member', 'leaving', 60_000, true);
  doTest('is false for a dead member', 'dead', 0, false);
  doTest('is true for an unknown claimant within the grace time', undefined, 1_000, true);
  doTest('is false for an unknown claimant after the grace time', undefined, 6_000, false);
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
