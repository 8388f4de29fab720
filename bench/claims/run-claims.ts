/** Measures claims and crash detection against a log service: `node run-claims.js LOG_URL [claims|detection]`; both by default. */
import {measureClaims, measureRoundTrip} from './measureClaims.js';
import {measureDetection} from './measureDetection.js';

const DURATION_MS = 8_000;
const DETECTION_COUNTS = [3, 9];
/** Nine entries append their own claims; with twelve, claims go through aggregators. */
const CLAIM_LOADS = [
  {entryCount: 9, bookingsPerSecond: 5},
  {entryCount: 9, bookingsPerSecond: 50},
  {entryCount: 9, bookingsPerSecond: 200},
  {entryCount: 9, bookingsPerSecond: 400},
  {entryCount: 12, bookingsPerSecond: 50},
  {entryCount: 12, bookingsPerSecond: 200},
  {entryCount: 12, bookingsPerSecond: 400},
  {entryCount: 12, bookingsPerSecond: 800},
];
const ROUND_TRIP_SAMPLES = 200;
const DETECTION_RUNS = 8;

const [logUrl, measured] = process.argv.slice(2);

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function runClaims(): Promise<void> {
  print({roundTripP50Ms: await measureRoundTrip(logUrl, ROUND_TRIP_SAMPLES)});
  for (const {entryCount, bookingsPerSecond} of CLAIM_LOADS) {
    const load = {logUrl, entryCount, bookingsPerSecond, durationMs: DURATION_MS};
    print({entryCount, bookingsPerSecond, ...(await measureClaims(load))});
  }
}

async function runDetection(): Promise<void> {
  for (const entryCount of DETECTION_COUNTS) {
    const timesMs: number[] = [];
    for (let run = 0; run < DETECTION_RUNS; run++) {
      timesMs.push(await measureDetection(logUrl, entryCount));
    }
    print({entryCount, detectionMs: timesMs.sort((a, b) => a - b)});
  }
}

if (measured !== 'detection') await runClaims();
if (measured !== 'claims') await runDetection();
