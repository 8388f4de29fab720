/** Measures processor time and heap of a piece of work within this process. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const BATCHES = 7;
const BUILDS = 7;
const WARM_UP_BUILDS = 3;
const MIN_BATCH_MICROS = 20_000;
const MAX_REPEATS = 1_000_000;
const WARM_UP_MICROS = 200_000;

/** Keeps what is measured from being collected too early. */
let held: unknown;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Returns the processor time of one call in microseconds: the median of several batches, each long enough to be told apart.
 * @param act - The work; must not wait.
 */
export function measureCpuMicros(act: () => void): number {
  warmUp(act);
  let repeats = 1;
  while (repeats < MAX_REPEATS && measureBatchMicros(act, repeats) < MIN_BATCH_MICROS) repeats *= 2;
  const batches = Array.from({length: BATCHES}, () => measureBatchMicros(act, repeats) / repeats);
  return getMedian(batches);
}

/**
 * Returns the heap that a state holds in bytes: the median of several builds.
 * @param build - Builds the state from scratch.
 */
export function measureHeapBytes(build: () => unknown): number {
  for (let count = 0; count < WARM_UP_BUILDS; count++) measureOneBuild(build);
  return getMedian(Array.from({length: BUILDS}, () => measureOneBuild(build)));
}

function measureOneBuild(build: () => unknown): number {
  held = undefined;
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  held = build();
  collectGarbage();
  return process.memoryUsage().heapUsed - before;
}

/** Lets the compiler optimise the work before it is measured. */
function warmUp(act: () => void): void {
  const before = process.cpuUsage();
  do act();
  while (process.cpuUsage(before).user < WARM_UP_MICROS);
}

function measureBatchMicros(act: () => void, repeats: number): number {
  const before = process.cpuUsage();
  for (let count = 0; count < repeats; count++) act();
  const {user, system} = process.cpuUsage(before);
  return user + system;
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Returns what is held; read by nobody else, so that it stays. */
export function getHeld(): unknown {
  return held;
}
