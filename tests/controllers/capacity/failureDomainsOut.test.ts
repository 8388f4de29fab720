/** Tests of capacity while two failure domains are out at once and a third is reclaimed, with changes of the holder. */
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

/** Fails where a rule was broken, or what serves in the open failure domains doesn't bear the loss of one. */
function checkSettled(model: DomainsModel): void {
  assert.deepEqual(model.getViolations(), []);
  const serving = model.countServing();
  const open = model.getOpenDomains();
  const counts = open.map(name => serving.get(name) ?? 0);
  const total = counts.reduce((sum, count) => sum + count, 0);
  const left = open.length < 2 ? total : total - Math.max(...counts);
  assert.ok(left >= REPLICAS, `${counts.join(', ')} leave ${left}`);
  assert.ok(total <= 2 * REPLICAS, `${counts.join(', ')} are too many`);
  const behind = DOMAINS.filter(name => !open.includes(name)).map(name => serving.get(name));
  assert.ok(
    behind.every(count => count === 0),
    `${behind.join(', ')} are left behind`,
  );
}

async function disturb(
  model: DomainsModel,
  events: ReadonlyArray<readonly [DomainEvent, number]>,
): Promise<void> {
  for (const [event, thenMs] of events) {
    model.apply(event);
    await model.run(thenMs);
  }
}

t.test('capacity with two failure domains out and a third reclaimed', async t => {
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
        await disturb(model, early);
        model.apply({kind: 'out', domain: second});
        await disturb(model, between);
        model.apply({kind: 'reclaim', domain: third});
        await disturb(model, late);
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

t.test('the next holder ends the ramp of a failure domain that returns', async t => {
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
