/** Measures CPU time and resident memory of idle entry processes by the number of backend servers. */
import {readdirSync, readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {Deployment, type BackendPlan, type DaemonPlan} from '../../scenarios/deployment/index.js';
import {LogClient} from '../../src/log/index.js';
import {publishAnswersFile} from '../../src/operator/index.js';
import type {Sample} from './LeastSquares.js';

/** Cost of an idle entry that watches a number of backend servers. */
export interface IdleEntry {
  readonly backendServers: number;
  /** CPU time in percent of one core. */
  readonly cpuPercent: number;
  readonly residentMb: number;
}

const SERVER_COUNTS = [2, 6, 12, 24];
const ENTRIES = 3;
const SETTLE_MS = 8_000;
const WINDOW_MS = 15_000;
const LOG_TIMEOUT_MS = 2_000;
const PUBLISH_TIMEOUT_MS = 10_000;
/** The kernel reports CPU time in ticks of 10 ms (USER_HZ). */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_000_000;
const MEASURED_ID = 'entry-1';

/** Measures each number of backend servers in a new deployment, one after another. */
export async function measureIdleEntries(): Promise<readonly IdleEntry[]> {
  const measured: IdleEntry[] = [];
  for (const count of SERVER_COUNTS) measured.push(await measureIdleEntry(count));
  return measured;
}

/** Returns CPU time by number of backend servers, as samples for `fitLine`. */
export function toCpuSamples(entries: readonly IdleEntry[]): readonly Sample[] {
  return entries.map(({backendServers, cpuPercent}) => ({
    itemCount: backendServers,
    value: cpuPercent,
  }));
}

async function measureIdleEntry(backendServers: number): Promise<IdleEntry> {
  const deployment = new Deployment({
    backends: planBackends(backendServers),
    daemons: planEntries(),
    deploymentKey: 'capacity-deployment-key',
  });
  try {
    await deployment.start();
    await publishExample(deployment);
    await sleep(SETTLE_MS);
    const pid = findPidOrThrow();
    const before = readTicks(pid);
    const startedAtMs = performance.now();
    await sleep(WINDOW_MS);
    const elapsedSeconds = (performance.now() - startedAtMs) / 1_000;
    const cpuPercent = (readTicks(pid) - before) / TICKS_PER_SECOND / (elapsedSeconds / 100);
    return {backendServers, cpuPercent, residentMb: readResidentMb(pid)};
  } finally {
    await deployment.stop();
  }
}

function planBackends(count: number): readonly BackendPlan[] {
  return Array.from({length: count}, (_, index) => ({
    instanceId: `booking-${index + 1}`,
    kind: 'plain',
    service: 'booking',
    version: 'v1',
    failureDomain: 'ostlandet-a',
  }));
}

function planEntries(): readonly DaemonPlan[] {
  return Array.from({length: ENTRIES}, (_, index) => ({
    instanceId: `entry-${index + 1}`,
    role: 'entry',
    failureDomain: 'ostlandet-a',
    flags: ['--log-level', 'warn'],
  }));
}

async function publishExample(deployment: Deployment): Promise<void> {
  const url = deployment.getPlatformUrlsOrThrow().log;
  const log = new LogClient({url, timeoutMs: LOG_TIMEOUT_MS});
  await publishAnswersFile({
    answersPath: 'examples/barnehageplass.answers.yaml',
    log,
    writer: 'capacity-bench',
    publishedBy: 'capacity-bench',
    getNowMs: Date.now,
    timeoutMs: PUBLISH_TIMEOUT_MS,
  });
  await log.close();
}

/** Returns the pid of the measured entry, which is a child of this process; throws if there is none. */
function findPidOrThrow(): number {
  const pids = readdirSync('/proc').filter(name => /^\d+$/.test(name));
  const found = pids.find(pid => isMeasuredChild(pid));
  if (found === undefined) throw new Error(`no child process of entry ${MEASURED_ID} found`);
  return Number(found);
}

function isMeasuredChild(pid: string): boolean {
  try {
    const [, parentPid] = readStat(pid).slice(2);
    const args = readFileSync(`/proc/${pid}/cmdline`, 'utf8').split('\0');
    return Number(parentPid) === process.pid && args.includes(MEASURED_ID);
  } catch {
    return false;
  }
}

function readTicks(pid: number): number {
  const fields = readStat(String(pid));
  return Number(fields[13]) + Number(fields[14]);
}

function readResidentMb(pid: number): number {
  return (Number(readStat(String(pid))[23]) * PAGE_BYTES) / BYTES_PER_MB;
}

/** Returns the fields of /proc/PID/stat, counted from 0; splitting works because the process name holds no spaces. */
function readStat(pid: string): readonly string[] {
  return readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
}
