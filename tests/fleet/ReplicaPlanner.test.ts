/** Tests that a fleet daemon starts backend servers according to the load that the existing ones report. */
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
const MAX_CONCURRENT_REQUESTS = 2;
const MIN_SERVERS = 4;
/** At a utilization of up to three quarters, eight open requests need six servers; six more are spares. */
const LOADED_SERVERS = 12;

t.test('ReplicaPlanner', async t => {
  const harness = new FleetHarness(PRICES);
  const services = [
    {...GUIDANCE, targetReplicas: 2, maxConcurrentRequests: MAX_CONCURRENT_REQUESTS},
  ];
  const workspaces = CONFIGURATION.workspaces.map(workspace => ({
    ...workspace,
    keys: [{sha256: '0'.repeat(64)}],
  }));
  await harness.start({...CONFIGURATION, services, workspaces});
  t.teardown(() => harness.stop());
  const hasLive = async (count: number) => (await harness.getLiveInstances()).length === count;

  harness.startDaemon('fleet-1');
  t.ok(await waitFor(WAIT_MS, () => hasLive(MIN_SERVERS)), 'the configured minimum without load');
  for (const {address, port} of await harness.getLiveInstances()) {
    for (let index = 0; index < MAX_CONCURRENT_REQUESTS; index++) {
      void holdRequest(`http://${address}:${port}`);
    }
  }
  t.ok(await waitFor(WAIT_MS, () => hasLive(LOADED_SERVERS)), 'more servers under load');
  const drains = (await harness.readFleet()).getDrains();
  t.same(drains, [], 'no server is drained again right away');
});

/** Sends a request whose response lasts until its server stops. */
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
