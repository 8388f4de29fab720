/** Retries that the gateways of a fleet allow together when there are few first attempts. */
import t from 'tap';
import {BufferBudget} from '../../src/utils/index.js';
import {Catalog} from '../../src/catalog/index.js';
import {UsageLedger} from '../../src/controllers/duties/index.js';
import {PromptRates} from '../../src/controllers/fleetSize/index.js';
import {FleetEvidence} from '../../src/controllers/moves/index.js';
import {ServerLoads} from '../../src/controllers/placement/index.js';
import {GatewayRunServices} from '../../src/gateway/GatewayRunServices.js';
import {RolloutGate} from '../../src/gateway/RolloutGate.js';
import {silentEvents} from '../../src/logging/index.js';
import {
  createQuarantine,
  createReachability,
  createServerLimits,
  createSettings,
} from './gatewayFixtures.js';

const GATEWAYS = 30;
const RETRY_SLACK = 200;
/** Time until a gateway that has just started knows the others. */
const DISCOVERY_MS = 2_000;
const ATTEMPTS = 1_000;

t.test('gateways that start together do not multiply the retry slack', t => {
  const fleet = Array.from({length: GATEWAYS}, (_, index) => `g${index}`);
  let retries = 0;
  for (const id of fleet) {
    const services = new GatewayRunServices({
      settings: createSettings({id, retrySlack: RETRY_SLACK}),
      catalog: new Catalog(),
      loads: new ServerLoads(),
      promptRates: new PromptRates(),
      usageLedger: new UsageLedger(5),
      responseBuffers: new BufferBudget(Infinity),
      events: silentEvents,
      quarantine: createQuarantine(id),
      serverLimits: createServerLimits(id),
      rollouts: new RolloutGate({catalog: new Catalog(), events: silentEvents}),
      evidence: new FleetEvidence(),
      reachability: createReachability(),
      recheck: () => undefined,
      onServerLeaving: () => undefined,
      getGatewayIds: nowMs => (nowMs < DISCOVERY_MS ? [id] : fleet),
      isFleetKnown: nowMs => nowMs >= DISCOVERY_MS,
      getNowMs: () => 0,
      getWallMs: () => 0,
      random: () => 0,
    });
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const nowMs = attempt * 4;
      if (services.consumeRetry('app', nowMs)) retries += 1;
    }
  }
  t.ok(retries <= RETRY_SLACK, `${retries} retries`);
  t.ok(retries > 0);
  t.end();
});
