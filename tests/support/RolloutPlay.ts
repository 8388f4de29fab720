/** Plays roll-outs of good and bad versions over whole simulated fleets, with disturbances beside them. */
import type {Catalog} from '../../src/catalog/index.js';
import type {RolloutVerdict} from '../../src/gateway/index.js';
import {SUCCESS} from '../exchange/exchangeFixtures.js';
import {
  ServingFleet,
  type ReceivedAttempt,
  type ServerBehaviour,
  type SimulatedServer,
} from './ServingFleet.js';

/** Bounds of the platform: what a bad version may get, and for how long after its 50th bad response. */
const EXPOSED_SHARE = 0.1;
const EXPOSED_SLACK = 50;
const MAX_BAD_RESPONSES = 50;
const ROLLBACK_MS = 5_000;
const SETTLING_MS = 6_000;
const DURATION_MS = 18_000;
const AFTERWARDS_MS = 10_000;
const REQUESTS_PER_SECOND = 40;
const STEPS_PER_SECOND = 100;
const SERVERS = 4;
const FAILED = {...SUCCESS, status: 500};
const TARGET = 'v2';

/** How a version behaves, given the time since the order. */
export type VersionBehaviour = (
  behaviour: ServerBehaviour,
  sinceOrderMs: number,
  fleet: ServingFleet,
) => ServerBehaviour;

/** What happens beside the roll-out, called in each step with the time since the order. */
export type Disturbance = (fleet: ServingFleet, sinceOrderMs: number) => void;

/** A version without faults. */
export const good: VersionBehaviour = behaviour => behaviour;
/** A version that fails half of its requests. */
export const failing: VersionBehaviour = (behaviour, _sinceOrderMs, {random}) =>
  random() < 0.5 ? {...behaviour, head: FAILED} : behaviour;
/** A version that begins to fail midway. */
export const failingLater: VersionBehaviour = (behaviour, sinceOrderMs, fleet) =>
  sinceOrderMs < DURATION_MS / 2 ? behaviour : failing(behaviour, sinceOrderMs, fleet);
/** A version that takes four times as long. */
export const slow: VersionBehaviour = behaviour => ({
  ...behaviour,
  prefillMs: behaviour.prefillMs * 4,
});

/** Nothing happens. */
export const nothing: Disturbance = () => undefined;

/** The servers of the old version are limited to a few requests each. */
export const limitedServers: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs !== 1_000) return;
  for (const server of getServers(fleet, 'v1')) server.head = {...SUCCESS, requestLimit: 3};
};

/** Servers of the old version crash, one every 3 s. */
export const crashingServers: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs % 3_000 !== 1_000) return;
  const server = getServers(fleet, 'v1').find(({isUp}) => isUp);
  if (server) fleet.crashServer(server);
};

/** The duty holder is killed, and is back some seconds later. */
export const killedHolder: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 4_000) {
    const holder = fleet.gateways.find(({gateway}) => gateway.getGauges(0, 0).isDutyHolder);
    if (holder) holder.isRunning = false;
  }
  if (sinceOrderMs === 9_000) restartStopped(fleet);
};

/** The store is away from shortly after the order on. */
export const storeAway: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 2_000) fleet.store.isAway = true;
  if (sinceOrderMs === 16_000) fleet.store.isAway = false;
};

/** The store comes back from a copy without the verdict, and the duty holder is killed soon afterwards. */
export const restoredStore: Disturbance = (fleet, sinceOrderMs) => {
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
export const killedGateways: Disturbance = (fleet, sinceOrderMs) => {
  if (sinceOrderMs === 5_000) {
    for (const [index, gateway] of fleet.gateways.entries()) {
      if (index % 3 === 0) gateway.isRunning = false;
    }
  }
  if (sinceOrderMs === 7_000) restartStopped(fleet);
};

function restartStopped(fleet: ServingFleet): void {
  for (const [index, {isRunning}] of fleet.gateways.entries()) {
    if (!isRunning) order(fleet, fleet.startGateway(index, fleet.nowMs).catalog);
  }
}

function order(fleet: ServingFleet, catalog: Catalog): void {
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

/** Options of `playRollout`. */
export interface RolloutPlayOptions {
  readonly gatewayCount: number;
  readonly seed: number;
  readonly behaviour: VersionBehaviour;
  readonly disturb: Disturbance;
  /** Time for which the fleet is watched after the deadline. */
  readonly afterwardsMs?: number;
}

/** What the target version of a roll-out got. */
export interface RolloutResult {
  /** What the store says at the deadline, and at the end. */
  readonly verdict: RolloutVerdict | undefined;
  readonly finalVerdict: RolloutVerdict | undefined;
  /** Requests that reached it between the order and the deadline, and how many a bad one may get. */
  readonly exposed: number;
  readonly allowed: number;
  /** Requests that reached it later than allowed after its 50th bad response, and after the deadline. */
  readonly tooLate: number;
  readonly targetAfterwards: number;
  readonly badResponses: number;
}

/** Plays a roll-out and returns what the target version got. */
export async function playRollout({
  gatewayCount,
  seed,
  behaviour,
  disturb,
  afterwardsMs = AFTERWARDS_MS,
}: RolloutPlayOptions): Promise<RolloutResult> {
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
  fleet.behave = (server, normal) => {
    if (server.known.entry.softwareVersion !== TARGET) return normal;
    const changed = behaviour(normal, fleet.nowMs - orderedAtMs, fleet);
    if (changed !== normal) badAtMs.push(fleet.nowMs + changed.prefillMs);
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
  for (const {catalog} of fleet.gateways) order(fleet, catalog);
  const deadlineAtMs = orderedAtMs + DURATION_MS;
  await fleet.run(DURATION_MS, step);
  const verdict = fleet.store.verdicts.get('app');
  await fleet.run(afterwardsMs, step);
  await fleet.finish();
  const isTarget = ({call}: ReceivedAttempt) => call.server.entry.softwareVersion === TARGET;
  const inTime = fleet.received.filter(({atMs}) => atMs >= orderedAtMs && atMs <= deadlineAtMs);
  const lastBadMs =
    (badAtMs.sort((a, b) => a - b)[MAX_BAD_RESPONSES - 1] ?? Infinity) + ROLLBACK_MS;
  return {
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
