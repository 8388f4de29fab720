/** Runs the measurements of claims and membership: `node run-claims.js LOG_URL claims|detection`. */
import {measureClaims, measureRoundTrip} from './measureClaims.js';
import {measureDetection} from './measureDetection.js';

const ENTRY_COUNT = 9;
const DURATION_MS = 8_000;
const RATES = [50, 200, 400];
const ROUND_TRIP_SAMPLES = 200;
const DETECTION_RUNS = 8;

const [logUrl, measured] = process.argv.slice(2);

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function runClaims(): Promise<void> {
  print({roundTripP50Ms: await measureRoundTrip(logUrl, ROUND_TRIP_SAMPLES)});
  for (const isGathering of [true, false]) {
    for (const bookingsPerSecond of RATES) {
      const load = {logUrl, entryCount: ENTRY_COUNT, durationMs: DURATION_MS};
      const result = await measureClaims({...load, bookingsPerSecond, isGathering});
      print({isGathering, bookingsPerSecond, ...result});
    }
  }
}

async function runDetection(): Promise<void> {
  for (const entryCount of [3, ENTRY_COUNT]) {
    const timesMs: number[] = [];
    for (let run = 0; run < DETECTION_RUNS; run++) {
      timesMs.push(await measureDetection(logUrl, entryCount));
    }
    print({entryCount, detectionMs: timesMs.sort((a, b) => a - b)});
  }
}

if (measured !== 'detection') await runClaims();
if (measured !== 'claims') await runDetection();
