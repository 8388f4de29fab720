/** Tests of the autoscaler: demand, price limit, and scaling up and down under generated loads. */
import assert from 'node:assert/strict';
import t from 'tap';
import fc from 'fast-check';
import type {VersionEvidence} from '../../../src/blackboard/index.js';
import {
  getSurvivingReplicas,
  getReplicaDemand,
  getReplicaLimit,
  type ReplicaDemandView,
} from '../../../src/controllers/capacity/index.js';
import {createMove, createService} from '../../support/fleetFixtures.js';
import {ReplicaModel, START_MS, type LoadStep} from '../../support/ReplicaModel.js';

const SEED = 20261212;
const NOW_MS = 1_000_000;
const SERVERS = ['i-1', 'i-2', 'i-3', 'i-4'];

/** Returns evidence in which all first tokens took the same time. */
function createEvidence(firstTokenMs: number, changes: Partial<VersionEvidence>): VersionEvidence {
  const count = 60;
  const logMs = Math.log(firstTokenMs);
  const moments = {count, sumLogMs: count * logMs, sumSquaredLogMs: count * logMs * logMs};
  const subject = {service: 'guidance', version: 'v1', route: '/r', requestClass: 'chat'};
  return {
    ...subject,
    loadBand: 'high',
    prefillBand: 'tiny',
    windowStartMs: NOW_MS - 10_000,
    requests: count,
    errors: 0,
    firstToken: moments,
    interToken: moments,
    ...changes,
  };
}

t.test('getReplicaDemand', t => {
  function doTest(name: string, changes: Partial<ReplicaDemandView>, expected: object) {
    t.test(name, t => {
      const base = {name: 'chat', priority: 0, maxPromptTokens: 1, interTokenTargetMs: 50};
      const view = {
        service: createService({maxConcurrentRequests: 10}),
        requestClasses: [{...base, firstTokenTargetMs: 1_000}],
        serverIds: SERVERS,
        loads: report(6),
        evidence: [],
        refusedRequests: 0,
        candidateVersion: undefined,
        ...changes,
      };
      t.same(getReplicaDemand(view, NOW_MS), expected);
      t.end();
    });
  }

  const report = (openRequests: number, readAtMs = NOW_MS) =>
    SERVERS.map(instanceId => ({instanceId, openRequests, readAtMs}));
  const noPressure = {lowerEstimate: 4, upperEstimate: 4, pressure: 'none'};
  const [first, second] = report(6);
  doTest('leaves a quarter of the capacity free', {}, noPressure);
  doTest(
    'assumes average load without a report for scaling up, and full load for scaling down',
    {
      loads: [first, second],
    },
    {...noPressure, upperEstimate: 6},
  );
  doTest(
    'ignores old reports',
    {loads: report(6, NOW_MS - 30_000)},
    {
      lowerEstimate: 0,
      upperEstimate: 7,
      pressure: 'none',
    },
  );
  doTest(
    'refused requests count as pressure if servers are busy',
    {refusedRequests: 1},
    {
      ...noPressure,
      pressure: 'high',
    },
  );
  doTest(
    'refused requests do not count as pressure if servers are idle',
    {loads: report(1), refusedRequests: 1},
    {
      lowerEstimate: 1,
      upperEstimate: 1,
      pressure: 'none',
    },
  );
  const slow = createEvidence(1_100, {});
  doTest(
    'first tokens above their target are high pressure',
    {evidence: [slow]},
    {...noPressure, pressure: 'high'},
  );
  doTest(
    'first tokens close to their target are some pressure',
    {evidence: [createEvidence(800, {})]},
    {
      ...noPressure,
      pressure: 'some',
    },
  );
  doTest('fast first tokens are no pressure', {evidence: [createEvidence(600, {})]}, noPressure);
  const ignoredEvidence: ReadonlyArray<readonly [string, Partial<VersionEvidence>]> = [
    ['of servers with low load', {loadBand: 'low'}],
    ['of another service', {service: 'field'}],
    ['of the new version of a move', {version: 'v2'}],
    ['of old windows', {windowStartMs: NOW_MS - 30_000}],
  ];
  for (const [name, changes] of ignoredEvidence) {
    const evidence = [createEvidence(9_000, changes)];
    doTest(`ignores first tokens ${name}`, {evidence, candidateVersion: 'v2'}, noPressure);
  }
  t.end();
});

t.test('getReplicaLimit', t => {
  const offers = ['accra', 'kasoa', 'tema'].map(failureDomain => ({
    failureDomain,
    machineClass: 'a100',
    market: 'reclaimable' as const,
    priceUsdPerHour: 1,
    costUsdPerHour: 1,
  }));
  const availableDomains = ['accra', 'kasoa', 'tema'];
  const getLimit = (maxPriceUsdPerHour: number, changes = {}) => {
    const priceLimits = [{machineClass: 'a100', maxPriceUsdPerHour}];
    return getReplicaLimit({floor: 4, offers, availableDomains, priceLimits, ...changes});
  };
  t.equal(getLimit(1), 4, 'the floor if prices are at the price limit');
  t.equal(getLimit(2), 8, 'twice the floor if prices are half the price limit');
  t.equal(getLimit(100), 16, 'at most four times the floor');
  t.equal(getLimit(1, {priceLimits: []}), 16);
  t.equal(getLimit(2, {offers: []}), undefined, 'undefined without an offer');
  t.equal(getLimit(2, {floor: 0}), 0, 'a service with a floor of 0 gets no servers');
  t.end();
});

