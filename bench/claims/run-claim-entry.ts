/** Child process that runs one entry of a claim measurement: `node run-claim-entry.js INSTANCE LOG_URL`. */
import {setTimeout as wait} from 'node:timers/promises';
import type {Instance} from '../../src/blackboard/index.js';
import {BenchEntry} from './BenchEntry.js';

/** Load that the parent process sends to an entry. */
export interface EntryLoad {
  readonly instances: readonly Instance[];
  /** Rate of this entry alone. */
  readonly bookingsPerSecond: number;
  readonly durationMs: number;
}

/** Result that the entry sends to its parent process. */
export interface EntryResult {
  readonly granted: number;
  readonly recorded: number;
  /** Duration of each claim in milliseconds. */
  readonly claimTimesMs: readonly number[];
  /** CPU time of the process during the load, in milliseconds. */
  readonly processorMs: number;
}

const TICK_MS = 5;
const JOIN_MS = 1_500;
const SERVICE_TIME_MS = 5;
const MICROS_PER_MS = 1_000;
const RESPONSE = {status: 201, contentType: 'application/json', bodyBase64: 'e30='};

async function runLoad(entry: BenchEntry, load: EntryLoad): Promise<EntryResult> {
  const {instances, bookingsPerSecond, durationMs} = load;
  entry.join(instances);
  await wait(JOIN_MS);
  const prefix = entry.getInstance().instanceId;
  const claimTimesMs: number[] = [];
  let granted = 0;
  let recorded = 0;
  const book = async (number: number): Promise<void> => {
    const id = `${prefix}-${number}`;
    const key = {workspace: 'w', key: id, attemptId: id};
    const startedAtMs = performance.now();
    const {verdict} = await entry.claims.claim({...key, fingerprint: 'f'});
    claimTimesMs.push(performance.now() - startedAtMs);
    if (verdict !== 'granted') return;
    granted += 1;
    await wait(SERVICE_TIME_MS);
    if (await entry.claims.recordOutcome({...key, run: 'ran', answer: RESPONSE})) recorded += 1;
  };
  const bookings: Promise<void>[] = [];
  const usageAtStart = process.cpuUsage();
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < durationMs) {
    const dueBookings = ((performance.now() - startedAtMs) * bookingsPerSecond) / 1_000;
    while (bookings.length < dueBookings) bookings.push(book(bookings.length));
    await wait(TICK_MS);
  }
  await Promise.all(bookings);
  const {user, system} = process.cpuUsage(usageAtStart);
  return {granted, recorded, claimTimesMs, processorMs: (user + system) / MICROS_PER_MS};
}

const [instanceId, logUrl] = process.argv.slice(2);
const entry = new BenchEntry({instanceId, logUrl});
process.on('message', (message: EntryLoad) => {
  void runLoad(entry, message).then(result => process.send?.(result));
});
process.on('disconnect', () => process.exit());
await entry.start();
process.send?.(entry.getInstance());
