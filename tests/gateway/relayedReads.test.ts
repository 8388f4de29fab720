/** How new a fleet of gateways believes the operators' records to be after the last read of them. */
import t from 'tap';
import {GossipFleet} from '../support/GossipFleet.js';

/** Longest time of a datagram in transit, and the steps in which a read reaches any gateway: up, across and down. */
const MAX_TRANSIT_MS = 150;
const MAX_STEPS = 3;
/** The gateways stop serving at four fifths of the time within which a revoked key must be refused, which is 5 s. */
const MARGIN_MS = 1_000;
/** Time for which a datagram may wait in the socket of a gateway that stands still. */
const LONG_WAIT_MS = 9_000;
/** Age of the operators' records above which gateways refuse requests. */
const REFUSED_AFTER_MS = 4_750;
const LOSS_SHARE = 0.02;
const SETTLING_MS = 8_000;
const STORE_AWAY_MS = 12_000;
const READ_INTERVAL_MS = 1_000;
const READERS = 3;

/** Lets a few gateways read as if the store had no new records, and the others have read once. */
function createFleet(
  gatewayCount: number,
  seed: number,
  maxTransitMs = MAX_TRANSIT_MS,
): GossipFleet {
  const fleet = new GossipFleet({
    gatewayCount,
    failureDomains: 5,
    serverCount: 4,
    seed,
    lossShare: LOSS_SHARE,
    maxTransitMs,
  });
  for (const {logReadCoordinator} of fleet.gateways) {
    logReadCoordinator.recordRead('operator', {era: 0, offset: 5}, 0);
  }
  fleet.run(SETTLING_MS, () => {
    if (fleet.nowMs % READ_INTERVAL_MS !== 0) return;
    for (const {logReadCoordinator} of fleet.gateways.slice(0, READERS)) {
      logReadCoordinator.recordRead('operator', {era: 0, offset: 5}, fleet.nowMs);
    }
  });
  return fleet;
}

/** Returns the times up to which the gateways have a proof that the records are complete. */
function getProvenMs(fleet: GossipFleet): readonly number[] {
  return fleet.gateways.map(
    ({logReadCoordinator}) => fleet.nowMs - logReadCoordinator.getOperatorProofAgeMs(),
  );
}

/** Returns the times up to which the gateways believe the records to be complete. */
function getBelievedMs(fleet: GossipFleet): readonly number[] {
  return fleet.gateways.map(
    ({catalog}) => fleet.nowMs - catalog.getOperatorRecordsAgeMs(fleet.nowMs),
  );
}

t.test('the age of a read is not renewed when gateways tell it to each other', t => {
  t.ok(MAX_STEPS * MAX_TRANSIT_MS <= MARGIN_MS, 'the time in transit is within the margin');
  const doTest = (gatewayCount: number, restarts: boolean, seeds: number) => {
    t.test(`${gatewayCount} gateways${restarts ? ', some of them restarted' : ''}`, t => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const fleet = createFleet(gatewayCount, seed);
        const lastReadAtMs = SETTLING_MS;
        const oldestMs = Math.min(...getBelievedMs(fleet));
        t.ok(oldestMs >= lastReadAtMs - 3_000, `seed ${seed}: reads reach all gateways`);
        fleet.run(STORE_AWAY_MS, () => {
          if (!restarts || fleet.nowMs % 2_000 !== 0) return;
          const index = (fleet.nowMs / 2_000) % gatewayCount;
          fleet.gateways[index].isRunning = false;
          const restarted = fleet.addGateway(index, fleet.nowMs);
          restarted.logReadCoordinator.recordRead('operator', {era: 0, offset: 5}, 0);
        });
        const newestMs = Math.max(...getBelievedMs(fleet));
        t.ok(
          newestMs <= lastReadAtMs + MAX_STEPS * MAX_TRANSIT_MS,
          `seed ${seed}: ${Math.round(newestMs - lastReadAtMs)} ms after the last read`,
        );
      }
      t.end();
    });
  };
  doTest(7, false, 5);
  doTest(7, true, 5);
  doTest(91, false, 1);
  doTest(91, true, 1);
  t.end();
});

t.test(
  'a key that was revoked is refused in time, however long datagrams wait for a gateway',
  t => {
    const doTest = (gatewayCount: number, seeds: number) => {
      t.test(`${gatewayCount} gateways`, t => {
        for (let seed = 1; seed <= seeds; seed += 1) {
          const fleet = createFleet(gatewayCount, seed, LONG_WAIT_MS);
          fleet.run(STORE_AWAY_MS);
          const newestMs = Math.max(...getProvenMs(fleet));
          t.ok(newestMs <= SETTLING_MS, `seed ${seed}: ${Math.round(newestMs - SETTLING_MS)} ms`);
        }
        t.end();
      });
    };
    doTest(7, 5);
    doTest(91, 1);
    t.end();
  },
);

t.test('the proofs of reads reach all gateways while a few of them read', t => {
  const doTest = (gatewayCount: number, seeds: number) => {
    t.test(`${gatewayCount} gateways`, t => {
      for (let seed = 1; seed <= seeds; seed += 1) {
        const fleet = createFleet(gatewayCount, seed);
        let oldestAgeMs = 0;
        fleet.run(STORE_AWAY_MS, () => {
          const ages = fleet.gateways.map(({logReadCoordinator}) =>
            logReadCoordinator.getOperatorProofAgeMs(),
          );
          oldestAgeMs = Math.max(oldestAgeMs, ...ages);
          if (fleet.nowMs % READ_INTERVAL_MS !== 0) return;
          for (const {logReadCoordinator} of fleet.gateways.slice(0, READERS)) {
            logReadCoordinator.recordRead('operator', {era: 0, offset: 5}, fleet.nowMs);
          }
        });
        t.ok(oldestAgeMs <= REFUSED_AFTER_MS, `seed ${seed}: ${Math.round(oldestAgeMs)} ms`);
      }
      t.end();
    });
  };
  doTest(7, 5);
  doTest(30, 2);
  doTest(91, 1);
  t.end();
});
