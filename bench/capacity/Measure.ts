/** Measures CPU time and heap use of code within this process. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const BATCHES = 7;
const BUILDS = 7;
const WARM_UP_BUILDS = 3;
const MIN_BATCH_MICROS = 20_000;
const MAX_REPEATS = 1_000_000;
const WARM_UP_MICROS = 200_000;

/** References the measured state so that it is not garbage-collected before the heap is read. */
let measuredState: unknown;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Returns the CPU time of one call in microseconds, as the median of 7 batches of at least 20 ms (or 1,000,000 calls) each.
 * @param act - Synchronous function to measure.
 */
export function measureCpuMicros(act: () => void): number {
  warmUp(act);
  let repeats = 1;
  while (repeats < MAX_REPEATS && measureBatchMicros(act, repeats) < MIN_BATCH_MICROS) repeats *= 2;
  const batches = Array.from({length: BATCHES}, () => measureBatchMicros(act, repeats) / repeats);
  return getMedian(batches);
}

/**
 * Returns the heap use of a state in bytes, as the median of 7 builds after 3 warm-up builds.
 * @param build - Builds a new state; its return value is kept until the heap has been measured.
 */
export function measureHeapBytes(build: () => unknown): number {
  for (let count = 0; count < WARM_UP_BUILDS; count++) measureBuildBytes(build);
  return getMedian(Array.from({length: BUILDS}, () => measureBuildBytes(build)));
}

function measureBuildBytes(build: () => unknown): number {
  measuredState = undefined;
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  measuredState = build();
  collectGarbage();
  return process.memoryUsage().heapUsed - before;
}

/** Runs the function for 200 ms of CPU time, so that the JIT compiler optimises it before the measurement. */
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

/** Returns the measured state; exported only so that the assignment counts as used. */
export function getMeasuredState(): unknown {
  return measuredState;
}
