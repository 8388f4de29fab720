/** Sends calls at a rate that doesn't depend on the answers. */
import {setTimeout as sleep} from 'node:timers/promises';

/** Options of an open loop. */
export interface OpenLoopOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Makes one call; its number starts at 0. */
  readonly call: (number: number) => Promise<void>;
}

const MS_PER_SECOND = 1_000;

/**
 * Runs the loop and waits for all answers.
 * @param options - Rate, duration and call.
 * @returns Calls that failed.
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<number> {
  const {ratePerSecond, durationMs, call} = options;
  const total = Math.floor((ratePerSecond * durationMs) / MS_PER_SECOND);
  const startMs = performance.now();
  const open: Array<Promise<void>> = [];
  let failed = 0;
  for (let number = 0; number < total; number += 1) {
    const dueMs = startMs + (number / ratePerSecond) * MS_PER_SECOND;
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    open.push(call(number).catch(() => void (failed += 1)));
  }
  await Promise.all(open);
  return failed;
}
