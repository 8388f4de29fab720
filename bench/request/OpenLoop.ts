/** Open-loop load generator: the call rate does not depend on how fast responses arrive. */
import {setTimeout as sleep} from 'node:timers/promises';

/** Options of `runOpenLoop`. */
export interface OpenLoopOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Makes one call; `number` counts from 0. A rejection counts as a failed call. */
  readonly call: (number: number) => Promise<void>;
}

const MS_PER_SECOND = 1_000;

/**
 * Starts calls at a fixed rate and waits until all have ended.
 * @returns Number of failed calls.
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<number> {
  const {ratePerSecond, durationMs, call} = options;
  const total = Math.floor((ratePerSecond * durationMs) / MS_PER_SECOND);
  const startMs = performance.now();
  const calls: Array<Promise<void>> = [];
  let failed = 0;
  for (let number = 0; number < total; number += 1) {
    const dueMs = startMs + (number / ratePerSecond) * MS_PER_SECOND;
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    calls.push(call(number).catch(() => void (failed += 1)));
  }
  await Promise.all(calls);
  return failed;
}
