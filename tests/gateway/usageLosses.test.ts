/** The counts of a usage window, with different datagrams lost. */
import t from 'tap';
import {createSeededRandom} from '../../src/utils/index.js';
import {GossipFleet} from '../support/GossipFleet.js';

const LOSS_SHARE = 0.02;
const SETTLING_MS = 8_000;
/** Time after the end of a window at which it is reported. */
const REPORT_DELAY_MS = 3_500;
const REQUEST_SHARE = 0.02;
const SEEDS = 6;

/** Returns the counts that the gateways know of a window when it is reported, and the true count. */
function countWindow(gatewayCount: number, seed: number) {
  const fleet = new GossipFleet({
    gatewayCount,
    failureDomains: 5,
    serverCount: 10,
    seed,
    lossShare: LOSS_SHARE,
  });
  fleet.run(SETTLING_MS);
  const random = createSeededRandom(seed);
  const [{usageLedger}] = fleet.gateways;
  const window = usageLedger.getWindow(fleet.wallMs) + 1;
  let expected = 0;
  fleet.run(usageLedger.getWindowEndMs(window) - fleet.wallMs, () => {
    for (const gateway of fleet.gateways) {
      if (random() >= REQUEST_SHARE) continue;
      gateway.usageLedger.addRequest('w', fleet.wallMs);
      if (gateway.usageLedger.getWindow(fleet.wallMs) === window) expected += 1;
    }
  });
  fleet.run(REPORT_DELAY_MS);
  const totals = fleet.gateways.map(gateway => gateway.usageLedger.getTotal(window).get('w'));
  return {totals, expected};
}

t.test('the counts of a usage window are complete whichever datagrams are lost', t => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const {totals, expected} = countWindow(30, seed);
    t.same([...new Set(totals)], [expected], `seed ${seed}`);
  }
  const {totals, expected} = countWindow(91, 1);
  t.same([...new Set(totals)], [expected], '91 gateways');
  t.end();
});
