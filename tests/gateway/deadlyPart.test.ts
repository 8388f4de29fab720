/** A prompt part that crashes every backend server that begins to answer it, at fleets of different sizes. */
import t from 'tap';
import type {ServingRequest} from '../../src/exchange/index.js';
import {DEADLY_PART, ServingFleet, type SimulatedGateway} from '../support/ServingFleet.js';

/** The users' bounds: time to detect the part after its fifth crash, and requests that may reach servers afterwards. */
const CONTACT_MS = 3_000;
const CRASHES = 5;
const MOST_AFTERWARDS = 3;
const SETTLING_MS = 3_000;
const LOSS_SHARE = 0.02;
/** Sound requests to which the deadly part is added in this share of cases. */
const DEADLY_SHARE = 0.05;
const SUBJECTS = 40;

interface Scenario {
  readonly gateways: number;
  readonly servers: number;
  readonly requestsPerSecond: number;
  readonly seed: number;
  /** Time for which requests with the deadly part come. */
  readonly dayMs: number;
}

function createRequest(fleet: ServingFleet, isDeadly: boolean): Partial<ServingRequest> {
  const subject = `subject-${Math.floor(fleet.random() ** 3 * SUBJECTS)}`;
  const deadlyParts = isDeadly ? [DEADLY_PART] : [];
  const ids = ['shared', subject, ...deadlyParts, `own-${fleet.random()}`];
  return {promptParts: ids.map(id => ({id, tokens: 100}))};
}

function pickGateway(fleet: ServingFleet): SimulatedGateway {
  const running = fleet.gateways.filter(({isRunning}) => isRunning);
  return running[Math.floor(fleet.random() * running.length)];
}

/** Sends requests at the scenario's rate; `deadlyShare` of them have the deadly part. */
function createTraffic(fleet: ServingFleet, {requestsPerSecond}: Scenario, deadlyShare: number) {
  return () => {
    for (let due = requestsPerSecond / 100; fleet.random() < due; due -= 1) {
      const isDeadly = fleet.random() < deadlyShare;
      fleet.request(pickGateway(fleet), createRequest(fleet, isDeadly));
    }
  };
}

function countDeadlyAfter(fleet: ServingFleet, atMs: number): number {
  return fleet.received.filter(
    received =>
      received.atMs > atMs && received.call.request.promptParts.some(({id}) => id === DEADLY_PART),
  ).length;
}

/** Returns the share of sound requests in a time that a server received. */
function getSoundShare(fleet: ServingFleet, fromMs: number): number {
  const sound = fleet.results.filter(
    ({request, sentAtMs}) =>
      sentAtMs >= fromMs && request.promptParts.every(({id}) => id !== DEADLY_PART),
  );
  const refused = sound.filter(
    ({outcome}) => typeof outcome === 'object' && outcome.kind !== 'backend-failed',
  );
  return 1 - refused.length / sound.length;
}

async function playDay(scenario: Scenario, duringDay: (fleet: ServingFleet) => void) {
  const fleet = new ServingFleet({
    gatewayCount: scenario.gateways,
    serverCount: scenario.servers,
    failureDomains: 4,
    seed: scenario.seed,
    lossShare: LOSS_SHARE,
  });
  await fleet.run(SETTLING_MS, createTraffic(fleet, scenario, 0));
  const traffic = createTraffic(fleet, scenario, DEADLY_SHARE);
  await fleet.run(scenario.dayMs, () => {
    traffic();
    duringDay(fleet);
  });
  await fleet.finish();
  return fleet;
}

const SMALL = {gateways: 7, servers: 10, requestsPerSecond: 20, dayMs: 22_000};
const LARGE = {gateways: 91, servers: 60, requestsPerSecond: 150, dayMs: 8_000};

t.test('a prompt part that crashes servers', t => {
  const doTest = (name: string, scenario: Scenario, duringDay: (fleet: ServingFleet) => void) => {
    t.test(`${name}: hardly reaches servers after its fifth crash`, async t => {
      const fleet = await playDay(scenario, duringDay);
      const boundMs = (fleet.crashesAtMs[CRASHES - 1] ?? Infinity) + CONTACT_MS;
      const fifth = fleet.crashesAtMs.length < CRASHES ? 'none' : fleet.crashesAtMs[CRASHES - 1];
      const late = countDeadlyAfter(fleet, boundMs);
      t.ok(late <= MOST_AFTERWARDS, `${late} after the bound, fifth crash at ${fifth} ms`);
      const judgedFromMs =
        (fleet.crashesAtMs[CRASHES - 1] ?? fleet.crashesAtMs.at(-1) ?? 0) + 2 * CONTACT_MS;
      t.ok(getSoundShare(fleet, judgedFromMs) > 0.98, 'sound requests with the same parts run');
    });
  };
  const nothing = () => undefined;
  for (let seed = 1; seed <= 3; seed += 1) {
    doTest(`7 gateways, seed ${seed}`, {...SMALL, seed}, nothing);
  }
  doTest('91 gateways', {...LARGE, seed: 1}, nothing);
  doTest('7 gateways, of which those that saw crashes are killed', {...SMALL, seed: 4}, fleet => {
    const crashAtMs = fleet.crashesAtMs.at(-1);
    if (crashAtMs === undefined || fleet.nowMs !== crashAtMs + 500) return;
    const witness = fleet.received.findLast(({call}) =>
      call.request.promptParts.some(({id}) => id === DEADLY_PART),
    );
    const index = fleet.gateways.findIndex(({id}) => id === witness?.gatewayId);
    fleet.gateways[index].isRunning = false;
    fleet.startGateway(index, fleet.nowMs);
  });
  t.end();
});

t.test('servers that crash by themselves quarantine nothing', async t => {
  const fleet = new ServingFleet({
    gatewayCount: 7,
    serverCount: 16,
    failureDomains: 4,
    seed: 5,
    lossShare: LOSS_SHARE,
  });
  const traffic = createTraffic(fleet, {...SMALL, servers: 16, seed: 5}, 0);
  await fleet.run(SETTLING_MS, traffic);
  for (let wave = 0; wave < 4; wave += 1) {
    const up = [...fleet.servers.values()].filter(({isUp}) => isUp);
    for (const server of up.slice(0, 4)) fleet.crashServer(server);
    await fleet.run(4_000, traffic);
  }
  await fleet.finish();
  const quarantined = fleet.results.filter(
    ({outcome}) => typeof outcome === 'object' && outcome.kind === 'quarantined',
  );
  t.equal(quarantined.length, 0);
});
