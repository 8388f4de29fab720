/** Simulates, in virtual time, several entries that each run a copy of one possibly poisonous request. */
import type {Incident} from '../../src/blackboard/index.js';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../../src/controllers/quarantine/index.js';

/** Options of a `CopiesSimulation`. */
export interface CopiesSimulationOptions {
  /** Virtual time in milliseconds at which each entry receives its copy. */
  readonly sentAtMs: readonly number[];
  /** Delay in milliseconds until an entry's incident report reaches the other entries. */
  readonly reportDelayMs: number;
  /** Time in milliseconds that a copy takes if nothing stops it. */
  readonly durationMs: number;
  /** Time in milliseconds after which a copy crashes its server; undefined for a harmless request. */
  readonly crashAfterMs?: number;
  /** Virtual time at which the first copy's server crashes for another reason; undefined for never. */
  readonly unrelatedCrashAtMs?: number;
  /** Whether the caller whose copy runs on the first server to crash disconnects then. */
  readonly firstCallerLeaves?: boolean;
}

interface Copy {
  readonly entry: number;
  readonly sentAtMs: number;
  running?: {readonly instanceId: string; readonly startedAtMs: number};
  end?: 'answered' | 'refused' | 'left';
}

interface Report {
  readonly from: number;
  readonly arrivesAtMs: number;
  readonly incidents: readonly Incident[];
}

const STEP_MS = 5;
const DURATION_LIMIT_MS = 60_000;
const FINGERPRINT = 'copied';

/** Runs one copy at each entry against real quarantine ledgers that exchange incident reports. */
export class CopiesSimulation {
  private readonly options: CopiesSimulationOptions;
  private readonly ledgers: readonly QuarantineLedger[];
  private readonly copies: readonly Copy[];
  private reports: readonly Report[] = [];
  private startedServers = 0;
  private crashTimesMs: readonly number[] = [];
  private hasUnrelatedCrash = false;
  private hasServerCrashed = false;

  constructor(options: CopiesSimulationOptions) {
    this.options = options;
    this.ledgers = options.sentAtMs.map(
      (unused, entry) =>
        new QuarantineLedger({
          ...DEFAULT_QUARANTINE,
          ownInstanceId: `entry-${entry}`,
          getRank: () => entry,
        }),
    );
    this.copies = options.sentAtMs.map((sentAtMs, entry) => ({entry, sentAtMs}));
  }

  /** Runs until all copies have ended, at most 60 s of virtual time. */
  run(): void {
    for (let nowMs = 0; nowMs < DURATION_LIMIT_MS; nowMs += STEP_MS) {
      this.deliverReports(nowMs);
      for (const copy of this.copies) this.step(copy, nowMs);
      if (this.copies.every(({end}) => end !== undefined)) return;
    }
  }

  /** Returns the virtual times in milliseconds at which the request crashed servers. */
  getCrashes(): readonly number[] {
    return this.crashTimesMs;
  }

  /** Returns how each copy ended; undefined if it has not. */
  getEnds(): ReadonlyArray<Copy['end']> {
    return this.copies.map(({end}) => end);
  }

  private step(copy: Copy, nowMs: number): void {
    if (copy.end !== undefined || copy.sentAtMs > nowMs) return;
    if (copy.running) this.stepRunning(copy, copy.running, nowMs);
    else this.stepWaiting(copy, nowMs);
  }

  private stepRunning(
    copy: Copy,
    {startedAtMs, instanceId}: NonNullable<Copy['running']>,
    nowMs: number,
  ): void {
    const {crashAfterMs, durationMs, unrelatedCrashAtMs = Infinity} = this.options;
    const ledger = this.ledgers[copy.entry];
    if (crashAfterMs !== undefined && nowMs - startedAtMs >= crashAfterMs) {
      this.crashTimesMs = [...this.crashTimesMs, nowMs];
      this.crashServer(copy, instanceId, nowMs);
    } else if (copy.entry === 0 && !this.hasUnrelatedCrash && nowMs >= unrelatedCrashAtMs) {
      this.hasUnrelatedCrash = true;
      this.crashServer(copy, instanceId, nowMs);
    } else if (nowMs - startedAtMs >= durationMs) {
      copy.end = 'answered';
      this.sendReport(copy.entry, ledger.removeAttempt(instanceId, true, nowMs), nowMs);
    }
  }

  private stepWaiting(copy: Copy, nowMs: number): void {
    const ledger = this.ledgers[copy.entry];
    const {kind} = ledger.decide(FINGERPRINT, nowMs);
    if (kind === 'refused') copy.end = 'refused';
    if (kind !== 'run' && kind !== 'run-watched') return;
    this.startedServers += 1;
    const instanceId = `server-${this.startedServers}`;
    copy.running = {instanceId, startedAtMs: nowMs};
    const attempt = {attemptId: instanceId, fingerprint: FINGERPRINT, service: 's', instanceId};
    ledger.addAttempt(attempt);
  }

  private crashServer(copy: Copy, instanceId: string, atMs: number): void {
    copy.running = undefined;
    const crash = {instanceId, failureDomain: instanceId, atMs};
    const hasLeft = this.options.firstCallerLeaves === true && !this.hasServerCrashed;
    if (hasLeft) copy.end = 'left';
    this.hasServerCrashed = true;
    this.sendReport(copy.entry, this.ledgers[copy.entry].addCrash(crash), atMs);
  }

  private sendReport(from: number, incidents: readonly Incident[], nowMs: number): void {
    const arrivesAtMs = nowMs + this.options.reportDelayMs;
    if (incidents.length > 0) this.reports = [...this.reports, {from, arrivesAtMs, incidents}];
  }

  private deliverReports(nowMs: number): void {
    const arrived = this.reports.filter(({arrivesAtMs}) => arrivesAtMs <= nowMs);
    this.reports = this.reports.filter(({arrivesAtMs}) => arrivesAtMs > nowMs);
    for (const {from, incidents} of arrived) {
      this.ledgers.forEach((ledger, entry) => {
        if (entry === from) return;
        for (const incident of incidents) ledger.addIncident(incident, nowMs);
      });
    }
    this.copies.forEach(copy => this.stopIfRequested(copy, nowMs));
  }

  private stopIfRequested(copy: Copy, nowMs: number): void {
    const ledger = this.ledgers[copy.entry];
    const stopped = ledger.getAttemptsToStop(nowMs);
    if (!copy.running || !stopped.includes(copy.running.instanceId)) return;
    ledger.removeAttempt(copy.running.instanceId, false, nowMs);
    copy.running = undefined;
  }
}
