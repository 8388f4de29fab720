/** Processor time and resident memory of whole idle entries, as processes, against backend servers. */
import {readdirSync, readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {Deployment, type BackendPlan, type DaemonPlan} from '../../scenarios/deployment/index.js';
import {LogClient} from '../../src/log/index.js';
import {publishAnswersFile} from '../../src/operator/index.js';
import type {Sample} from './LeastSquares.js';

/** An idle entry at a number of backend servers. */
export interface IdleEntry {
  readonly backendServers: number;
  readonly cpuPercent: number;
  readonly residentMb: number;
}

const SERVER_COUNTS = [2, 6, 12, 24];
const ENTRIES = 3;
const SETTLE_MS = 8_000;
const WINDOW_MS = 15_000;
const LOG_TIMEOUT_MS = 2_000;
const PUBLISH_TIMEOUT_MS = 10_000;
/** The kernel counts processor time in hundredths of a second. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_000_000;
const MEASURED_ID = 'entry-1';

/** Measures at each number of backend servers, one deployment after the other. */
export async function measureIdleEntries(): Promise<readonly IdleEntry[]> {
  const measured: IdleEntry[] = [];
  for (const count of SERVER_COUNTS) measured.push(await measureIdleEntry(count));
  return measured;
}

/** Returns processor time by backend servers, for a fit. */
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

/** Finds the measured entry among this process's own children. */
function findPidOrThrow(): number {
  const pids = readdirSync('/proc').filter(name => /^\d+$/.test(name));
  const found = pids.find(pid => isMeasuredChild(pid));
  if (found === undefined) throw new Error(`no process of ${MEASURED_ID}`);
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

/** Fields as the kernel documents them, from 0; the name of the process holds no blanks here. */
function readStat(pid: string): readonly string[] {
  return readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ');
}
