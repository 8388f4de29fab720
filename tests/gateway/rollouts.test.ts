/** Roll-outs of good and bad versions over whole fleets, with disturbances beside them. */
import t from 'tap';
import {SUCCESS} from '../exchange/exchangeFixtures.js';
import {
  ServingFleet,
  type ReceivedAttempt,
  type ServerBehaviour,
  type SimulatedServer,
} from '../support/ServingFleet.js';

/** Bounds of the platform: what a bad version may get, and for how long after its 50th bad response. */
const EXPOSED_SHARE = 0.1;
const EXPOSED_SLACK = 50;
const MAX_BAD_RESPONSES = 50;
const ROLLBACK_MS = 5_000;
const SETTLING_MS = 6_000;
const DURATION_MS = 18_000;
/** Time for which the fleet is watched after the deadline. */
const AFTERWARDS_MS = 10_000;
const REQUESTS_PER_SECOND = 40;
const STEPS_PER_SECOND = 100;
const SERVERS = 4;
const FAILED = {...SUCCESS, status: 500};
const TARGET = 'v2';

/** How a version behaves, given the time since the order. */
type Badness = (
  behaviour: ServerBehaviour,
  sinceOrderMs: number,
  fleet: ServingFleet,
) => ServerBehaviour;

/** What happens beside the roll-out, called in each step with the time since the order. */
type Disturbance = (fleet: ServingFleet, sinceOrderMs: number) => void;

const good: Badness = behaviour => behaviour;
const failing: Badness = (behaviour, _sinceOrderMs, {random}) =>
  random() < 0.5 ? {...behaviour, head: FAILED} : behaviour;
const failingLater: Badness = (behaviour, sinceOrderMs, fleet) =>
  sinceOrderMs < DURATION_MS / 2 ? behaviour : failing(behaviour, sinceOrderMs, fleet);
const slow: Badness = behaviour => ({...behaviour, prefillMs: behaviour.prefillMs * 4});

const nothing: Disturbance = () => undefined;

/** The servers of the old version are limited to a few requests each. */
const limitedServers: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs !== 1_000) return;
  for (const server of getServers(fleet, 'v1')) server.head = {...SUCCESS, requestLimit: 3};
};

/** Servers of the old version crash, one every 3 s. */
const crashingServers: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs % 3_000 !== 1_000) return;
  const server = getServers(fleet, 'v1').find(({isUp}) => isUp);
  if (server) fleet.crashServer(server);
};

/** The duty holder is killed, and is back some seconds later. */
const killedHolder: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 4_000) {
    const holder = fleet.gateways.find(({gateway}) => gateway.getGauges(0, 0).isDutyHolder);
    if (holder) holder.isRunning = false;
  }
  if (sinceOrderMs === 9_000) restartStopped(fleet);
};

/** The store is away from shortly after the order on. */
const storeAway: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 2_000) fleet.store.isAway = true;
  if (sinceOrderMs === 16_000) fleet.store.isAway = false;
};

/** The store comes back from a copy without the verdict, and the duty holder is killed soon afterwards. */
const restoredStore: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 11_000) fleet.store.isAway = true;
  if (sinceOrderMs === 12_000) {
    fleet.store.isAway = false;
    fleet.store.restore();
    for (const {gateway} of fleet.gateways) gateway.handleStoreRestored();
  }
  if (sinceOrderMs === 20_000) killedHolder(fleet, 4_000);
  if (sinceOrderMs === 22_000) restartStopped(fleet);
};

/** A third of the gateways are killed, and are back some seconds later. */
const killedGateways: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 5_000) {
    for (const [index, gateway] of fleet.gateways.entries()) {
      if (index % 3 === 0) gateway.isRunning = false;
    }
  }
  if (sinceOrderMs === 7_000) restartStopped(fleet);
};

function restartStopped(fleet: ServingFleet): void {
  for (const [index, {isRunning}] of fleet.gateways.entries()) {
    if (!isRunning) order(fleet, index, fleet.startGateway(index, fleet.nowMs).catalog);
  }
}

function order(
  fleet: ServingFleet,
  _index: number,
  catalog: ServingFleet['gateways'][number]['catalog'],
): void {
  catalog.setRollout('app', {
    service: 'app',
    targetVersion: TARGET,
    durationMs: DURATION_MS,
    learnedAtMs: fleet.nowMs,
  });
}

function getServers(fleet: ServingFleet, version: string): readonly SimulatedServer[] {
  return [...fleet.servers.values()].filter(
    ({known}) => known.entry.softwareVersion === version && known.entry.service === 'app',
  );
}

