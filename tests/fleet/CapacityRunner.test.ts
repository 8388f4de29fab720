/** Tests of instance starts with the real client against the stand-in of the cloud API, with a simulated clock. */
import t, {type Test} from 'tap';
import {CapacityRunner} from '../../src/fleet/CapacityRunner.js';
import type {FleetStream} from '../../src/fleet/FleetStream.js';
import type {LeaseManager} from '../../src/fleet/LeaseManager.js';
import {PlatformWatcher} from '../../src/fleet/PlatformWatcher.js';
import {FleetFold} from '../../src/folds/index.js';
import {createLogger} from '../../src/logging/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {CloudClient, InstanceListClient} from '../../src/infrastructure/index.js';
import {CONFIGURATION, GUIDANCE} from '../support/deployment.js';
import {FleetHarness, waitFor} from '../support/FleetHarness.js';

const FILE_TIMEOUT_MS = 120_000;
t.setTimeout(FILE_TIMEOUT_MS);

const WAIT_MS = 20_000;
const START_MS = 1_000_000;
const SERVERS = 4;
const OFFERS = [
  {machineClass: 'a100', market: 'reclaimable', priceUsdPerHour: 1},
  {machineClass: 'h100', market: 'reclaimable', priceUsdPerHour: 2},
  {machineClass: 'a100', market: 'on-demand', priceUsdPerHour: 3},
] as const;
const PRICES = ['oslo-a', 'oslo-b'].flatMap(failureDomain =>
  OFFERS.map(offer => ({failureDomain, ...offer})),
);
const DEMAND = {
  configuration: {...CONFIGURATION, services: [{...GUIDANCE, targetReplicas: SERVERS / 2}]},
  revision: 1,
  getWantedSharePercent: () => 0,
  getPlannedService: (service: typeof GUIDANCE) => service,
  isReady: () => true,
};

async function startHarness(t: Test) {
  const harness = new FleetHarness(PRICES);
  await harness.start();
  const cloud = new CloudClient({url: harness.getUrl('cloud'), timeoutMs: 2_000});
  const instanceList = new InstanceListClient({url: harness.getUrl('list'), timeoutMs: 2_000});
  t.teardown(async () => {
    await Promise.all([cloud.close(), instanceList.close()]);
    await harness.stop();
  });
  /** Returns a function that runs one round of a new lease holder, which has no record of earlier starts. */
  const createLeaseHolder = () => {
    const metrics = new Metrics({globalTags: {}});
    const watcher = new PlatformWatcher({cloud, instanceList, metrics});
    const fold = new FleetFold();
    const runner = new CapacityRunner({
      stream: {getFold: () => fold} as unknown as FleetStream,
      lease: {isLatestKnownHolder: () => true} as unknown as LeaseManager,
      cloud,
      watcher,
      logger: createLogger({name: 'test', instanceId: 'fleet-1', level: 'error'}),
      metrics,
    });
    return async (afterMs: number) => {
      await watcher.refresh(START_MS + afterMs);
      await runner.run(DEMAND, START_MS + afterMs);
    };
  };
  const countLiveInstances = async () => (await harness.getLiveInstances()).length;
  const reachesFullCapacity = () =>
    waitFor(WAIT_MS, async () => (await countLiveInstances()) === SERVERS);
  const readOffers = async (key: 'starts' | 'refusedStarts') => {
    const ledger = await harness.getCloudLedger();
    return ledger[key].map(({machineClass, market}) => `${machineClass} ${market}`);
  };
  const loseInstance = async () => {
    const [lost] = await harness.getLiveInstances();
    await harness.terminateInstance(lost.instanceId);
  };
  return {harness, createLeaseHolder, reachesFullCapacity, readOffers, loseInstance};
}

const A100 = {machineClass: 'a100', market: 'reclaimable'} as const;
const H100 = {machineClass: 'h100', market: 'reclaimable'} as const;

t.test(
  'CapacityRunner falls back to the next offers, including on-demand ones, while starts are refused',
  async t => {
    const {harness, createLeaseHolder, reachesFullCapacity, readOffers} = await startHarness(t);
    const runRound = createLeaseHolder();
    await harness.setCloudFaults({refuseStarts: [A100, H100]});
    await runRound(0);
    await runRound(1_000);
    t.same(await readOffers('starts'), []);
    await runRound(2_000);
    t.ok(await reachesFullCapacity());
    t.same(await readOffers('starts'), Array(SERVERS).fill('a100 on-demand'));
  },
);

t.test('CapacityRunner backs off from a refused offer, then retries it', async t => {
  const {harness, createLeaseHolder, reachesFullCapacity, readOffers, loseInstance} =
    await startHarness(t);
  const runRound = createLeaseHolder();
  await harness.setCloudFaults({refuseStarts: [A100]});
  await runRound(0);
  t.equal((await readOffers('refusedStarts')).length, SERVERS, 'refused in the first round');
  await runRound(1_000);
  t.ok(await reachesFullCapacity());
  t.same(await readOffers('starts'), Array(SERVERS).fill('h100 reclaimable'));

  await loseInstance();
  await runRound(14_999);
  t.ok(await reachesFullCapacity());
  t.equal((await readOffers('refusedStarts')).length, SERVERS, 'no retry within 15 s');
  await loseInstance();
  await runRound(15_000);
  t.equal((await readOffers('refusedStarts')).length, SERVERS + 1, 'retried after 15 s');
  await runRound(16_000);
  t.ok(await reachesFullCapacity());

  await harness.setCloudFaults({});
  await loseInstance();
  await runRound(50_000);
  t.ok(await reachesFullCapacity());
  t.equal(
    (await readOffers('starts')).at(-1),
    'a100 reclaimable',
    'used again once it is no longer refused',
  );
});

t.test('CapacityRunner starts one instance per vacancy when responses are lost', async t => {
  const {harness, createLeaseHolder, reachesFullCapacity, loseInstance} = await startHarness(t);
  const runRound = createLeaseHolder();
  const countStarts = async () => {
    const {starts} = await harness.getCloudLedger();
    t.equal(
      new Set(starts.map(one => one.clientToken)).size,
      starts.length,
      'client tokens are unique',
    );
    return starts.length;
  };
  await harness.setCloudFaults({loseAnswersPercent: 100});
  await runRound(0);
  t.equal(await countStarts(), SERVERS, 'all starts took effect');
  await harness.setCloudFaults({refuseStarts: [A100]});
  await runRound(1_000);
  await createLeaseHolder()(1_500);
  t.equal(await countStarts(), SERVERS, 'no duplicates on a retry, also by another lease holder');
  t.ok(await reachesFullCapacity());
  await runRound(2_000);
  await createLeaseHolder()(2_500);
  t.equal(await countStarts(), SERVERS);

  await loseInstance();
  await harness.setCloudFaults({loseAnswersPercent: 100});
  await runRound(60_000);
  await harness.setCloudFaults({refuseStarts: [A100]});
  await runRound(61_000);
  await createLeaseHolder()(62_000);
  t.ok(await reachesFullCapacity());
  await runRound(63_000);
  t.equal(await countStarts(), SERVERS + 1, 'one replacement for the lost instance');
});
