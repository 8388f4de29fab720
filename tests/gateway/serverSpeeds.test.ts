/** Whole gateways whose servers report work factors: placement, metrics, and what they do without such reports. */
import t from 'tap';
import type {ReportedLoad} from '../../src/exchange/index.js';
import {SUCCESS} from '../exchange/exchangeFixtures.js';
import {ServingFleet} from '../support/ServingFleet.js';

const SETTLING_MS = 3_000;
const LEARNING_MS = 10_000;
const MEASURED_MS = 10_000;
const PROMPT_TOKENS = 20_000;
const SERVERS = 6;
const USUAL_PREFILL_MS = 300;
const SLOW_FACTOR = 3;

function createFleet(): ServingFleet {
  return new ServingFleet({
    gatewayCount: 4,
    serverCount: SERVERS,
    failureDomains: 3,
    seed: 5,
    lossShare: 0.02,
    route: {latencyTargetMs: 1_000, longestPauseMs: 500},
    responseMs: 100,
  });
}

function createLoad(workFactor: number | undefined): ReportedLoad {
  return {running: 1, waiting: 0, slots: 12, workFactor};
}

/** Sends prompts to all gateways; returns how many of them each server received at the end. */
async function serve(fleet: ServingFleet): Promise<ReadonlyMap<string, number>> {
  const step = () => {
    if (fleet.random() >= 0.2) return;
    const gateway = fleet.gateways[Math.floor(fleet.random() * fleet.gateways.length)];
    const id = `own-${fleet.nowMs}`;
    fleet.request(gateway, {promptParts: [{id, tokens: PROMPT_TOKENS}]});
  };
  await fleet.run(SETTLING_MS + LEARNING_MS, step);
  const fromMs = fleet.nowMs;
  await fleet.run(MEASURED_MS, step);
  await fleet.finish();
  const counts = new Map<string, number>();
  for (const {serverId, atMs} of fleet.received) {
    if (atMs >= fromMs) counts.set(serverId, (counts.get(serverId) ?? 0) + 1);
  }
  return counts;
}

t.test('a slow server gets fewer prompts if it reports that it is slow', async t => {
  const fleet = createFleet();
  fleet.behave = ({known}, behaviour) => {
    const factor = known.entry.id === 'i-0' ? SLOW_FACTOR : 1;
    return {
      ...behaviour,
      prefillMs: USUAL_PREFILL_MS * factor,
      head: {...SUCCESS, load: createLoad(factor)},
    };
  };
  const counts = await serve(fleet);
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  const slow = counts.get('i-0') ?? 0;
  t.ok(slow < total / SERVERS / 4, `${slow} of ${total} at the slow one`);
  const [{factors}] = fleet.gateways.map(({gateway}) => gateway.getGauges(0, 0));
  t.match(factors, [{service: 'app', min: Number, median: Number, max: Number, ageMs: Number}]);
  t.ok(Math.abs(factors[0].median - 1) < 0.1, `${factors[0].median}`);
  const statuses = new Set(fleet.results.map(({outcome}) => outcome));
  t.same([...statuses], ['answered']);
});

t.test('without work factors the speeds of servers are not learned', async t => {
  // Deployments whose servers report none are served as before.
  const fleet = createFleet();
  fleet.behave = (_server, behaviour) => ({
    ...behaviour,
    prefillMs: USUAL_PREFILL_MS,
    head: {...SUCCESS, load: createLoad(undefined)},
  });
  const counts = await serve(fleet);
  t.equal(counts.size, SERVERS);
  for (const {gateway} of fleet.gateways) t.same(gateway.getGauges(0, 0).factors, []);
});

t.test('the report of another server than the intended one counts for nobody', async t => {
  const fleet = createFleet();
  fleet.behave = (_server, behaviour) => ({
    ...behaviour,
    head: {...SUCCESS, status: 421, isMisdirected: true, isNotRun: true, load: createLoad(1)},
  });
  await serve(fleet);
  for (const {gateway} of fleet.gateways) t.same(gateway.getGauges(0, 0).factors, []);
});
