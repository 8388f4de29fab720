/** A world in virtual time in which copies of one request run at several entries. */
import type {Incident} from '../../src/blackboard/index.js';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../../src/controllers/quarantine/index.js';

/** Options of a `CopiesWorld`. */
export interface CopiesWorldOptions {
  /** Instant at which each entry gets its copy. */
  readonly sentAtMs: readonly number[];
  /** Time from an entry's report to its arrival at the others. */
  readonly reportMs: number;
  /** Time for which a copy runs where nothing stops it. */
  readonly durationMs: number;
  /** Time after which a copy crashes its server; absent for a harmless request. */
  readonly crashAfterMs?: number;
  /** Instant at which the first copy's server dies by itself; absent for never. */
  readonly deathAtMs?: number;
  /** Whether a caller goes away where the first server dies under its copy. */
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
const LATEST_MS = 60_000;
const FINGERPRINT = 'copied';

/** Runs a copy at each entry until all have ended. */
export class CopiesWorld {
  private readonly options: CopiesWorldOptions;
  private readonly ledgers: readonly QuarantineLedger[];
  private readonly copies: readonly Copy[];
  private reports: readonly Report[] = [];
  private servers = 0;
  private crashes: readonly number[] = [];
  private hasDied = false;
  private hasLeft = false;

  constructor(options: CopiesWorldOptions) {
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

  /** Runs the world to its end. */
  run(): void {
    for (let nowMs = 0; nowMs < LATEST_MS; nowMs += STEP_MS) {
      this.deliver(nowMs);
      for (const copy of this.copies) this.step(copy, nowMs);
      if (this.copies.every(({end}) => end !== undefined)) return;
    }
  }

  /** Returns the instants at which the request crashed servers. */
  getCrashes(): readonly number[] {
    return this.crashes;
  }

  /** Returns how each copy ended; undefined where it didn't. */
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
    const {crashAfterMs, durationMs, deathAtMs = Infinity} = this.options;
    const ledger = this.ledgers[copy.entry];
    if (crashAfterMs !== undefined && nowMs - startedAtMs >= crashAfterMs) {
      this.crashes = [...this.crashes, nowMs];
      this.kill(copy, instanceId, nowMs);
    } else if (copy.entry === 0 && !this.hasDied && nowMs >= deathAtMs) {
      this.hasDied = true;
      this.kill(copy, instanceId, nowMs);
    } else if (nowMs - startedAtMs >= durationMs) {
      copy.end = 'answered';
      this.report(copy.entry, ledger.removeAttempt(instanceId, true, nowMs), nowMs);
    }
  }

  private stepWaiting(copy: Copy, nowMs: number): void {
    const ledger = this.ledgers[copy.entry];
    const {kind} = ledger.decide(FINGERPRINT, nowMs);
    if (kind === 'refused') copy.end = 'refused';
    if (kind !== 'run' && kind !== 'run-watched') return;
    this.servers += 1;
    const instanceId = `server-${this.servers}`;
    copy.running = {instanceId, startedAtMs: nowMs};
    const attempt = {attemptId: instanceId, fingerprint: FINGERPRINT, service: 's', instanceId};
    ledger.addAttempt(attempt);
  }

  private kill(copy: Copy, instanceId: string, atMs: number): void {
    copy.running = undefined;
    const crash = {instanceId, failureDomain: instanceId, atMs};
    const hasLeft = this.options.firstCallerLeaves === true && !this.hasLeft;
    if (hasLeft) copy.end = 'left';
    this.hasLeft = true;
    this.report(copy.entry, this.ledgers[copy.entry].addCrash(crash), atMs);
  }

  private report(from: number, incidents: readonly Incident[], nowMs: number): void {
    const arrivesAtMs = nowMs + this.options.reportMs;
    if (incidents.length > 0) this.reports = [...this.reports, {from, arrivesAtMs, incidents}];
  }

  private deliver(nowMs: number): void {
    const arrived = this.reports.filter(({arrivesAtMs}) => arrivesAtMs <= nowMs);
    this.reports = this.reports.filter(({arrivesAtMs}) => arrivesAtMs > nowMs);
    for (const {from, incidents} of arrived) {
      this.ledgers.forEach((ledger, entry) => {
        if (entry === from) return;
        for (const incident of incidents) ledger.addIncident(incident, nowMs);
      });
    }
    this.copies.forEach(copy => this.stop(copy, nowMs));
  }

  private stop(copy: Copy, nowMs: number): void {
    const ledger = this.ledgers[copy.entry];
    const stopped = ledger.getTriesToStop(nowMs);
    if (!copy.running || !stopped.includes(copy.running.instanceId)) return;
    ledger.removeAttempt(copy.running.instanceId, false, nowMs);
    copy.running = undefined;
  }
}
