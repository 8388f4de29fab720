/** Tests how many on-demand and reclaimable backend servers are ordered in each failure domain. */
import t from 'tap';
import type {ReplicaBounds} from '../../../src/catalog/index.js';
import {decideFleetSize, type DomainFleet} from '../../../src/controllers/fleetSize/index.js';

const BOUNDS: ReplicaBounds = {
  minPerDomain: 1,
  maxPerDomain: 6,
  bootMs: 4_000,
  reclaimablePriceShare: 0.15,
  domainPrices: new Map([
    ['a', 1],
    ['b', 0.8],
    ['c', 1.25],
    ['d', 0.9],
  ]),
};

function createFleet(
  reclaimable: readonly number[],
  changes: Partial<DomainFleet> = {},
): readonly DomainFleet[] {
  return ['a', 'b', 'c', 'd'].map((failureDomain, index) => ({
    failureDomain,
    onDemand: 0,
    reclaimable: reclaimable[index],
    refusesReclaimable: false,
    ...changes,
  }));
}

interface Orders {
  readonly onDemand: readonly number[];
  readonly reclaimable: readonly number[];
}

function decide(
  domains: readonly DomainFleet[],
  neededServers: number,
  bounds: Partial<ReplicaBounds> = {},
  leastServers = neededServers,
  loadServers = leastServers,
): Orders {
  const view = {bounds: {...BOUNDS, ...bounds}, domains, neededServers, leastServers, loadServers};
  const orders = decideFleetSize(view);
  return {
    onDemand: orders.map(({onDemand}) => onDemand),
    reclaimable: orders.map(({reclaimable}) => reclaimable),
  };
}

t.test('decideFleetSize', t => {
  const doTest = (name: string, orders: Orders, expected: Orders) => {
    t.test(name, t => {
      t.same(orders, expected);
      t.end();
    });
  };
  doTest(
    'orders reclaimable servers with one failure domain to spare',
    decide(createFleet([2, 2, 2, 2]), 5),
    {
      onDemand: [0, 0, 0, 0],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'orders a reserve for a second reclaim when one failure domain is lost',
    decide(createFleet([2, 0, 2, 2]), 5),
    {
      onDemand: [0, 1, 0, 0],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'the loss of a single server does not count as a reclaim',
    decide(createFleet([2, 1, 2, 2]), 5),
    {
      onDemand: [0, 0, 0, 0],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'a start without any server does not count as a reclaim',
    decide(createFleet([0, 0, 0, 0]), 5),
    {
      onDemand: [1, 2, 1, 1],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'orders missing servers and the reserve on demand in the cheapest failure domains',
    decide(createFleet([0, 0, 0, 2]), 5),
    {
      onDemand: [1, 2, 1, 1],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'orders no more than the maximum of a failure domain',
    decide(createFleet([0, 0, 0, 0]), 5, {maxPerDomain: 2}),
    {
      onDemand: [0, 0, 0, 0],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'on-demand servers take the places of reclaimable ones that are refused, up to the maximum',
    decide(createFleet([0, 0, 0, 0], {refusesReclaimable: true}), 5, {maxPerDomain: 2}),
    {
      onDemand: [1, 2, 1, 1],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'the places of reclaimable servers that still run are not taken',
    decide(createFleet([1, 1, 1, 1], {refusesReclaimable: true}), 12, {maxPerDomain: 2}),
    {
      onDemand: [1, 1, 1, 1],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'the places of refused servers stay free while the loss of one more domain is borne',
    decide(createFleet([2, 2, 0, 0], {refusesReclaimable: true}), 6, {maxPerDomain: 2}, 5, 2),
    {
      onDemand: [0, 0, 0, 0],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'a gap is filled only up to the servers that the present load needs',
    decide(createFleet([0, 0, 0, 0], {refusesReclaimable: true}), 5, {}, 2),
    {
      onDemand: [0, 1, 0, 1],
      reclaimable: [2, 2, 2, 2],
    },
  );
  doTest(
    'orders all servers on demand if reclaimable ones are not offered',
    decide(createFleet([0, 0, 0, 0]), 5, {reclaimablePriceShare: undefined}),
    {onDemand: [1, 2, 1, 1], reclaimable: [0, 0, 0, 0]},
  );
  t.end();
});