/** Plays a roll-out and returns what the target version got. */
async function play(
  gatewayCount: number,
  seed: number,
  badness: Badness,
  disturb: Disturbance,
  duration = AFTERWARDS_MS,
) {
  const fleet = new ServingFleet({
    gatewayCount,
    serverCount: SERVERS,
    failureDomains: 4,
    seed,
    lossShare: 0.02,
    route: {kind: 'idempotent', maxAttempts: 3},
    prefillMs: 80,
    responseMs: 10,
    hasStore: true,
  });
  const badAtMs: number[] = [];
  let orderedAtMs = Infinity;
  fleet.behave = (server, behaviour) => {
    if (server.known.entry.softwareVersion !== TARGET) return behaviour;
    const changed = badness(behaviour, fleet.nowMs - orderedAtMs, fleet);
    if (changed !== behaviour) badAtMs.push(fleet.nowMs + changed.prefillMs);
    return changed;
  };
  const step = () => {
    if (fleet.nowMs >= orderedAtMs) disturb(fleet, fleet.nowMs - orderedAtMs);
    if (fleet.random() >= REQUESTS_PER_SECOND / STEPS_PER_SECOND) return;
    const running = fleet.gateways.filter(({isRunning}) => isRunning);
    fleet.request(running[Math.floor(fleet.random() * running.length)], {});
  };
  await fleet.run(SETTLING_MS, step);
  orderedAtMs = fleet.nowMs;
  for (let index = 0; index < SERVERS; index += 1) {
    fleet.addServer(`i-new-${index}`, `domain-${index}`, TARGET);
  }
  fleet.gateways.forEach(({catalog}, index) => order(fleet, index, catalog));
  const deadlineAtMs = orderedAtMs + DURATION_MS;
  await fleet.run(DURATION_MS, step);
  const verdict = fleet.store.verdicts.get('app');
  await fleet.run(duration, step);
  await fleet.finish();
  const isTarget = ({call}: ReceivedAttempt) => call.server.entry.softwareVersion === TARGET;
  const inTime = fleet.received.filter(({atMs}) => atMs >= orderedAtMs && atMs <= deadlineAtMs);
  const lastBadMs =
    (badAtMs.sort((a, b) => a - b)[MAX_BAD_RESPONSES - 1] ?? Infinity) + ROLLBACK_MS;
  return {
    fleet,
    verdict,
    finalVerdict: fleet.store.verdicts.get('app'),
    exposed: inTime.filter(isTarget).length,
    allowed: EXPOSED_SHARE * inTime.length + EXPOSED_SLACK,
    tooLate: fleet.received.filter(attempt => isTarget(attempt) && attempt.atMs > lastBadMs).length,
    targetAfterwards: fleet.received.filter(
      attempt => isTarget(attempt) && attempt.atMs > deadlineAtMs,
    ).length,
    badResponses: badAtMs.length,
  };
}

t.test('a bad version gets too many requests in a roll-out', async t => {
  const doTest = (
    name: string,
    gatewayCount: number,
    badness: Badness,
    disturb: Disturbance,
    seeds: readonly number[] = [1],
  ) => {
    t.test(`${name}, ${gatewayCount} gateways`, async t => {
      for (const seed of seeds) {
        const result = await play(gatewayCount, seed, badness, disturb);
        const {exposed, allowed, tooLate, targetAfterwards, verdict, finalVerdict} = result;
        const note = `seed ${seed}: ${exposed} of ${Math.floor(allowed)}, ${result.badResponses} bad`;
        t.ok(exposed <= allowed, note);
        t.equal(tooLate, 0, `seed ${seed}: requests after the bound`);
        t.equal(targetAfterwards, 0, `seed ${seed}: requests after the deadline`);
        t.equal(verdict?.phase, 'rolled-back', `seed ${seed}: verdict at the deadline`);
        t.equal(finalVerdict?.phase, 'rolled-back', `seed ${seed}: verdict afterwards`);
      }
    });
  };
  doTest('failing at once', 7, failing, nothing, [1, 2, 3]);
  doTest('failing at once', 91, failing, nothing);
  doTest('failing later', 7, failingLater, nothing, [1, 2, 3]);
  doTest('slow', 7, slow, nothing, [1, 2, 3]);
  doTest('failing beside limited servers', 7, failing, limitedServers, [1, 2, 3]);
  doTest('failing beside crashing servers', 7, failing, crashingServers, [1, 2, 3]);
  doTest('failing while the duty holder is killed', 7, failing, killedHolder, [1, 2, 3]);
  doTest('failing while the store is away', 7, failing, storeAway, [1, 2, 3]);
  doTest('failing while the store is restored from a copy', 7, failing, restoredStore, [1, 2, 3]);
  doTest('failing while gateways are killed', 7, failing, killedGateways, [1, 2, 3]);
  doTest('failing while gateways are killed', 91, failing, killedGateways);
});

t.test('a good version does not arrive by the deadline', async t => {
  const doTest = (
    name: string,
    gatewayCount: number,
    disturb: Disturbance,
    seeds: readonly number[],
  ) => {
    t.test(`${name}, ${gatewayCount} gateways`, async t => {
      for (const seed of seeds) {
        const {verdict, exposed} = await play(gatewayCount, seed, good, disturb, 0);
        t.equal(verdict?.phase, 'done', `seed ${seed}: ${exposed} requests`);
      }
    });
  };
  doTest('undisturbed', 7, nothing, [1, 2, 3]);
  doTest('undisturbed', 91, nothing, [1]);
  doTest('beside crashing servers', 7, crashingServers, [1, 2, 3]);
  doTest('beside limited servers', 7, limitedServers, [1, 2, 3]);
});
