/** Planned stops of a gateway in calm, simulated: which requests are accepted, and which are still open at the end. */
import fc from 'fast-check';
import t from 'tap';
import {canEndBeforeStop} from '../../../src/controllers/drain/index.js';
import {RecentDurations, createSeededRandom} from '../../../src/utils/index.js';

interface SimulatedRoute {
  readonly name: string;
  readonly isStream: boolean;
  readonly requestsPerSecond: number;
  readonly medianMs: number;
  /** Standard deviation of the logarithm of the durations. */
  readonly spread: number;
  /** Longest duration that occurs. */
  readonly maxMs: number;
  readonly timeoutMs: number;
}

const ROUTES: readonly SimulatedRoute[] = [
  {
    name: 'letter',
    isStream: true,
    requestsPerSecond: 3,
    medianMs: 1_400,
    spread: 0.5,
    maxMs: 5_000,
    timeoutMs: 15_000,
  },
  {
    name: 'chat',
    isStream: true,
    requestsPerSecond: 3,
    medianMs: 900,
    spread: 0.7,
    maxMs: 4_500,
    timeoutMs: 12_000,
  },
  {
    name: 'triage',
    isStream: false,
    requestsPerSecond: 4,
    medianMs: 160,
    spread: 0.9,
    maxMs: 1_200,
    timeoutMs: 3_000,
  },
  {
    name: 'booking',
    isStream: false,
    requestsPerSecond: 3,
    medianMs: 86,
    spread: 0.5,
    maxMs: 600,
    timeoutMs: 4_000,
  },
];
const STOPS = 1_000;
const SEED = 20_261_205;
/** Time for which requests are observed before the stop. */
const OBSERVED_MS = 60_000;
/** Callers that cached the directory's response keep on sending this long. */
const LATE_CALLERS_MS = 15_000;
const STOPS_AFTER_MS = 7_200;

interface StopResult {
  accepted: number;
  refused: number;
  /** Accepted requests that were still open when the gateway stopped. */
  cut: number;
}

function getDurationMs({medianMs, spread, maxMs}: SimulatedRoute, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.min(maxMs, medianMs * Math.exp(spread * normal));
}

/** Calls back for each request of a route in a span of time, at random moments. */
function forEachArrival(
  route: SimulatedRoute,
  spanMs: number,
  random: () => number,
  onArrival: (atMs: number) => void,
): void {
  const count = Math.round((route.requestsPerSecond * spanMs) / 1_000);
  for (let index = 0; index < count; index += 1) onArrival(random() * spanMs);
}

function simulateStop(seed: number, result: StopResult): void {
  const random = createSeededRandom(seed);
  const durations = new RecentDurations();
  for (const route of ROUTES) {
    forEachArrival(route, OBSERVED_MS, random, () =>
      durations.addDuration(route.name, getDurationMs(route, random), 0),
    );
    forEachArrival(route, LATE_CALLERS_MS, random, atMs => {
      const view = {
        stopBeganAtMs: 0,
        stopsAtMs: STOPS_AFTER_MS,
        isStream: route.isStream,
        longestExpectedMs: durations.getLongestExpectedMs(route.name, 0),
        maxWaitMs: route.timeoutMs,
      };
      if (!canEndBeforeStop(view, atMs)) {
        result.refused += 1;
        return;
      }
      result.accepted += 1;
      if (atMs + getDurationMs(route, random) > STOPS_AFTER_MS) result.cut += 1;
    });
  }
}

t.test(`no accepted request is open at the end of ${STOPS} planned stops`, async t => {
  const result: StopResult = {accepted: 0, refused: 0, cut: 0};
  for (let seed = 1; seed <= STOPS; seed += 1) simulateStop(seed, result);
  t.equal(result.cut, 0, JSON.stringify(result));
  t.ok(
    result.accepted > result.refused / 4,
    `requests are still accepted: ${JSON.stringify(result)}`,
  );
});

t.test('canEndBeforeStop', async t => {
  const view = {
    stopBeganAtMs: 0,
    stopsAtMs: 7_000,
    isStream: false,
    longestExpectedMs: 2_000,
    maxWaitMs: 10_000,
  };
  t.equal(canEndBeforeStop(view, 5_000), true, 'a request that ends in time is accepted');
  t.equal(canEndBeforeStop(view, 5_001), false, 'a request that may last longer is refused');
  t.equal(
    canEndBeforeStop({...view, maxWaitMs: 500}, 6_500),
    true,
    'a request with a short deadline is accepted',
  );
  t.equal(
    canEndBeforeStop({...view, longestExpectedMs: undefined}, 0),
    false,
    'without observations the deadline decides',
  );
  const stream = {...view, isStream: true};
  t.equal(canEndBeforeStop(stream, 2_499), true, 'an early stream is accepted by prediction');
  t.equal(canEndBeforeStop(stream, 2_500), false, 'a late stream may last longer than predicted');
  t.equal(
    canEndBeforeStop({...stream, maxWaitMs: 2_000}, 5_000),
    true,
    'a late stream that must end in time is accepted',
  );
});

// A stream many times as long as the last ones of its route was accepted late in a stop, and cut at its end.
t.test('a stream accepted late in a stop ends before it, however long it lasts', async () => {
  const arrival = fc.record({
    atMs: fc.integer({min: 2_500, max: STOPS_AFTER_MS}),
    maxWaitMs: fc.integer({min: 1, max: 15_000}),
    longestExpectedMs: fc.option(fc.integer({min: 1, max: 15_000}), {nil: undefined}),
  });
  fc.assert(
    fc.property(arrival, ({atMs, maxWaitMs, longestExpectedMs}) => {
      const stop = {stopBeganAtMs: 0, stopsAtMs: STOPS_AFTER_MS, isStream: true};
      const isAccepted = canEndBeforeStop({...stop, maxWaitMs, longestExpectedMs}, atMs);
      return !isAccepted || atMs + maxWaitMs <= STOPS_AFTER_MS;
    }),
    {seed: SEED},
  );
});
