/**
 * Simulates a service whose engines prefill at a speed that isn't known, in virtual time, with the number of servers that
 * `NeededServers` asks for. Returning servers by an assumed speed left slower engines with a multiple of their load.
 */
import t from 'tap';
import {NeededServers, getUsableShare} from '../../../src/controllers/fleetSize/NeededServers.js';
import {createSeededRandom} from '../../../src/utils/index.js';

interface SimulatedServer {
  /** Time from which it accepts requests. */
  readonly servesAtMs: number;
  /** Time until which it prefills the prompts that it has received. */
  busyUntilMs: number;
}

interface SpeedResult {
  /** Share of the requests whose first event was later than the target, after the observation of the load. */
  readonly lateShare: number;
  readonly meanServers: number;
}

const DOMAINS = 4;
const PROVIDED_SERVERS = 60;
const MAX_SERVERS = 120;
const PROMPT_TOKENS = 12_000;
const REQUESTS_PER_SECOND = 90;
const TARGET_MS = 1_000;
const FIRST_TOKEN_MS = 50;
const DECISION_MS = 400;
const STEP_MS = 10;
const BOOT_MS = 7_000;
const DAY_MS = 120_000;
const MEASURED_FROM_MS = 30_000;

function simulate(prefillTokensPerSecond: number, seed: number): SpeedResult {
  const random = createSeededRandom(seed);
  const need = new NeededServers();
  const prefillMs = (PROMPT_TOKENS / prefillTokensPerSecond) * 1_000;
  let servers: SimulatedServer[] = Array.from({length: PROVIDED_SERVERS}, () => ({
    servesAtMs: 0,
    busyUntilMs: 0,
  }));
  let waitingUntilMs: number[] = [];
  let requests = 0;
  let late = 0;
  let serverMs = 0;
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += STEP_MS) {
    const serving = servers.filter(({servesAtMs}) => servesAtMs <= nowMs);
    if (random() < (REQUESTS_PER_SECOND * STEP_MS) / 1_000) {
      // The less loaded one of two: gateways choose by loads that lag.
      const [one, other] = [1, 2].map(() => serving[Math.floor(random() * serving.length)]);
      const server = one.busyUntilMs < other.busyUntilMs ? one : other;
      server.busyUntilMs = Math.max(nowMs, server.busyUntilMs) + prefillMs;
      const firstEventAtMs = server.busyUntilMs + FIRST_TOKEN_MS;
      waitingUntilMs.push(firstEventAtMs);
      if (nowMs >= MEASURED_FROM_MS) {
        requests += 1;
        if (firstEventAtMs - nowMs > TARGET_MS) late += 1;
      }
    }
    waitingUntilMs = waitingUntilMs.filter(untilMs => untilMs > nowMs);
    serverMs += servers.length * STEP_MS;
    if (nowMs % DECISION_MS !== 0) continue;
    const {servers: neededServers} = need.update(
      {
        load: {
          openRequests: waitingUntilMs.length,
          pendingPromptTokens: waitingUntilMs.length * PROMPT_TOKENS,
          promptTokensPerSecond: REQUESTS_PER_SECOND * PROMPT_TOKENS,
        },
        slotsPerServer: 64,
        availableServers: serving.length,
        failureDomains: DOMAINS,
        latencyTargetMs: TARGET_MS,
      },
      nowMs,
    );
    const wanted = Math.min(MAX_SERVERS, Math.ceil(neededServers / getUsableShare(DOMAINS)));
    const missing = Math.max(0, wanted - servers.length);
    const added = Array.from({length: missing}, () => ({
      servesAtMs: nowMs + BOOT_MS,
      busyUntilMs: 0,
    }));
    servers = [...servers.slice(0, wanted), ...added];
  }
  return {lateShare: late / requests, meanServers: serverMs / DAY_MS};
}

t.test('NeededServers', async t => {
  for (const tokensPerSecond of [30_000, 56_600, 112_000]) {
    t.test(`engines that prefill ${tokensPerSecond} tokens/s keep up with their load`, async t => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const result = simulate(tokensPerSecond, seed);
        t.ok(result.lateShare <= 0.1, `seed ${seed}: ${JSON.stringify(result)}`);
      }
    });
  }
  t.test('servers that are not needed are returned', async t => {
    const {meanServers} = simulate(300_000, 1);
    t.ok(meanServers < 0.9 * PROVIDED_SERVERS, String(meanServers));
  });
});
