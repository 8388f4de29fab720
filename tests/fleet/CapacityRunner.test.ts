/** Tests of starts against the stand-in of the cloud, through the real client and at instants that the tests give. */
import t, {type Test} from 'tap';
import {CapacityRunner} from '../../src/fleet/CapacityRunner.js';
import type {FleetStream} from '../../src/fleet/FleetStream.js';
import type {LeaseKeeper} from '../../src/fleet/LeaseKeeper.js';
import {PlatformWatch} from '../../src/fleet/PlatformWatch.js';
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

async function startWorld(t: Test) {
  const harness = new FleetHarness(PRICES);
  await harness.start();
  const cloud = new CloudClient({url: harness.getUrl('cloud'), timeoutMs: 2_000});
  const list = new InstanceListClient({url: harness.getUrl('list'), timeoutMs: 2_000});
  t.teardown(async () => {
    await Promise.all([cloud.close(), list.close()]);
    await harness.stop();
  });
  /** Returns a function that runs a round of a new holder, which remembers no start. */
  const createHolder = () => {
    const metrics = new Metrics({globalTags: {}});
    const watch = new PlatformWatch({cloud, list, metrics});
    const fold = new FleetFold();
    const runner = new CapacityRunner({
      stream: {getFold: () => fold} as unknown as FleetStream,
      lease: {isLastHolder: () => true} as unknown as LeaseKeeper,
      cloud,
      watch,
      logger: createLogger({name: 'test', instanceId: 'fleet-1', level: 'error'}),
      metrics,
    });
    return async (afterMs: number) => {
      await watch.refresh(START_MS + afterMs);
      await runner.run(DEMAND, START_MS + afterMs);
    };
  };
  const countLive = async () => (await harness.getLiveInstances()).length;
  const isWhole = () => waitFor(WAIT_MS, async () => (await countLive()) === SERVERS);
  const readOffers = async (key: 'starts' | 'refusedStarts') => {
    const ledger = await harness.getCloudLedger();
    return ledger[key].map(({machineClass, market}) => `${machineClass} ${market}`);
  };
  const loseOne = async () => {
    const [lost] = await harness.getLiveInstances();
    await harness.loseInstance(lost.instanceId);
  };
  return {harness, createHolder, isWhole, readOffers, loseOne};
}

const A100 = {machineClass: 'a100', market: 'reclaimable'} as const;
const H100 = {machineClass: 'h100', market: 'reclaimable'} as const;

t.test('CapacityRunner takes the next offers, on demand too, while starts are refused', async t => {
  const {harness, createHolder, isWhole, readOffers} = await startWorld(t);
  const runRound = createHolder();
  await harness.setCloudFaults({refuseStarts: [A100, H100]});
  await runRound(0);
  await runRound(1_000);
  t.same(await readOffers('starts'), []);
  await runRound(2_000);
  t.ok(await isWhole());
  t.same(await readOffers('starts'), Array(SERVERS).fill('a100 on-demand'));
});

t.test('CapacityRunner backs off from a refused offer, then tries it again', async t => {
  const {harness, createHolder, isWhole, readOffers, loseOne} = await startWorld(t);
  const runRound = createHolder();
  await harness.setCloudFaults({refuseStarts: [A100]});
  await runRound(0);
  t.equal((await readOffers('refusedStarts')).length, SERVERS, 'refused in the first round');
  await runRound(1_000);
  t.ok(await isWhole());
  t.same(await readOffers('starts'), Array(SERVERS).fill('h100 reclaimable'));

  await loseOne();
  await runRound(14_999);
  t.ok(await isWhole());
  t.equal((await readOffers('refusedStarts')).length, SERVERS, 'not asked for within 15 s');
  await loseOne();
  await runRound(15_000);
  t.equal((await readOffers('refusedStarts')).length, SERVERS + 1, 'asked for after 15 s');
  await runRound(16_000);
  t.ok(await isWhole());

  await harness.setCloudFaults({});
  await loseOne();
  await runRound(50_000);
  t.ok(await isWhole());
  t.equal((await readOffers('starts')).at(-1), 'a100 reclaimable', 'taken once it is granted');
});

t.test('CapacityRunner starts one instance for a vacancy where answers are lost', async t => {
  const {harness, createHolder, isWhole, loseOne} = await startWorld(t);
  const runRound = createHolder();
  const readIds = async () => {
    const {starts} = await harness.getCloudLedger();
    t.equal(new Set(starts.map(one => one.clientToken)).size, starts.length, 'tokens differ');
    return starts.length;
  };
  await harness.setCloudFaults({loseAnswersPercent: 100});
  await runRound(0);
  t.equal(await readIds(), SERVERS, 'all took effect');
  await harness.setCloudFaults({refuseStarts: [A100]});
  await runRound(1_000);
  await createHolder()(1_500);
  t.equal(await readIds(), SERVERS, 'asked again, also by another holder');
  t.ok(await isWhole());
  await runRound(2_000);
  await createHolder()(2_500);
  t.equal(await readIds(), SERVERS);

  await loseOne();
  await harness.setCloudFaults({loseAnswersPercent: 100});
  await runRound(60_000);
  await harness.setCloudFaults({refuseStarts: [A100]});
  await runRound(61_000);
  await createHolder()(62_000);
  t.ok(await isWhole());
  await runRound(63_000);
  t.equal(await readIds(), SERVERS + 1, 'one for the lost one');
});
