/** Tests that a fleet daemon starts backend servers for the load that those it has report. */
import t from 'tap';
import {request} from 'undici';
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
const WAIT_MS = 30_000;
const PLACES = 2;
const FLOOR_SERVERS = 4;
/** Eight open requests fill three quarters of the places of six servers; as many again are spares. */
const LOADED_SERVERS = 12;

t.test('ReplicaKeeper', async t => {
  const harness = new FleetHarness(PRICES);
  const services = [{...GUIDANCE, targetReplicas: 2, maxConcurrentRequests: PLACES}];
  const workspaces = CONFIGURATION.workspaces.map(workspace => ({
    ...workspace,
    keys: [{sha256: '0'.repeat(64)}],
  }));
  await harness.start({...CONFIGURATION, services, workspaces});
  t.teardown(() => harness.stop());
  const hasLive = async (count: number) => (await harness.getLiveInstances()).length === count;

  harness.startDaemon('fleet-1');
  t.ok(await waitFor(WAIT_MS, () => hasLive(FLOOR_SERVERS)), 'the floor without load');
  for (const {address, port} of await harness.getLiveInstances()) {
    for (let index = 0; index < PLACES; index++) {
      void holdRequest(`http://${address}:${port}`);
    }
  }
  t.ok(await waitFor(WAIT_MS, () => hasLive(LOADED_SERVERS)), 'more under load');
  const drains = (await harness.readFleet()).getDrains();
  t.same(drains, [], 'and none of them is given up at once');
});

/** Keeps a request open until its server stops. */
async function holdRequest(url: string): Promise<void> {
  try {
    const {body} = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({
        model: GUIDANCE.name,
        messages: [{role: 'user', content: 'hello'}],
        max_tokens: 1_000_000,
        stream: true,
      }),
    });
    await body.dump({limit: Infinity});
  } catch {
    // The server stopped.
  }
}
