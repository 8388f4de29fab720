/** Delays as an injectable function, so that tests can run in virtual time. */
import {setTimeout as wait} from 'node:timers/promises';

/** Resolves after a delay, or as soon as the signal aborts; never rejects. */
export type Sleep = (durationMs: number, signal?: AbortSignal) => Promise<void>;

/** Sleeps by the system timer. */
export const systemSleep: Sleep = async (durationMs, signal) => {
  await wait(durationMs, undefined, {signal}).catch(() => undefined);
};