t.test('getSurvivingReplicas', t => {
  const createServers = (version: string, domains: readonly string[]) =>
    domains.map((failureDomain, index) => ({
      instanceId: `${version}-${index}`,
      failureDomain,
      version,
      role: 'backend' as const,
      address: '127.0.0.1',
      port: 1,
      machineClass: 'a100',
      market: 'reclaimable' as const,
      state: 'live' as const,
      service: 'guidance',
    }));
  const oldServers = createServers('v1', ['accra', 'accra', 'kasoa', 'tema']);
  const view = {service: createService(), moves: [], servers: oldServers};
  const allDomains = ['accra', 'kasoa', 'tema'];
  t.equal(getSurvivingReplicas({...view, availableDomains: allDomains}), 2);
  t.equal(
    getSurvivingReplicas({...view, availableDomains: ['accra']}),
    2,
    'no spares in a single domain',
  );
  const servers = [...oldServers, ...createServers('v2', allDomains)];
  const moves = [createMove({sharePercent: 50})];
  t.equal(getSurvivingReplicas({...view, moves, servers, availableDomains: allDomains}), 2);
  t.end();
});

const stepArbitrary: fc.Arbitrary<LoadStep> = fc.record({
  openRequests: fc.integer({min: 0, max: 300}),
  noiseRatio: fc.constantFrom(0, 0.05, 0.15),
  reportLossProbability: fc.constantFrom(0, 0.1, 0.5),
  durationMs: fc.constantFrom(2_400_000, 3_600_000),
});

/**
 * Returns the time within which the autoscaler must follow a load step. Full servers report no more requests than they
 * accept, so the number of servers grows by a factor of at most 1.6 with each round of starts.
 */
function getCatchUpMs(before: number, after: number): number {
  const starts = Math.ceil(Math.log(after / before) / Math.log(1.6));
  return 15_000 + starts * (START_MS + 15_000);
}

t.test('decideReplicas follows load steps despite noise and lost reports', t => {
  const steps = fc.array(stepArbitrary, {minLength: 1, maxLength: 4});
  const floors = fc.integer({min: 1, max: 6});
  let raises = 0;
  let lowerings = 0;
  fc.assert(
    fc.property(
      steps,
      floors,
      fc.integer({min: 1, max: 4}),
      fc.integer(),
      (drawn, floor, factor, seed) => {
        const model = new ReplicaModel({floor, limit: floor * factor, seed});
        for (const step of drawn) {
          const before = Math.max(model.getTargetReplicas(), floor);
          const {
            replicas,
            directionChanges,
            lateRaises,
            largestReductionFactor,
            longestShortfallMs,
          } = model.run(step);
          const allowedMs = getCatchUpMs(before, Math.max(...replicas));
          assert.ok(Math.min(...replicas) >= floor, 'never below the floor');
          assert.ok(Math.max(...replicas) <= floor * factor, 'never above the limit');
          assert.ok(
            directionChanges <= 1,
            `${directionChanges} changes of direction at constant load`,
          );
          assert.ok(lateRaises <= 1, `${lateRaises} late scale-ups at constant load`);
          assert.ok(largestReductionFactor <= 1, 'each scale-down stays within its maximum step');
          assert.ok(longestShortfallMs <= allowedMs, `demand not met for ${longestShortfallMs} ms`);
        }
        raises += model.getRaises();
        lowerings += model.getLowerings();
      },
    ),
    {seed: SEED, numRuns: 200},
  );
  t.ok(raises > 100 && lowerings > 100, `${raises} scale-ups, ${lowerings} scale-downs`);
  t.end();
});

t.test('decideReplicas keeps the number of servers when the lease holder changes', t => {
  const noFaults = {noiseRatio: 0, reportLossProbability: 0, durationMs: 300_000};
  const model = new ReplicaModel({floor: 2, limit: 16, seed: SEED});
  model.run({...noFaults, openRequests: 100});
  const before = model.getTargetReplicas();
  t.equal(before, 14, '100 requests, ten per server, at 75 percent utilization');
  model.replaceLeaseHolder();
  const {replicas} = model.run({...noFaults, openRequests: 40});
  t.same([...new Set(replicas)], [before], 'starts from the serving servers without scaling down');
  t.end();
});

t.test('decideReplicas does not scale down right after a pause of its process', t => {
  const noFaults = {noiseRatio: 0, reportLossProbability: 0};
  const model = new ReplicaModel({floor: 2, limit: 16, seed: SEED});
  model.run({...noFaults, openRequests: 100, durationMs: 900_000});
  model.pause(900_000);
  const {replicas} = model.run({...noFaults, openRequests: 0, durationMs: 300_000});
  t.same([...new Set(replicas)], [14]);
  t.end();
});
