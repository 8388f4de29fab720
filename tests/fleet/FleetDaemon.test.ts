/** Tests of the fleet daemon against the stand-ins of the platform: capacity, lease handover and log outages. */
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {CONFIGURATION, GUIDANCE} from '../support/deployment.js';
import {FleetHarness, LEASE_TERM_MS, waitFor} from '../support/FleetHarness.js';

const PRICES = ['oslo-a', 'oslo-b'].map(failureDomain => ({
  failureDomain,
  machineClass: 'a100',
  market: 'reclaimable' as const,
  priceUsdPerHour: 1,
}));
/** Covers term, margin and claim delay of a lease of 1 s, and the time to read the log. */
const TAKE_OVER_MS = 10_000;
const STARTS_MS = 20_000;
const REPLICAS = 2;
/** Two in each of two failure domains, so that the loss of one leaves `REPLICAS`. */
const REPLICAS_WITH_SPARES = 4;

t.test('FleetDaemon', {timeout: 120_000}, async t => {
  const harness = new FleetHarness(PRICES);
  const services = [{...GUIDANCE, targetReplicas: REPLICAS}];
  const workspaces = CONFIGURATION.workspaces.map(workspace => ({
    ...workspace,
    keys: [{sha256: '0'.repeat(64)}],
  }));
  await harness.start({...CONFIGURATION, services, workspaces});
  t.teardown(() => harness.stop());
  const countStarts = async () => (await harness.getCloudLedger()).starts.length;

  const first = harness.startDaemon('fleet-1');
  await t.test(
    'starts enough instances for the load after the loss of any failure domain',
    async t => {
      t.ok(await waitFor(STARTS_MS, async () => (await countStarts()) === REPLICAS_WITH_SPARES));
      const {starts} = await harness.getCloudLedger();
      t.same(starts.map(start => start.failureDomain).sort(), [
        'oslo-a',
        'oslo-a',
        'oslo-b',
        'oslo-b',
      ]);
    },
  );

  const second = harness.startDaemon('fleet-2');
  await t.test('hands the lease over when it stops', async t => {
    await harness.stopDaemon(first);
    const isHeldBySecond = async () =>
      (await harness.readFleet()).getLease().holder === second.getIncarnation();
    t.ok(await waitFor(TAKE_OVER_MS, isHeldBySecond));
  });

  await t.test('replaces a lost instance exactly once while the log is unavailable', async t => {
    const [lost] = (await harness.getCloudLedger()).starts;
    await harness.setLogOutage(true);
    await sleep(2 * LEASE_TERM_MS);
    await harness.terminateInstance(lost.instanceId);
    t.ok(await waitFor(STARTS_MS, async () => (await countStarts()) === REPLICAS_WITH_SPARES + 1));
    const {starts} = await harness.getCloudLedger();
    t.equal(starts.at(-1)?.clientToken, `guidance/v1/after-${lost.instanceId}/0`);
    await harness.setLogOutage(false);
  });

  await t.test('replaces no instance twice under the next lease holder', async t => {
    await harness.stopDaemon(second);
    const third = harness.startDaemon('fleet-3');
    const isHeldByThird = async () =>
      (await harness.readFleet()).getLease().holder === third.getIncarnation();
    t.ok(await waitFor(TAKE_OVER_MS, isHeldByThird));
    const [, lost] = (await harness.getCloudLedger()).starts;
    await harness.terminateInstance(lost.instanceId);
    t.ok(await waitFor(STARTS_MS, async () => (await countStarts()) === REPLICAS_WITH_SPARES + 2));
    const {starts} = await harness.getCloudLedger();
    t.equal(new Set(starts.map(start => start.clientToken)).size, starts.length);
  });

  await t.test(
    'drains and stops the instances of an excluded failure domain once the others have full capacity',
    async t => {
      const order = {failureDomain: 'oslo-b', replacesRevision: 0, requestedBy: 'operator'};
      await harness.append('fleet', {
        kind: 'domain-order',
        state: 'out',
        requestedAtMs: Date.now(),
        ...order,
      });
      const hasDrained = async () => (await harness.readFleet()).getDrains().length === REPLICAS;
      t.ok(await waitFor(STARTS_MS, hasDrained));
      const drained = (await harness.readFleet()).getDrains().map(drain => drain.instanceId);
      const {starts} = await harness.getCloudLedger();
      const domains = drained.map(id => starts.find(one => one.instanceId === id)?.failureDomain);
      t.same(domains, ['oslo-b', 'oslo-b']);
      const hasStopped = async () => {
        const {stops} = await harness.getCloudLedger();
        return drained.every(id => stops.some(stop => stop.instanceId === id));
      };
      t.ok(
        await waitFor(STARTS_MS, hasStopped),
        'idle instances are stopped before their drain timeout',
      );
    },
  );
});
