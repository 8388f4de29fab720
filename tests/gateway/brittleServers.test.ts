/** Requests of a whole fleet before overloaded servers that crash if they have to refuse many in a second. */
import t from 'tap';
import type {BackendHead} from '../../src/exchange/index.js';
import {SUCCESS} from '../exchange/exchangeFixtures.js';
import {ServingFleet, type SimulatedServer} from '../support/ServingFleet.js';

const SLOTS = 6;
const RESPONSE_MS = 300;
const SERVERS = 4;
/** Requests per second that all servers can run. */
const CAPACITY = (SERVERS * SLOTS * 1_000) / (RESPONSE_MS + 100);
const BRITTLE_AT_MS = 2_000;
/** Time from the first statement after which servers may fall over. */
const CONTACT_MS = 3_000;
const MEASURED_MS = 6_000;
const SECOND_MS = 1_000;
/** A fleet that sent next to nothing would keep every bound. */
const MIN_USED_SHARE = 0.5;

/** Refusals of each server, by their times. */
type Refusals = Map<string, number[]>;

interface Load {
  readonly gatewayCount: number;
  /** Requests per second, as a multiple of what the servers can run. */
  readonly factor: number;
  readonly refusalsPerSecond: number;
  readonly seed: number;
}

async function play({gatewayCount, factor, refusalsPerSecond, seed}: Load) {
  const fleet = new ServingFleet({
    gatewayCount,
    serverCount: SERVERS,
    failureDomains: 4,
    seed,
    lossShare: 0.02,
    slots: SLOTS,
    prefillMs: 100,
    responseMs: RESPONSE_MS,
    route: {kind: 'at-most-once'},
  });
  const refusals: Refusals = new Map();
  fleet.behave = (server: SimulatedServer, behaviour) => {
    const isBrittle = fleet.nowMs >= BRITTLE_AT_MS;
    const statement = isBrittle ? {refusalsPerSecond} : {};
    if (server.running.size <= SLOTS) return {...behaviour, head: {...SUCCESS, ...statement}};
    const {id} = server.known.entry;
    refusals.set(id, [...(refusals.get(id) ?? []), fleet.nowMs]);
    const head: BackendHead = {
      ...SUCCESS,
      ...statement,
      status: 503,
      isSigned: false,
      isNotRun: true,
      hasNotRunStatus: true,
    };
    return {prefillMs: 10, head};
  };
  let sent = 0;
  let credit = 0;
  const step = () => {
    credit += (CAPACITY * factor) / 100;
    for (; credit >= 1; credit -= 1) {
      const index = Math.floor(fleet.random() * gatewayCount);
      fleet.request(fleet.gateways[index], {});
      sent += 1;
    }
  };
  await fleet.run(BRITTLE_AT_MS + CONTACT_MS, step);
  const fromMs = fleet.nowMs;
  const before = fleet.results.length;
  await fleet.run(MEASURED_MS, step);
  await fleet.finish();
  fleet.abandonAll();
  const measured = fleet.results.slice(before);
  const answered = measured.filter(({outcome}) => outcome === 'answered').length;
  return {
    mostRefusals: Math.max(0, ...[...refusals.values()].map(times => getMost(times, fromMs))),
    usedShare: answered / Math.min(measured.length, (CAPACITY * MEASURED_MS) / SECOND_MS),
    sent,
  };
}

/** Returns the largest number of times within a second, from a time on. */
function getMost(times: readonly number[], fromMs: number): number {
  const late = times.filter(timeMs => timeMs >= fromMs);
  const counts = late.map(
    startMs => late.filter(timeMs => timeMs >= startMs && timeMs < startMs + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

t.test('overloaded brittle servers', t => {
  for (const gatewayCount of [7, 18]) {
    for (const factor of [0.8, 1.5, 3]) {
      for (const refusalsPerSecond of [4, 10]) {
        const name = `${gatewayCount} gateways, load ${factor}, ${refusalsPerSecond} refusals a second`;
        t.test(`${name}: no server has to refuse more than it bears`, async t => {
          for (const seed of [1, 2, 3]) {
            const {mostRefusals, usedShare} = await play({
              gatewayCount,
              factor,
              refusalsPerSecond,
              seed,
            });
            t.ok(mostRefusals <= refusalsPerSecond, `${mostRefusals} refusals, seed ${seed}`);
            t.ok(usedShare >= MIN_USED_SHARE, `${usedShare} of what the servers can run`);
          }
        });
      }
    }
  }
  t.end();
});
