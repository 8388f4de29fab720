/** Tests of capacity decisions: spread over failure domains, ranking of offers, starts and drains. */
import assert from 'node:assert/strict';
import t from 'tap';
import fc from 'fast-check';
import type {Instance} from '../../../src/blackboard/index.js';
import {
  decideCapacity,
  getClientToken,
  getOffers,
  getVersionNeeds,
  spreadInstances,
  type CapacityView,
  type OffersView,
} from '../../../src/controllers/capacity/index.js';
import {createMove, createService} from '../../support/fleetFixtures.js';

const SEED = 20261204;
const DOMAINS = ['accra', 'kasoa', 'tema', 'tema-west'];

const costsArbitrary = fc
  .array(fc.integer({min: 1, max: 9}), {minLength: 2, maxLength: 4})
  .map(costs =>
    costs.map((costUsdPerHour, index) => ({failureDomain: DOMAINS[index], costUsdPerHour})),
  );

/** Returns the cost of the cheapest spread by exhaustive search. */
function getLeastCost(needed: number, costs: readonly number[]): number {
  const tryDomain = (index: number, counts: readonly number[]): number => {
    if (index === costs.length) {
      const total = counts.reduce((sum, count) => sum + count, 0);
      if (total - Math.max(...counts) < needed) return Infinity;
      return counts.reduce((sum, count, domain) => sum + count * costs[domain], 0);
    }
    const choices = Array.from({length: needed + 1}, (ignored, count) => count);
    return Math.min(...choices.map(count => tryDomain(index + 1, [...counts, count])));
  };
  return tryDomain(0, []);
}

t.test('spreadInstances survives the loss of any failure domain at least cost', t => {
  fc.assert(
    fc.property(fc.integer({min: 1, max: 6}), costsArbitrary, (needed, domains) => {
      const spread = spreadInstances(needed, domains);
      const counts = spread.map(({count}) => count);
      const total = counts.reduce((sum, count) => sum + count, 0);
      assert.ok(total - Math.max(...counts) >= needed);
      const cost = spread.reduce((sum, {failureDomain, count}) => {
        const domain = domains.find(one => one.failureDomain === failureDomain);
        return sum + count * (domain?.costUsdPerHour ?? 0);
      }, 0);
      assert.equal(
        cost,
        getLeastCost(
          needed,
          domains.map(one => one.costUsdPerHour),
        ),
      );
    }),
    {seed: SEED, numRuns: 1_000},
  );
  t.same(spreadInstances(3, [{failureDomain: 'accra', costUsdPerHour: 1}]), [
    {failureDomain: 'accra', count: 3},
  ]);
  t.end();
});

t.test('getOffers', t => {
  const base = {failureDomain: 'accra', machineClass: 'a100'};
  const reclaimable = {...base, market: 'reclaimable' as const, priceUsdPerHour: 1};
  const onDemand = {...base, market: 'on-demand' as const, priceUsdPerHour: 3};
  function doTest(
    name: string,
    changes: Partial<OffersView>,
    nowMs: number,
    expected: readonly string[],
  ) {
    t.test(name, t => {
      const view = {
        prices: [onDemand, reclaimable],
        priceLimits: [],
        reclaims: [],
        refusedStarts: [],
        ...changes,
      };
      t.same(
        getOffers(view, nowMs).map(({market}) => market),
        expected,
      );
      t.end();
    });
  }

  doTest('sorts the cheaper market first', {}, 0, ['reclaimable', 'on-demand']);
  doTest(
    'excludes offers above the price limits',
    {priceLimits: [{machineClass: 'a100', maxPriceUsdPerHour: 2}]},
    0,
    ['reclaimable'],
  );
  const manyReclaims = {reclaims: [{...base, reclaims: 500, instanceHours: 10}]};
  doTest('adds the expected loss through reclaims', manyReclaims, 0, ['on-demand', 'reclaimable']);
  const refused = {refusedStarts: [{...reclaimable, refusals: 2, lastAtMs: 0}]};
  doTest('excludes a refused offer during its backoff', refused, 29_999, ['on-demand']);
  doTest('offers a refused one again after its backoff', refused, 30_000, [
    'reclaimable',
    'on-demand',
  ]);
  t.end();
});

t.test('getVersionNeeds', t => {
  const service = createService();
  const describeNeeds = (moves: Parameters<typeof getVersionNeeds>[1], wantedPercent: number) =>
    getVersionNeeds(service, moves, wantedPercent).map(
      ({version, replicas, needsSpare}) => `${version} ${replicas}${needsSpare ? ' spared' : ''}`,
    );
  t.same(describeNeeds([], 0), ['v1 8 spared']);
  t.same(describeNeeds([createMove({sharePercent: 2})], 12), ['v1 8 spared', 'v2 1']);
  t.same(describeNeeds([createMove({phase: 'soaking', sharePercent: 95})], 100), [
    'v1 8 spared',
    'v2 8 spared',
  ]);
  t.same(describeNeeds([createMove({phase: 'done', sharePercent: 100})], 100), ['v2 8 spared']);
  t.same(describeNeeds([createMove({phase: 'taken-back'})], 0), ['v1 8 spared']);
  t.end();
});

