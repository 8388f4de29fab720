/** What backend servers say of themselves, over whole fleets: that they are leaving, and that they want no requests. */
import t from 'tap';
import {NOT_RUN, SUCCESS} from '../exchange/exchangeFixtures.js';
import {ServingFleet, type SimulatedGateway} from '../support/ServingFleet.js';

const SETTLING_MS = 4_000;
const REQUESTS_PER_STEP = 0.5;
const PAUSE_MS = 3_000;
/** Time after a refusal in which requests may still reach the server, and how many of a gateway may do so later. */
const REACTION_MS = 500;
const MAX_LATER_REQUESTS = 2;
/** Time after which no gateway may send a leaving server anything. */
const DRAIN_MS = 2_000;

function createFleet(gatewayCount: number, seed: number): ServingFleet {
  return new ServingFleet({
    gatewayCount,
    serverCount: 6,
    failureDomains: 3,
    seed,
    lossShare: 0.02,
    route: {kind: 'idempotent', maxAttempts: 3},
    prefillMs: 50,
    responseMs: 10,
  });
}

/** Sends requests to random gateways. */
function createLoad(fleet: ServingFleet) {
  const pick = (): SimulatedGateway => {
    const running = fleet.gateways.filter(({isRunning}) => isRunning);
    return running[Math.floor(fleet.random() * running.length)];
  };
  return () => {
    if (fleet.random() < REQUESTS_PER_STEP) fleet.request(pick(), {});
  };
}

t.test('a server that is leaving gets no more requests of any gateway', async t => {
  const doTest = (gatewayCount: number, seeds: readonly number[]) => {
    t.test(`${gatewayCount} gateways`, async t => {
      for (const seed of seeds) {
        const fleet = createFleet(gatewayCount, seed);
        const step = createLoad(fleet);
        await fleet.run(SETTLING_MS, step);
        const leaving = fleet.servers.get('i-2');
        if (!leaving) {
          t.fail('no server');
          return;
        }
        leaving.head = {...SUCCESS, isLeaving: true};
        const saidAtMs = fleet.nowMs;
        await fleet.run(6_000, () => {
          step();
          if (fleet.nowMs % 500 !== 0) return;
          for (const {catalog} of fleet.gateways) {
            catalog.servers.applyEntry(leaving.known.entry, fleet.nowMs);
          }
        });
        await fleet.finish();
        const later = fleet.received.filter(
          ({serverId, atMs}) => serverId === 'i-2' && atMs > saidAtMs + DRAIN_MS,
        );
        t.equal(later.length, 0, `seed ${seed}`);
        fleet.addServer('i-2', 'domain-2');
        await fleet.run(2_000, step);
        await fleet.finish();
        t.ok(
          fleet.received.some(({serverId, atMs}) => serverId === 'i-2' && atMs > saidAtMs + 8_000),
          `seed ${seed}: its next start gets requests`,
        );
      }
    });
  };
  doTest(7, [1, 2, 3]);
  doTest(91, [1]);
});

t.test(
  'a server that wants no requests for some time gets none of the gateways that it told',
  async t => {
    const doTest = (gatewayCount: number, seeds: readonly number[]) => {
      t.test(`${gatewayCount} gateways`, async t => {
        for (const seed of seeds) {
          const fleet = createFleet(gatewayCount, seed);
          const step = createLoad(fleet);
          await fleet.run(SETTLING_MS, step);
          const toldAtMs = new Map<string, number>();
          for (const server of fleet.servers.values()) {
            server.head = {...NOT_RUN, pauseMs: PAUSE_MS};
          }
          const fromMs = fleet.nowMs;
          await fleet.run(6_000, step);
          await fleet.finish();
          const later = new Map<string, number>();
          for (const {gatewayId, serverId, atMs} of fleet.received) {
            if (atMs < fromMs) continue;
            const key = `${gatewayId} ${serverId}`;
            const told = toldAtMs.get(key);
            const refusedAtMs = atMs + 60;
            if (told === undefined || atMs >= told + PAUSE_MS) toldAtMs.set(key, refusedAtMs);
            else if (atMs > told + REACTION_MS) later.set(key, (later.get(key) ?? 0) + 1);
          }
          const most = Math.max(0, ...later.values());
          t.ok(most <= MAX_LATER_REQUESTS, `seed ${seed}: ${most} requests after a refusal`);
          const refused = fleet.results.filter(
            ({sentAtMs, outcome}) => sentAtMs > fromMs + 2_000 && typeof outcome === 'object',
          );
          t.ok(refused.length > 0, `seed ${seed}: callers are refused`);
          t.ok(
            refused.every(({outcome}) => typeof outcome === 'object' && outcome.isNotRun),
            `seed ${seed}: truthfully`,
          );
        }
      });
    };
    doTest(7, [1, 2, 3]);
    doTest(91, [1]);
  },
);
