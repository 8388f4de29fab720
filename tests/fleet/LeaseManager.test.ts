/** Tests of the lease with daemon processes: a lease holder is suspended beyond its term and resumed by signals. */
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
const REPLICAS = 4;
const WAIT_MS = 30_000;

t.test('LeaseManager with a suspended and resumed holder', {timeout: 120_000}, async t => {
  const harness = new FleetHarness(PRICES);
  const workspaces = CONFIGURATION.workspaces.map(workspace => ({
    ...workspace,
    keys: [{sha256: '0'.repeat(64)}],
  }));
  const services = [{...GUIDANCE, targetReplicas: REPLICAS / 2}];
  await harness.start({...CONFIGURATION, workspaces, services});
  const getLeaseHolder = async () => (await harness.readFleet()).getLease().holder ?? '';
  const hasStarts = async (count: number) =>
    (await harness.getCloudLedger()).starts.length === count;
  const hasLoads = async (count: number) => (await harness.getLoads()).length === count;

  const first = harness.spawnDaemon('fleet-1');
  t.teardown(() => first.kill('SIGKILL'));
  t.ok(await waitFor(WAIT_MS, () => hasStarts(REPLICAS)), 'the first daemon holds the lease');
  t.ok(await waitFor(WAIT_MS, () => hasLoads(REPLICAS)), 'it loads weights');
  const second = harness.spawnDaemon('fleet-2');
  t.teardown(() => second.kill('SIGKILL'));
  t.teardown(() => harness.stop());

  await sleep(LEASE_TERM_MS);
  first.kill('SIGSTOP');
  const isHeldBySecond = async () => (await getLeaseHolder()).startsWith('fleet-2/');
  t.ok(await waitFor(WAIT_MS, isHeldBySecond), 'the second daemon takes over the lease');
  const [lost, secondLost] = (await harness.getCloudLedger()).starts;
  await harness.terminateInstance(lost.instanceId);
  t.ok(await waitFor(WAIT_MS, () => hasStarts(REPLICAS + 1)), 'it replaces a lost instance');
  t.ok(await waitFor(WAIT_MS, () => hasLoads(REPLICAS + 1)), 'it loads weights');

  first.kill('SIGCONT');
  await harness.terminateInstance(secondLost.instanceId);
  t.ok(await waitFor(WAIT_MS, () => hasLoads(REPLICAS + 2)), 'one load for the next lost instance');
  await sleep(3 * LEASE_TERM_MS);
  t.ok(await hasStarts(REPLICAS + 2), 'no vacancy was filled twice');
  const tokens = (await harness.getLoads()).map(({fencingToken}) => fencingToken);
  t.same(
    tokens,
    [...tokens].sort((one, other) => one - other),
    'no order of the former lease holder',
  );
  t.equal(new Set(tokens).size, 2);
});
