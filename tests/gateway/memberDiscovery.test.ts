/** A gateway that missed the announcement of another one learns of it all the same. */
import t from 'tap';
import {GossipFleet} from '../support/GossipFleet.js';

const GATEWAYS = 91;
/** Time in which all gateways of a fleet that starts at once know each other. */
const DISCOVERY_MS = 8_000;

t.test('all gateways of a fleet know each other soon after its start', async t => {
  for (const seed of [1, 2, 3, 4]) {
    const options = {gatewayCount: GATEWAYS, failureDomains: 5, serverCount: 10, lossShare: 0};
    const fleet = new GossipFleet({...options, seed});
    fleet.run(DISCOVERY_MS);
    const counts = fleet.gateways.map(({members}) => members.getLiveMembers(fleet.nowMs).length);
    t.same([...new Set(counts)], [GATEWAYS - 1], `seed ${seed}`);
  }
});
