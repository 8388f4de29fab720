/** Measures how long the membership protocol takes to detect a crashed entry. */
import {setTimeout as wait} from 'node:timers/promises';
import {BenchEntry} from './BenchEntry.js';

const JOIN_MS = 3_000;
const POLL_MS = 10;
const MAX_WAIT_MS = 30_000;

/**
 * Returns the time in milliseconds from a crash until every remaining entry has marked the crashed one dead, at most 30 s.
 * @param entryCount - Number of entries before the crash.
 */
export async function measureDetection(logUrl: string, entryCount: number): Promise<number> {
  const runId = `${Date.now()}`;
  const entries = Array.from(
    {length: entryCount},
    (empty, index) => new BenchEntry({instanceId: `${runId}-${index}`, logUrl}),
  );
  await Promise.all(entries.map(entry => entry.start()));
  const instances = entries.map(entry => entry.getInstance());
  entries.forEach(entry => entry.join(instances));
  await wait(JOIN_MS);
  const [victim, ...living] = entries;
  const {instanceId} = victim.getInstance();
  const startedAtMs = performance.now();
  const stopped = victim.stop();
  const hasDetectedCrash = ({blackboard}: BenchEntry) =>
    blackboard
      .getSection('peers')
      .members.some(member => member.instanceId === instanceId && member.state === 'dead');
  while (!living.every(hasDetectedCrash) && performance.now() - startedAtMs < MAX_WAIT_MS) {
    await wait(POLL_MS);
  }
  const elapsedMs = Math.round(performance.now() - startedAtMs);
  await stopped;
  await Promise.all(living.map(entry => entry.stop()));
  return elapsedMs;
}
