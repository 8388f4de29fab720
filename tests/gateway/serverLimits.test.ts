/** Requests that a fleet of gateways sends to servers that name a limit of requests per second. */
import t from 'tap';
import {createSeededRandom} from '../../src/utils/index.js';
import {SUCCESS} from '../exchange/exchangeFixtures.js';
import {ServingFleet, type SimulatedGateway} from '../support/ServingFleet.js';

/** The users' bounds: time until a limit is obeyed, and what is allowed in a window by servers that were told. */
const CONTACT_MS = 3_000;
const TOLD_MS = 500;
const WINDOW_MS = 4_000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;
const SETTLING_MS = 3_000;
const LIMITED_MS = 15_000;
const LOSS_SHARE = 0.02;
const SERVERS = 8;
/** Servers that name a limit; the others take what is left. */
const LIMITED_SERVERS = 5;

interface Scenario {
  readonly gateways: number;
  readonly perSecond: number;
  readonly requestsPerSecond: number;
  readonly seed: number;
}

interface Day {
  readonly fleet: ServingFleet;
  readonly limitedFromMs: number;
  readonly limitedUntilMs: number;
  readonly limitedIds: readonly string[];
}

function pickGateway(fleet: ServingFleet, random: () => number): SimulatedGateway {
  const running = fleet.gateways.filter(({isRunning}) => isRunning);
  return running[Math.floor(random() * running.length)];
}

/** Plays a day on which some servers name a limit for a time, and name none afterwards. */
async function playDay(
  scenario: Scenario,
  duringLimit: (fleet: ServingFleet) => void,
): Promise<Day> {
  const fleet = new ServingFleet({
    gatewayCount: scenario.gateways,
    serverCount: SERVERS,
    failureDomains: 4,
    seed: scenario.seed,
    lossShare: LOSS_SHARE,
    responseMs: 300,
  });
  const random = createSeededRandom(scenario.seed + 1_000);
  const traffic = () => {
    for (let due = scenario.requestsPerSecond / 100; random() < due; due -= 1) {
      fleet.request(pickGateway(fleet, random), {});
    }
  };
  await fleet.run(SETTLING_MS, traffic);
  const limited = [...fleet.servers.values()].slice(0, LIMITED_SERVERS);
  const limitedFromMs = fleet.nowMs;
  for (const server of limited) server.head = {...SUCCESS, requestLimit: scenario.perSecond};
  await fleet.run(LIMITED_MS, () => {
    traffic();
    duringLimit(fleet);
  });
  const limitedUntilMs = fleet.nowMs;
  for (const server of limited) server.head = SUCCESS;
  await fleet.run(8_000, traffic);
  await fleet.finish();
  const limitedIds = limited.map(({known}) => known.entry.id);
  return {fleet, limitedFromMs, limitedUntilMs, limitedIds};
}

/** Returns the most requests in a window from gateways that a server had told. */
function getMostInWindow({fleet, limitedFromMs, limitedUntilMs}: Day, serverId: string): number {
  const toldAtMs = new Map<string, number>();
  const counted: number[] = [];
  for (const {serverId: id, gatewayId, atMs} of fleet.received) {
    if (id !== serverId || atMs <= limitedFromMs || atMs > limitedUntilMs) continue;
    const told = toldAtMs.get(gatewayId);
    if (told === undefined) toldAtMs.set(gatewayId, atMs + TOLD_MS);
    if (atMs > limitedFromMs + CONTACT_MS && told !== undefined && atMs >= told) counted.push(atMs);
  }
  const counts = counted.map(
    fromMs => counted.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

function countReceived(fleet: ServingFleet, serverId: string, fromMs: number, untilMs: number) {
  return fleet.received.filter(
    received =>
      received.serverId === serverId && received.atMs > fromMs && received.atMs <= untilMs,
  ).length;
}

t.test('servers that name a limit', t => {
  const doTest = (
    name: string,
    scenario: Scenario,
    duringLimit: (fleet: ServingFleet) => void = () => undefined,
  ) => {
    t.test(name, async t => {
      const day = await playDay(scenario, duringLimit);
      const {fleet, limitedFromMs, limitedUntilMs, limitedIds} = day;
      const {perSecond} = scenario;
      const windowLimit = (TOLERATED_FACTOR * perSecond * WINDOW_MS) / 1_000 + TOLERATED_REQUESTS;
      const most = limitedIds.map(id => getMostInWindow(day, id));
      t.ok(Math.max(...most) <= windowLimit, `${most} in ${WINDOW_MS} ms, ${windowLimit} allowed`);
      const used = limitedIds.map(id =>
        countReceived(fleet, id, limitedFromMs + CONTACT_MS, limitedUntilMs),
      );
      const usable = (perSecond * (LIMITED_MS - CONTACT_MS)) / 1_000;
      const total = used.reduce((sum, count) => sum + count, 0);
      t.ok(total >= (usable * LIMITED_SERVERS) / 4, `${used} sent, ${usable} taken by each`);
      const usualShare = scenario.requestsPerSecond / SERVERS;
      const after = limitedIds.map(id =>
        countReceived(fleet, id, limitedUntilMs + CONTACT_MS, limitedUntilMs + 8_000),
      );
      t.ok(
        Math.min(...after) >= (usualShare * 5) / 2,
        `${after} in 5 s after the end, usually ${usualShare} a second`,
      );
    });
  };
  doTest('7 gateways, 2 a second', {gateways: 7, perSecond: 2, requestsPerSecond: 40, seed: 1});
  doTest('7 gateways, 1 a second', {gateways: 7, perSecond: 1, requestsPerSecond: 40, seed: 2});
  doTest('91 gateways, 1 a second', {gateways: 91, perSecond: 1, requestsPerSecond: 80, seed: 3});
  doTest('30 gateways, 10 a second', {
    gateways: 30,
    perSecond: 10,
    requestsPerSecond: 200,
    seed: 4,
  });
  doTest(
    '7 gateways that are restarted one by one',
    {gateways: 7, perSecond: 1.9, requestsPerSecond: 40, seed: 5},
    fleet => {
      if (fleet.nowMs % 2_000 !== 0) return;
      const index = (fleet.nowMs / 2_000) % fleet.gateways.length;
      fleet.gateways[index].isRunning = false;
      fleet.startGateway(index, fleet.nowMs);
    },
  );
  t.end();
});
