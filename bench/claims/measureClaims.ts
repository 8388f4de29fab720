/** Measures claims: time per booking and appends, with and without gathering. */
import {setTimeout as wait} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {LogClient, LogWriter, StreamFollower} from '../../src/log/index.js';
import {ClaimsFold} from '../../src/folds/index.js';
import {BenchEntry} from './BenchEntry.js';

/** What one measurement asks for. */
export interface ClaimLoad {
  readonly logUrl: string;
  readonly entryCount: number;
  readonly bookingsPerSecond: number;
  readonly durationMs: number;
  readonly isGathering: boolean;
}

/** What one measurement gave. */
export interface ClaimMeasurement {
  readonly bookings: number;
  readonly granted: number;
  readonly recorded: number;
  readonly claimP50Ms: number;
  readonly claimP95Ms: number;
  readonly claimP99Ms: number;
  /** Appends that the log took in a second, counted by the distance of batches in the stream. */
  readonly appendsPerSecond: number;
}

const TICK_MS = 5;
const JOIN_MS = 1_500;
const SERVICE_TIME_MS = 5;
const ANSWER = {status: 201, contentType: 'application/json', bodyBase64: 'e30='};
const UNITS_PER_MS = 10;
const READ_TIMEOUT_MS = 2_000;

/**
 * Returns the median time from a proposal to its reading back on an idle log.
 * @param logUrl - The log.
 * @param samples - Number of proposals.
 */
export async function measureRoundTrip(logUrl: string, samples: number): Promise<number> {
  const log = new LogClient({url: logUrl, timeoutMs: READ_TIMEOUT_MS});
  const stream = 'claims';
  const writer = new LogWriter({stream, log, writer: 'round-trip', timeoutMs: READ_TIMEOUT_MS});
  const getNowMs = () => Date.now();
  const follower = new StreamFollower({stream, log, getNowMs, writer, fold: new ClaimsFold()});
  follower.start();
  const timesMs: number[] = [];
  for (let sample = 0; sample < samples; sample++) {
    const startedAtMs = performance.now();
    const claim = {workspace: 'rt', key: `${sample}`, attemptId: `rt${sample}`};
    const rest = {claimant: 'round-trip', fingerprint: 'f'};
    await writer.propose({kind: 'claim-batch', claims: [{...claim, ...rest}]});
    timesMs.push(performance.now() - startedAtMs);
    await wait(TICK_MS);
  }
  await follower.stop();
  await log.close();
  return timesMs.sort((a, b) => a - b)[Math.floor(samples / 2)];
}

/** Claims and records bookings at a rate, each at a random entry. */
export async function measureClaims(load: ClaimLoad): Promise<ClaimMeasurement> {
  const {logUrl, entryCount, bookingsPerSecond, durationMs, isGathering} = load;
  const runId = `${Date.now()}`;
  const entries = Array.from(
    {length: entryCount},
    (empty, index) => new BenchEntry({instanceId: `${runId}-${index}`, logUrl, isGathering}),
  );
  await Promise.all(entries.map(entry => entry.start()));
  const instances = entries.map(entry => entry.getInstance());
  entries.forEach(entry => entry.join(instances));
  await wait(JOIN_MS);
  const appendsBefore = await countAppends(logUrl);
  const histogram = build();
  let granted = 0;
  let recorded = 0;
  const book = async (number: number): Promise<void> => {
    const {claims} = entries[Math.floor(Math.random() * entryCount)];
    const startedAtMs = performance.now();
    const key = {workspace: 'w', key: `${runId}-${number}`, attemptId: `${runId}-${number}`};
    const {verdict} = await claims.claim({...key, fingerprint: 'f'});
    histogram.recordValue(Math.round((performance.now() - startedAtMs) * UNITS_PER_MS));
    if (verdict !== 'granted') return;
    granted += 1;
    await wait(SERVICE_TIME_MS);
    if (await claims.recordOutcome({...key, run: 'ran', answer: ANSWER})) recorded += 1;
  };
  const open: Promise<void>[] = [];
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < durationMs) {
    const due = ((performance.now() - startedAtMs) * bookingsPerSecond) / 1_000;
    while (open.length < due) open.push(book(open.length));
    await wait(TICK_MS);
  }
  await Promise.all(open);
  const elapsedSeconds = (performance.now() - startedAtMs) / 1_000;
  const appends = (await countAppends(logUrl)) - appendsBefore;
  await Promise.all(entries.map(entry => entry.stop()));
  const getMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    bookings: open.length,
    granted,
    recorded,
    claimP50Ms: getMs(50),
    claimP95Ms: getMs(95),
    claimP99Ms: getMs(99),
    appendsPerSecond: Math.round(appends / elapsedSeconds),
  };
}

async function countAppends(logUrl: string): Promise<number> {
  const response = await fetch(`${logUrl}/standin/ledger`);
  const {appends} = (await response.json()) as {readonly appends: number};
  return appends;
}
