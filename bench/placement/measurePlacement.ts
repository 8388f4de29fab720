/** CPU time of placement decisions, by number of servers. */
import {ServerCatalog} from '../../src/catalog/index.js';
import {
  ServerHealth,
  ServerLoads,
  ServerPauses,
  ServerSpeeds,
  choosePlacement,
  type ServerLoad,
} from '../../src/controllers/placement/index.js';
import {createSeededRandom, getTextKey} from '../../src/utils/index.js';
import {SERVICE, createEngineServer} from './createEngineServer.js';
import {createRequest} from './RequestMix.js';

const SEED = 1;
/** Groups of gateways and single gateways whose reports a gateway adds up. */
const PEER_SOURCES = 20;
const FACTORS = [0.7, 1, 1.75];
const NO_DOMAINS: ReadonlySet<string> = new Set();

/** Options of a measurement. */
export interface PlacementMeasurement {
  readonly servers: number;
  readonly decisions: number;
  /** Whether the servers report work factors. */
  readonly hasFactors: boolean;
}

/** Returns the mean CPU time of a decision in microseconds, including the lookup of the service's servers. */
export function measurePlacement({servers, decisions, hasFactors}: PlacementMeasurement): number {
  const random = createSeededRandom(SEED);
  const catalog = new ServerCatalog();
  const loads = new ServerLoads();
  const speeds = new ServerSpeeds(id => catalog.getServer(id) !== undefined);
  const health = new ServerHealth();
  const pauses = new ServerPauses();
  const nowMs = 1_000;
  for (let index = 0; index < servers; index += 1) {
    catalog.applyEntry(createEngineServer(`server-${index}`).entry, 0);
  }
  const entries = catalog.getServers().map(({entry}) => entry);
  for (let source = 0; source < PEER_SOURCES; source += 1) {
    const report = new Map<number, ServerLoad>(
      entries.map(({id}) => [getTextKey(id), {openRequests: 1, pendingPromptTokens: 100}]),
    );
    loads.applyPeerReport(`peer-${source}`, report, nowMs);
  }
  if (hasFactors) {
    entries.forEach((entry, index) =>
      speeds.addReport(entry, FACTORS[index % FACTORS.length], nowMs),
    );
  }
  const requests = Array.from({length: 1_000}, () => createRequest(random, true));
  const decide = (index: number) =>
    choosePlacement(
      {
        servers: catalog.getAvailableServers(SERVICE, NO_DOMAINS),
        getLoad: id => loads.getLoad(id, nowMs),
        getFailureRate: id => health.getFailureRate(id, nowMs),
        getPauseMs: ({entry}) => pauses.getRemainingMs(entry, nowMs),
        isInBackoff: id => health.isInBackoff(id, nowMs),
        hasColdCapacity: ({coldUntilMs}) => coldUntilMs <= nowMs,
        hasLimitCapacity: () => true,
        speeds: speeds.getView(SERVICE, nowMs),
      },
      {
        promptParts: requests[index % requests.length].promptParts,
        attemptedServerIds: new Set(),
        targets: {latencyTargetMs: 500, shortestTargetMs: 500, shortestPauseMs: 500},
      },
      random,
    );
  for (let index = 0; index < decisions / 2; index += 1) decide(index);
  const before = process.cpuUsage();
  for (let index = 0; index < decisions; index += 1) decide(index);
  const {user, system} = process.cpuUsage(before);
  return (user + system) / decisions;
}
