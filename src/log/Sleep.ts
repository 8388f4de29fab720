/** Waiting as a function, so that tests run in virtual time. */
import {setTimeout as wait} from 'node:timers/promises';

/** Resolves after a time, or at once when the signal aborts; never rejects. */
export type Sleep = (durationMs: number, signal?: AbortSignal) => Promise<void>;

/** Waits by the system's timer. */
export const systemSleep: Sleep = async (durationMs, signal) => {
  await wait(durationMs, undefined, {signal}).catch(() => undefined);
};