function createInstance(instanceId: string, failureDomain: string, state: Instance['state']) {
  return {
    instanceId,
    failureDomain,
    state,
    role: 'backend' as const,
    address: '127.0.0.1',
    port: 1,
    machineClass: 'a100',
    market: 'reclaimable' as const,
    service: 'guidance',
    version: 'v1',
  };
}

function createView(changes: Partial<CapacityView>): CapacityView {
  return {
    needs: [{service: 'guidance', version: 'v1', replicas: 2, needsSpare: true}],
    instances: [],
    pendingInstances: [],
    drainingIds: [],
    loadingIds: [],
    offers: DOMAINS.slice(0, 3).map(failureDomain => ({
      failureDomain,
      machineClass: 'a100',
      market: 'reclaimable' as const,
      priceUsdPerHour: 1,
      costUsdPerHour: 1,
    })),
    availableDomains: DOMAINS,
    revision: 4,
    filledSlots: [],
    generations: new Map(),
    retiredVersions: [],
    ...changes,
  };
}

t.test('decideCapacity', t => {
  function doTest(name: string, changes: Partial<CapacityView>, expected: readonly string[]) {
    t.test(name, t => {
      const {effects} = decideCapacity(createView(changes));
      const shown = effects.map(effect =>
        effect.kind === 'drain-instance'
          ? `drain ${effect.instanceId}`
          : `start ${effect.failureDomain} ${getClientToken(effect.vacancy)}`,
      );
      t.same(shown, expected);
      t.end();
    });
  }

  const complete = ['accra', 'kasoa', 'tema'].map((domain, index) =>
    createInstance(`i-${index}`, domain, 'live'),
  );
  doTest('starts missing servers, one in each failure domain', {}, [
    'start accra guidance/v1/new-guidance-v1-4-0/0',
    'start kasoa guidance/v1/new-guidance-v1-4-1/0',
    'start tema guidance/v1/new-guidance-v1-4-2/0',
  ]);
  doTest('does nothing if all servers are running', {instances: complete}, []);
  doTest(
    'replaces a leaving server at its notice',
    {instances: [...complete.slice(0, 2), createInstance('i-2', 'tema', 'leaving')]},
    ['start tema guidance/v1/after-i-2/0'],
  );
  doTest(
    'starts servers in other failure domains while one is out, before it drains any',
    {instances: complete, availableDomains: ['accra', 'kasoa']},
    [
      'start accra guidance/v1/new-guidance-v1-4-0/0',
      'start kasoa guidance/v1/new-guidance-v1-4-1/0',
    ],
  );
  doTest(
    'drains a failure domain that is out once the others are complete',
    {
      instances: [
        ...complete,
        createInstance('i-3', 'accra', 'live'),
        createInstance('i-4', 'kasoa', 'live'),
      ],
      availableDomains: ['accra', 'kasoa'],
    },
    ['drain i-2'],
  );
  doTest(
    'keeps a surplus server while its replacement loads weights',
    {
      instances: [
        ...complete,
        createInstance('i-3', 'accra', 'live'),
        createInstance('i-4', 'kasoa', 'live'),
      ],
      loadingIds: ['i-4'],
      availableDomains: ['accra', 'kasoa'],
    },
    [],
  );
  doTest(
    'drains the servers of a retired version',
    {
      instances: [...complete, {...createInstance('i-9', 'tema', 'live'), version: 'v0'}],
      retiredVersions: [{service: 'guidance', version: 'v0'}],
    },
    ['drain i-9'],
  );
  doTest(
    'does not drain other versions',
    {instances: [...complete, {...createInstance('i-9', 'tema', 'live'), version: 'v7'}]},
    [],
  );
  const [accra, kasoa, tema] = createView({}).offers;
  const slightlyDearer = [accra, kasoa, {...tema, costUsdPerHour: 2.5}];
  doTest(
    'keeps the spread at a small price rise',
    {instances: complete, offers: slightlyDearer},
    [],
  );
  doTest('drains nothing if no offer is known', {instances: complete, offers: []}, []);
  const muchDearer = [accra, kasoa, {...tema, costUsdPerHour: 9}];
  doTest('changes the spread at a large price rise', {instances: complete, offers: muchDearer}, [
    'start accra guidance/v1/new-guidance-v1-4-0/0',
    'start kasoa guidance/v1/new-guidance-v1-4-1/0',
  ]);
  doTest(
    'starts no further server while all missing ones are pending',
    {
      pendingInstances: complete,
    },
    [],
  );
  t.end();
});

t.test(
  'decideCapacity derives the same client tokens whatever the order of the instance list',
  t => {
    const stateArbitrary = fc.constantFrom('live' as const, 'leaving' as const, 'gone' as const);
    const instancesArbitrary = fc.array(fc.tuple(fc.constantFrom(...DOMAINS), stateArbitrary), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(instancesArbitrary, drawn => {
        const instances = drawn.map(([domain, state], index) =>
          createInstance(`i-${index}`, domain, state),
        );
        const getTokens = (listed: readonly Instance[]) =>
          decideCapacity(createView({instances: listed})).effects.flatMap(effect =>
            effect.kind === 'start-instance' ? [getClientToken(effect.vacancy)] : [],
          );
        const tokens = getTokens(instances);
        assert.deepEqual(getTokens([...instances].reverse()), tokens);
        assert.equal(new Set(tokens).size, tokens.length);
      }),
      {seed: SEED, numRuns: 500},
    );
    t.end();
  },
);
