/**
 * Property tests of capacity while two failure domains are out at the same time and the instances of a third are
 * reclaimed, with changes of the lease holder and log outages in between.
 */
import assert from 'node:assert/strict';
import t from 'tap';
import fc from 'fast-check';
import {DOMAINS, DomainsModel, REPLICAS, type DomainEvent} from '../../support/DomainsModel.js';

const FILE_TIMEOUT_MS = 120_000;
t.setTimeout(FILE_TIMEOUT_MS);

const SEED = 20261213;
const SETTLE_MS = 600_000;
const CHANGE_HOLDER: DomainEvent = {kind: 'change-holder'};

const domainArbitrary = fc.constantFrom(...DOMAINS);
const disturbanceArbitrary: fc.Arbitrary<DomainEvent> = fc.oneof(
  fc.constant(CHANGE_HOLDER),
  fc.record({kind: fc.constant('reclaim' as const), domain: domainArbitrary}),
  fc.record({
    kind: fc.constant('log-outage' as const),
    lengthMs: fc.integer({min: 5_000, max: 120_000}),
  }),
);
const timedArbitrary = fc.array(fc.tuple(disturbanceArbitrary, fc.integer({min: 0, max: 90_000})), {
  maxLength: 4,
});

/** Fails if a rule was violated, or if the servers in the available failure domains don't survive the loss of one. */
function checkSettled(model: DomainsModel): void {
  assert.deepEqual(model.getViolations(), []);
  const serving = model.countServingByDomain();
  const available = model.getAvailableDomains();
  const counts = available.map(name => serving.get(name) ?? 0);
  const total = counts.reduce((sum, count) => sum + count, 0);
  const remaining = available.length < 2 ? total : total - Math.max(...counts);
  assert.ok(remaining >= REPLICAS, `${counts.join(', ')}: only ${remaining} after a loss`);
  assert.ok(total <= 2 * REPLICAS, `${counts.join(', ')}: too many servers`);
  const countsOut = DOMAINS.filter(name => !available.includes(name)).map(name =>
    serving.get(name),
  );
  assert.ok(
    countsOut.every(count => count === 0),
    `${countsOut.join(', ')}: servers left in domains that are out`,
  );
}

/** Applies each event and then runs the model for the given time. */
async function applyEvents(
  model: DomainsModel,
  events: ReadonlyArray<readonly [DomainEvent, number]>,
): Promise<void> {
  for (const [event, thenMs] of events) {
    model.apply(event);
    await model.run(thenMs);
  }
}

t.test('capacity is restored with two failure domains out and a third reclaimed', async t => {
  let starts = 0;
  const orders = fc.shuffledSubarray(DOMAINS, {minLength: 3, maxLength: 3});
  await fc.assert(
    fc.asyncProperty(
      orders,
      timedArbitrary,
      timedArbitrary,
      timedArbitrary,
      async ([first, second, third], early, between, late) => {
        const model = new DomainsModel();
        await model.run(SETTLE_MS);
        checkSettled(model);
        model.apply({kind: 'out', domain: first});
        await applyEvents(model, early);
        model.apply({kind: 'out', domain: second});
        await applyEvents(model, between);
        model.apply({kind: 'reclaim', domain: third});
        await applyEvents(model, late);
        await model.run(SETTLE_MS);
        checkSettled(model);
        for (const domain of [first, second]) model.apply({kind: 'return', domain});
        model.apply(CHANGE_HOLDER);
        await model.run(SETTLE_MS);
        checkSettled(model);
        assert.deepEqual(
          DOMAINS.map(name => model.getDomainState(name)),
          DOMAINS.map(() => 'in'),
        );
        starts += model.countStarts();
      },
    ),
    {seed: SEED, numRuns: 200},
  );
  t.ok(starts > 200 * 2 * REPLICAS, `${starts} starts`);
});

t.test('a new lease holder completes the ramp-up of a returning failure domain', async t => {
  const model = new DomainsModel();
  model.apply({kind: 'out', domain: 'tema'});
  await model.run(30_000);
  model.apply({kind: 'return', domain: 'tema'});
  model.apply(CHANGE_HOLDER);
  await model.run(55_000);
  t.equal(model.getDomainState('tema'), 'returning');
  await model.run(10_000);
  t.equal(model.getDomainState('tema'), 'in');
});
