/** Tests that fleet daemons preserve the state of the streams beyond the log's retention, without any entry running. */
import t from 'tap';
import {CONFIGURATION, GUIDANCE} from '../support/deployment.js';
import {FleetHarness, waitFor} from '../support/FleetHarness.js';

const FILE_TIMEOUT_MS = 120_000;
t.setTimeout(FILE_TIMEOUT_MS);

const PRICES = ['oslo-a', 'oslo-b'].map(failureDomain => ({
  failureDomain,
  machineClass: 'a100',
  market: 'reclaimable' as const,
  priceUsdPerHour: 1,
}));
const OPTIONS = {retentionMs: 6_000, snapshotIntervalMs: 1_500};
const WAIT_MS = 30_000;
const REPLICAS_WITH_SPARES = 4;

t.test('SnapshotRunner preserves the streams beyond the retention of the log', async t => {
  await t.test('a daemon that starts later reads the configuration without any entry', async t => {
    const harness = new FleetHarness(PRICES, OPTIONS);
    const workspaces = CONFIGURATION.workspaces.map(workspace => ({
      ...workspace,
      keys: [{sha256: '0'.repeat(64)}],
    }));
    const services = [{...GUIDANCE, targetReplicas: 2}];
    await harness.start({...CONFIGURATION, services, workspaces});
    t.teardown(() => harness.stop());
    const hasLive = async () => (await harness.getLiveInstances()).length === REPLICAS_WITH_SPARES;
    const first = harness.startDaemon('fleet-1');
    t.ok(await waitFor(WAIT_MS, hasLive));
    const isDeleted = async () =>
      (await harness.getEarliestOffset('configuration')) > 0 &&
      (await harness.getEarliestOffset('fleet')) > 0;
    t.ok(await waitFor(WAIT_MS, isDeleted), 'retention deleted the first records');
    harness.startDaemon('fleet-2');
    const [lost] = await harness.getLiveInstances();
    await harness.stopDaemon(first);
    await harness.terminateInstance(lost.instanceId);
    t.ok(await waitFor(WAIT_MS, hasLive), 'it replaces a lost instance');
  });

  await t.test('orders stay in force if no configuration was published yet', async t => {
    const harness = new FleetHarness(PRICES, OPTIONS);
    await harness.start();
    t.teardown(() => harness.stop());
    await harness.append('fleet', {
      kind: 'domain-order',
      failureDomain: 'oslo-b',
      state: 'out',
      replacesRevision: 0,
      requestedBy: 'operator',
      requestedAtMs: Date.now(),
    });
    harness.startDaemon('fleet-1');
    const isDeleted = async () => (await harness.getEarliestOffset('fleet')) > 0;
    t.ok(await waitFor(WAIT_MS, isDeleted), 'retention deleted the order');
    const isRestored = async () => {
      const fold = await harness.readFleet();
      return fold.isComplete() && fold.getFailureDomains()[0]?.state === 'out';
    };
    t.ok(await waitFor(OPTIONS.retentionMs, isRestored), 'a snapshot contains the order');
  });
});
