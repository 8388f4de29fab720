/** Requests that all gateways of a fleet together send to one cold backend server, in virtual time. */
import t from 'tap';
import {Catalog, type Service} from '../../../src/catalog/index.js';
import {UsageLedger} from '../../../src/controllers/duties/index.js';
import {PromptRates} from '../../../src/controllers/fleetSize/index.js';
import {FleetEvidence} from '../../../src/controllers/moves/index.js';
import {ServerLoads} from '../../../src/controllers/placement/index.js';
import type {AdmittedRequest} from '../../../src/exchange/index.js';
import {GatewayRunServices} from '../../../src/gateway/GatewayRunServices.js';
import {RolloutGate} from '../../../src/gateway/RolloutGate.js';
import {silentEvents} from '../../../src/logging/index.js';
import {BufferBudget, createSeededRandom} from '../../../src/utils/index.js';
import {REQUEST, ROUTE, createServer} from '../../exchange/exchangeFixtures.js';
import {
  createQuarantine,
  createReachability,
  createServerLimits,
  createSettings,
} from '../../gateway/gatewayFixtures.js';

/** Requests per second that the cold server sustains. */
const SUSTAINED_PER_SECOND = 11;
/** The platform's limit in any second: `cold_overage` times the sustained rate, plus `cold_slack`. */
const MAX_IN_A_SECOND = SUSTAINED_PER_SECOND * 1.5 + 5;
const COLD_MS = 3_000;
const STEP_MS = 20;
const SERVICE: Service = {
  name: 'app',
  maxConnections: 670,
  coldStartMs: COLD_MS,
  coldRequestsPerSecond: SUSTAINED_PER_SECOND,
  engine: undefined,
  replicaBounds: undefined,
};
const ADMITTED: AdmittedRequest = {
  request: REQUEST,
  route: ROUTE,
  service: SERVICE.name,
  workspace: undefined,
  priority: 1,
  homeRegions: [],
  deadlineAtMs: Infinity,
};

/** Returns the services of one gateway that knows the whole fleet and a single, cold server. */
function createGateway(
  id: string,
  fleet: readonly string[],
  seed: number,
  isFleetKnown = true,
): GatewayRunServices {
  const catalog = new Catalog();
  catalog.applyConfiguration({
    version: 1,
    routes: [ROUTE],
    services: new Map([[SERVICE.name, SERVICE]]),
    workspaces: [],
    limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  });
  catalog.servers.applyEntry({...createServer('s1').entry, coldMs: COLD_MS}, 0);
  return new GatewayRunServices({
    settings: createSettings({id}),
    catalog,
    loads: new ServerLoads(),
    promptRates: new PromptRates(),
    usageLedger: new UsageLedger(5),
    responseBuffers: new BufferBudget(Infinity),
    events: silentEvents,
    quarantine: createQuarantine(id),
    serverLimits: createServerLimits(id),
    rollouts: new RolloutGate({catalog, events: silentEvents}),
    evidence: new FleetEvidence(),
    reachability: createReachability(),
    recheck: () => undefined,
    onServerLeaving: () => undefined,
    getGatewayIds: () => fleet,
    isFleetKnown: () => isFleetKnown,
    getNowMs: () => 0,
    getWallMs: () => 0,
    random: createSeededRandom(seed),
  });
}

/** Returns when the gateways sent requests to the server, each of them with a request to place in every step. */
function simulate(gatewayCount: number, seed: number): readonly number[] {
  const fleet = Array.from({length: gatewayCount}, (_, index) => `g${seed}-${index}`);
  const gateways = fleet.map((id, index) => createGateway(id, fleet, seed + index));
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs < COLD_MS; nowMs += STEP_MS) {
    for (const gateway of gateways) {
      const decision = gateway.choose(ADMITTED, new Set(), nowMs);
      if (decision.kind === 'none') continue;
      gateway.onSent(ADMITTED, decision.server, 0, 1, nowMs);
      sentAtMs.push(nowMs);
    }
  }
  return sentAtMs;
}

function getMostInASecond(sentAtMs: readonly number[]): number {
  return Math.max(
    ...sentAtMs.map(
      startMs => sentAtMs.filter(atMs => atMs >= startMs && atMs < startMs + 1_000).length,
    ),
  );
}

t.test('a cold server is not flooded by a fleet of gateways', t => {
  const doTest = (gatewayCount: number) => {
    t.test(`${gatewayCount} gateways`, t => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const sentAtMs = simulate(gatewayCount, seed);
        const most = getMostInASecond(sentAtMs);
        t.ok(most <= MAX_IN_A_SECOND, `seed ${seed}: ${most} in a second`);
        const sustained = (SUSTAINED_PER_SECOND * COLD_MS) / 1_000;
        t.ok(sentAtMs.length >= sustained / 2, `seed ${seed}: ${sentAtMs.length} in all`);
      }
      t.end();
    });
  };
  for (const gatewayCount of [1, 9, 30, 91, 300]) doTest(gatewayCount);
  t.end();
});

t.test('a gateway that does not know the fleet yet leaves cold servers to the others', t => {
  const gateway = createGateway('g1', ['g1'], 1, false);
  t.same(gateway.choose(ADMITTED, new Set(), 0), {kind: 'none', reason: 'cold'});
  t.end();
});
