/** Measures the latency of claims, the append rate of the log and the entries' CPU time. */
import {fork, type ChildProcess} from 'node:child_process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {build} from 'hdr-histogram-js';
import {LogClient, LogWriter, StreamFollower} from '../../src/log/index.js';
import {ClaimsFold} from '../../src/folds/index.js';
import type {Instance} from '../../src/blackboard/index.js';
import type {EntryResult} from './run-claim-entry.js';

/** Load of one measurement. */
export interface ClaimLoad {
  readonly logUrl: string;
  readonly entryCount: number;
  /** Total over all entries. */
  readonly bookingsPerSecond: number;
  readonly durationMs: number;
}

/** Result of one measurement. */
export interface ClaimMeasurement {
  readonly bookings: number;
  /** Bookings whose claim was granted. */
  readonly granted: number;
  /** Bookings whose outcome was recorded in the log. */
  readonly recorded: number;
  readonly claimP50Ms: number;
  readonly claimP95Ms: number;
  readonly claimP99Ms: number;
  /** Appends per second that the log accepted. */
  readonly appendsPerSecond: number;
  /** CPU time of the busiest entry, in percent of one core. */
  readonly maxProcessorPercent: number;
  /** Mean CPU time of an entry, in percent of one core. */
  readonly meanProcessorPercent: number;
}

const TICK_MS = 5;
const MS_PER_SECOND = 1_000;
const ENTRY_PROGRAM = fileURLToPath(new URL('run-claim-entry.js', import.meta.url));
const HISTOGRAM_UNITS_PER_MS = 10;
const READ_TIMEOUT_MS = 2_000;

/**
 * Returns the median time in milliseconds from proposing a record until it is read back from an idle log.
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

/** Claims and records bookings at a fixed rate, with each entry in its own process. */
export async function measureClaims(load: ClaimLoad): Promise<ClaimMeasurement> {
  const {logUrl, entryCount, bookingsPerSecond, durationMs} = load;
  const runId = `${Date.now()}`;
  const processes = Array.from({length: entryCount}, (empty, index) =>
    fork(ENTRY_PROGRAM, [`${runId}-${index}`, logUrl]),
  );
  const instances = await Promise.all(processes.map(child => receiveMessage<Instance>(child)));
  const appendsBefore = await countAppends(logUrl);
  const share = {instances, bookingsPerSecond: bookingsPerSecond / entryCount, durationMs};
  const results = await Promise.all(
    processes.map(child => {
      child.send(share);
      return receiveMessage<EntryResult>(child);
    }),
  );
  const appends = (await countAppends(logUrl)) - appendsBefore;
  processes.forEach(child => child.disconnect());
  return {
    ...summarizeBookings(results),
    appendsPerSecond: Math.round((appends * MS_PER_SECOND) / durationMs),
    ...summarizeProcessorTime(results, durationMs),
  };
}

function summarizeProcessorTime(results: readonly EntryResult[], durationMs: number) {
  const percents = results.map(({processorMs}) => (processorMs * 100) / durationMs);
  const sum = percents.reduce((total, percent) => total + percent, 0);
  return {
    maxProcessorPercent: Math.round(Math.max(...percents)),
    meanProcessorPercent: Math.round(sum / percents.length),
  };
}

function summarizeBookings(results: readonly EntryResult[]) {
  const histogram = build();
  const timesMs = results.flatMap(({claimTimesMs}) => claimTimesMs);
  timesMs.forEach(timeMs => histogram.recordValue(Math.round(timeMs * HISTOGRAM_UNITS_PER_MS)));
  const getMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
  return {
    bookings: timesMs.length,
    granted: results.reduce((sum, {granted}) => sum + granted, 0),
    recorded: results.reduce((sum, {recorded}) => sum + recorded, 0),
    claimP50Ms: getMs(50),
    claimP95Ms: getMs(95),
    claimP99Ms: getMs(99),
  };
}

function receiveMessage<Message>(child: ChildProcess): Promise<Message> {
  return new Promise(resolve => child.once('message', message => resolve(message as Message)));
}

async function countAppends(logUrl: string): Promise<number> {
  const response = await fetch(`${logUrl}/standin/ledger`);
  const {appends} = (await response.json()) as {readonly appends: number};
  return appends;
}
