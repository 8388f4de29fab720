/** Tests of the reclaim history that a fleet daemon reads from the stand-ins of the platform. */
import t from 'tap';
import {PlatformWatcher} from '../../src/fleet/PlatformWatcher.js';
import {Metrics} from '../../src/metrics/index.js';
import {CloudClient, InstanceListClient} from '../../src/infrastructure/index.js';
import {FleetHarness, waitFor} from '../support/FleetHarness.js';
import {CONFIGURATION} from '../support/deployment.js';

const FILE_TIMEOUT_MS = 120_000;
t.setTimeout(FILE_TIMEOUT_MS);

const WAIT_MS = 20_000;

t.test(
  'PlatformWatcher includes reclaims from before its daemon started',
  {timeout: 60_000},
  async t => {
    const harness = new FleetHarness([]);
    const workspaces = CONFIGURATION.workspaces.map(workspace => ({
      ...workspace,
      keys: [{sha256: '0'.repeat(64)}],
    }));
    await harness.start({...CONFIGURATION, workspaces});
    const cloud = new CloudClient({url: harness.getUrl('cloud'), timeoutMs: 2_000});
    const instanceList = new InstanceListClient({url: harness.getUrl('list'), timeoutMs: 2_000});
    const metrics = new Metrics({globalTags: {}});
    t.teardown(async () => {
      await Promise.all([cloud.close(), instanceList.close()]);
      await harness.stop();
    });
    const place = {failureDomain: 'oslo-a', machineClass: 'a100', market: 'reclaimable' as const};
    const order = {...place, service: 'guidance', version: 'v1'};
    for (const clientToken of ['one', 'two', 'three']) {
      await cloud.startInstance({...order, clientToken});
    }
    const hasLive = async (count: number) => (await harness.getLiveInstances()).length === count;
    t.ok(await waitFor(WAIT_MS, () => hasLive(3)));
    const [reclaimed, stopped] = await harness.getLiveInstances();
    await harness.reclaimInstance(reclaimed.instanceId);
    await harness.terminateInstance(stopped.instanceId);
    t.ok(await waitFor(WAIT_MS, () => hasLive(1)));

    const holder = new PlatformWatcher({cloud, instanceList, metrics});
    await holder.refresh(Date.now());
    t.match(holder.getReclaims(Date.now()), [{failureDomain: 'oslo-a', reclaims: 1}]);
    const candidate = new PlatformWatcher({cloud, instanceList, metrics});
    await candidate.refreshAsCandidate(Date.now());
    t.match(candidate.getReclaims(Date.now()), [{failureDomain: 'oslo-a', reclaims: 1}]);
  },
);
