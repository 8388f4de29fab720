/** Which gateways exchange their states directly, for fleets of several sizes. */
import t from 'tap';
import {
  MAX_GROUP_SIZE,
  planGossipGroups,
  type GossipGroup,
  type GossipPeer,
} from '../../../src/controllers/gossip/index.js';

function createFleet(size: number, domains: number): readonly GossipPeer[] {
  return Array.from({length: size}, (_, index) => ({
    id: `g${index}`,
    failureDomain: `d${index % domains}`,
    isLeaving: false,
  }));
}

function planAll(
  fleet: readonly GossipPeer[],
): ReadonlyMap<string, readonly GossipGroup<GossipPeer>[]> {
  return new Map(
    fleet.map(own => [
      own.id,
      planGossipGroups(
        own,
        fleet.filter(({id}) => id !== own.id),
      ),
    ]),
  );
}

t.test('planGossipGroups', t => {
  const doTest = (size: number, domains: number, maxLevels: number) => {
    t.test(`${size} gateways in ${domains} failure domains`, t => {
      const fleet = createFleet(size, domains);
      const plans = planAll(fleet);
      for (const [id, groups] of plans) {
        t.ok(groups.length <= maxLevels, `${id}: ${groups.length} levels`);
        for (const {level, fellows, headId} of groups) {
          if (fellows.length >= 2 * MAX_GROUP_SIZE) t.fail(`${id}: ${fellows.length} fellows`);
          for (const fellow of fellows) {
            const back = plans.get(fellow.id)?.find(group => group.level === level);
            const isMutual = back?.headId === headId && back.fellows.some(peer => peer.id === id);
            if (!isMutual) t.fail(`${id} and ${fellow.id} have different groups at level ${level}`);
          }
        }
      }
      const tops = new Set([...plans.values()].map(groups => getTopHead(plans, groups)));
      t.equal(tops.size, 1, 'one gateway at the top');
      t.end();
    });
  };
  doTest(1, 1, 1);
  doTest(9, 4, 1);
  doTest(12, 4, 1);
  doTest(13, 4, 2);
  doTest(91, 5, 2);
  doTest(88, 4, 2);
  doTest(30, 30, 2);
  doTest(300, 5, 3);
  doTest(1_000, 12, 4);

  t.test('groups of a large fleet lie within a failure domain', t => {
    const fleet = createFleet(91, 5);
    for (const [id, [{fellows}]] of planAll(fleet)) {
      const domain = fleet.find(peer => peer.id === id)?.failureDomain;
      if (fellows.some(({failureDomain}) => failureDomain !== domain)) t.fail(id);
    }
    t.pass('checked');
    t.end();
  });
  t.test('a leaving gateway does not represent its group', t => {
    const fleet = createFleet(91, 5);
    const [{headId}] = planGossipGroups(fleet[0], fleet.slice(1));
    const changed = fleet.map(peer => ({...peer, isLeaving: peer.id === headId}));
    t.not(planGossipGroups(changed[0], changed.slice(1))[0].headId, headId);
    t.end();
  });
  t.end();
});

/** Follows the heads from a gateway to the gateway at the top. */
function getTopHead(
  plans: ReadonlyMap<string, readonly GossipGroup<GossipPeer>[]>,
  groups: readonly GossipGroup<GossipPeer>[],
): string {
  const {headId} = groups[groups.length - 1];
  const headGroups = plans.get(headId) ?? [];
  return headGroups.at(-1)?.headId === headId ? headId : getTopHead(plans, headGroups);
}
