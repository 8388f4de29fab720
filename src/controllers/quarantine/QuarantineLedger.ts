/** Detects poison requests, which crash the backend servers that run them, and limits each to two crashes. */
import type {Incident} from '../../blackboard/index.js';
import {CrashHistory, type CrashHistoryOptions, type ServerCrash} from './CrashHistory.js';

/** Options of a `QuarantineLedger`. */
export interface QuarantineLedgerOptions extends CrashHistoryOptions {
  readonly ownInstanceId: string;
  /** Time after which a suspicion expires. */
  readonly suspicionMs: number;
  /** Time after which a quarantine expires. */
  readonly quarantineMs: number;
  /** Time after a crash for the reports of other entries to arrive, before the suspect may run again. */
  readonly settleMs: number;
  /** Longest time after its crash for which a suspect waits for the end of a wave of crashes. */
  readonly maxWaveWaitMs: number;
  /** Time for which only the watching entry may run a suspect; then the others may, in the order of their ranks. */
  readonly takeoverDelayMs: number;
  /** Returns the rank of this entry for a request among the live entries, from 0. Undefined: the rank is always 0. */
  readonly getRank?: (fingerprint: string) => number;
  /** Returns whether an entry is alive; a stopped entry is no watcher. Undefined: all entries are considered alive. */
  readonly isAlive?: (entryInstanceId: string) => boolean;
}

/** Default times of the ledger. */
export const DEFAULT_QUARANTINE: Omit<
  QuarantineLedgerOptions,
  'ownInstanceId' | 'isAlive' | 'getRank'
> = {
  suspicionMs: 600_000,
  quarantineMs: 3_600_000,
  settleMs: 300,
  domainOutageWindowMs: 1_000,
  waveQuietMs: 1_000,
  maxWaveWaitMs: 5_000,
  avoidedDomainMs: 10_000,
  takeoverDelayMs: 1_000,
};

/** An attempt that is running at a backend server. */
export interface TrackedAttempt {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly service: string;
  readonly instanceId: string;
}

/** Whether and how an attempt of a request may be sent. */
export type QuarantineDecision =
  | {readonly kind: 'run'}
  /** The request is a suspect. It must run on a server without other suspects; no other entry runs it meanwhile. */
  | {
      readonly kind: 'run-watched';
      /** Backend servers that run other suspects. */
      readonly suspectInstanceIds: ReadonlySet<string>;
      /** Failure domains with recent crashes, to be used only if no other domain has capacity. */
      readonly avoidedDomains: ReadonlySet<string>;
    }
  /** The decision must be asked for again after the delay. */
  | {readonly kind: 'wait'; readonly delayMs: number}
  /** The request is quarantined. */
  | {readonly kind: 'refused'};

/** Crashes that a request is suspected of. */
interface Suspicion {
  readonly service: string;
  /** Times of the crashes, by reporter and time, so that a report that is received twice counts once. */
  readonly crashes: ReadonlyMap<string, number>;
  readonly expiresAtMs: number;
}

const CRASHES_TO_QUARANTINE = 2;
/** Interval at which an attempt polls for its decision while the suspect runs elsewhere. */
const WAIT_POLL_MS = 100;

/**
 * Tracks running attempts, crashes, suspects and quarantined requests.
 *
 * A request that ran on a crashed server becomes a suspect. A suspect runs on one server at a time over all entries:
 * its watcher, the entry that saw the first crash, runs it again. A complete response clears the suspect; a second
 * crash quarantines it. Crashes that are part of an outage of a failure domain don't count. Entries share their
 * findings as incidents.
 */
export class QuarantineLedger {
  private readonly options: QuarantineLedgerOptions;
  private readonly attempts = new Map<string, TrackedAttempt>();
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly quarantinedUntilMs = new Map<string, number>();
  private readonly crashHistory: CrashHistory;

  constructor(options: QuarantineLedgerOptions) {
    this.options = options;
    this.crashHistory = new CrashHistory(options);
  }

  /** Decides whether the next attempt of a request may be sent. */
  decide(fingerprint: string, nowMs: number): QuarantineDecision {
    if ((this.quarantinedUntilMs.get(fingerprint) ?? 0) > nowMs) return {kind: 'refused'};
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion || suspicion.expiresAtMs <= nowMs) return {kind: 'run'};
    const settledAtMs = this.getSettledAtMs(fingerprint, suspicion, nowMs);
    if (settledAtMs > nowMs) return {kind: 'wait', delayMs: settledAtMs - nowMs};
    if (!this.mayRunSuspect(fingerprint, suspicion, nowMs) || this.isRunning(fingerprint)) {
      return {kind: 'wait', delayMs: WAIT_POLL_MS};
    }
    return {
      kind: 'run-watched',
      suspectInstanceIds: this.getSuspectInstanceIds(nowMs),
      avoidedDomains: this.crashHistory.getAvoidedDomains(nowMs),
    };
  }

  /** Records an attempt that is sent. */
  addAttempt(attempt: TrackedAttempt): void {
    this.attempts.set(attempt.attemptId, attempt);
  }

  /**
   * Removes an attempt that ended without a crash.
   * @param isAnswered - Whether its response was complete; this clears a suspicion.
   * @returns Incidents to publish: the cleared suspicion, which expires at the time of its observation.
   */
  removeAttempt(attemptId: string, isAnswered: boolean, nowMs: number): readonly Incident[] {
    const attempt = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    if (!attempt || !isAnswered || !this.suspicions.has(attempt.fingerprint)) return [];
    this.suspicions.delete(attempt.fingerprint);
    return [this.createIncident('poison-suspect', attempt, nowMs, nowMs)];
  }

  /**
   * Records the crash of a backend server and removes the attempts that ran there.
   * @returns Incidents to publish before any of these requests is retried or gets a response.
   */
  addCrash(crash: ServerCrash): readonly Incident[] {
    const running = [...this.attempts.values()].filter(
      ({instanceId}) => instanceId === crash.instanceId,
    );
    for (const {attemptId} of running) this.attempts.delete(attemptId);
    this.crashHistory.recordCrash(crash, new Set(running.map(({fingerprint}) => fingerprint)));
    const attributable = running.filter(
      ({fingerprint}) => !this.crashHistory.isDomainOutage(crash, fingerprint),
    );
    const {ownInstanceId} = this.options;
    return attributable.map(attempt => {
      this.addSuspicion(attempt, ownInstanceId, crash.atMs, crash.atMs);
      const isQuarantined = this.quarantinedUntilMs.has(attempt.fingerprint);
      const kind = isQuarantined ? 'poison-quarantined' : 'poison-suspect';
      return this.createIncident(kind, attempt, crash.atMs, this.getExpiryMs(kind, crash.atMs));
    });
  }

  /**
   * Returns the running attempts that must be stopped: those of quarantined requests, and those of suspects that have
   * to wait or that another entry watches. Must be called after each crash and each report, since a copy of a poison
   * request that keeps running would crash its server too.
   * @returns Ids of the attempts.
   */
  getAttemptsToStop(nowMs: number): readonly string[] {
    return [...this.attempts.values()]
      .filter(({fingerprint}) => this.mustStop(fingerprint, nowMs))
      .map(({attemptId}) => attemptId);
  }

  /** Applies an incident from another entry or from the log; own incidents are ignored. */
  addIncident(incident: Incident, nowMs: number): void {
    const {kind, subject, service, reporter, observedAtMs, expiresAtMs} = incident;
    if (reporter === this.options.ownInstanceId) return;
    if (kind === 'poison-quarantined' && expiresAtMs > nowMs) {
      this.quarantinedUntilMs.set(subject, expiresAtMs);
    }
    if (kind !== 'poison-suspect') return;
    if (expiresAtMs <= observedAtMs) this.clearSuspicion(subject, observedAtMs);
    else this.addSuspicion({fingerprint: subject, service}, reporter, observedAtMs, nowMs);
  }

  /** Removes expired suspicions and quarantines. */
  removeExpired(nowMs: number): void {
    for (const [fingerprint, {expiresAtMs}] of this.suspicions) {
      if (expiresAtMs <= nowMs) this.suspicions.delete(fingerprint);
    }
    for (const [fingerprint, untilMs] of this.quarantinedUntilMs) {
      if (untilMs <= nowMs) this.quarantinedUntilMs.delete(fingerprint);
    }
  }

  private addSuspicion(
    {fingerprint, service}: Pick<TrackedAttempt, 'fingerprint' | 'service'>,
    reporter: string,
    observedAtMs: number,
    nowMs: number,
  ): void {
    const knownCrashes = this.suspicions.get(fingerprint)?.crashes ?? new Map<string, number>();
    const crashes = new Map(knownCrashes).set(`${reporter} ${observedAtMs}`, observedAtMs);
    const expiresAtMs = this.getExpiryMs('poison-suspect', nowMs);
    this.suspicions.set(fingerprint, {service, crashes, expiresAtMs});
    if (crashes.size < CRASHES_TO_QUARANTINE) return;
    this.quarantinedUntilMs.set(fingerprint, this.getExpiryMs('poison-quarantined', nowMs));
  }

  /**
   * Returns the time until which a suspect must wait. Reports of other entries may be in transit just after a crash,
   * and the next attempt must not run during a wave of crashes, which could hit it again.
   */
  private getSettledAtMs(fingerprint: string, {crashes}: Suspicion, nowMs: number): number {
    const {settleMs, waveQuietMs, maxWaveWaitMs} = this.options;
    const lastCrashAtMs = Math.max(...crashes.values());
    const unrelatedCrashAtMs = this.crashHistory.getLastUnrelatedCrashAtMs(
      fingerprint,
      nowMs,
      other => this.quarantinedUntilMs.has(other),
    );
    const settledAtMs = lastCrashAtMs + settleMs;
    if (unrelatedCrashAtMs === undefined) return settledAtMs;
    return Math.max(
      settledAtMs,
      Math.min(unrelatedCrashAtMs + waveQuietMs, lastCrashAtMs + maxWaveWaitMs),
    );
  }

  /** Clears a suspicion, unless a crash after the observed response is known. */
  private clearSuspicion(fingerprint: string, observedAtMs: number): void {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion) return;
    const hasLaterCrash = [...suspicion.crashes.values()].some(atMs => atMs > observedAtMs);
    if (!hasLaterCrash) this.suspicions.delete(fingerprint);
  }

  /**
   * Returns whether this entry may run a suspect now. The entry that saw the first crash goes first while it is alive,
   * and the others wait for its result. Its caller may have disconnected, so the others then take over one by one, far
   * enough apart for the report of a crash to stop the next one.
   */
  private mayRunSuspect(fingerprint: string, suspicion: Suspicion, nowMs: number): boolean {
    const {settleMs, takeoverDelayMs, getRank} = this.options;
    const settledAtMs = this.getSettledAtMs(fingerprint, suspicion, nowMs);
    if (this.isWatcher(suspicion)) return settledAtMs <= nowMs;
    const rank = getRank?.(fingerprint) ?? 0;
    return settledAtMs + takeoverDelayMs + rank * settleMs <= nowMs;
  }

  /** Returns whether this entry is the watcher: the live entry that reported the earliest crash. */
  private isWatcher({crashes}: Suspicion): boolean {
    const {ownInstanceId, isAlive} = this.options;
    const reporters = [...crashes]
      .sort(([, a], [, b]) => a - b)
      .map(([key]) => key.slice(0, key.lastIndexOf(' ')));
    const watcher = reporters.find(reporter => isAlive?.(reporter) ?? true);
    return watcher === undefined || watcher === ownInstanceId;
  }

  private mustStop(fingerprint: string, nowMs: number): boolean {
    if ((this.quarantinedUntilMs.get(fingerprint) ?? 0) > nowMs) return true;
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion || suspicion.expiresAtMs <= nowMs) return false;
    return !this.mayRunSuspect(fingerprint, suspicion, nowMs);
  }

  private isRunning(fingerprint: string): boolean {
    return [...this.attempts.values()].some(attempt => attempt.fingerprint === fingerprint);
  }

  private getSuspectInstanceIds(nowMs: number): ReadonlySet<string> {
    const watched = [...this.attempts.values()].filter(({fingerprint}) => {
      const suspicion = this.suspicions.get(fingerprint);
      return suspicion !== undefined && suspicion.expiresAtMs > nowMs;
    });
    return new Set(watched.map(({instanceId}) => instanceId));
  }

  private getExpiryMs(kind: 'poison-suspect' | 'poison-quarantined', nowMs: number): number {
    const {suspicionMs, quarantineMs} = this.options;
    return nowMs + (kind === 'poison-suspect' ? suspicionMs : quarantineMs);
  }

  private createIncident(
    kind: 'poison-suspect' | 'poison-quarantined',
    {fingerprint, service}: TrackedAttempt,
    observedAtMs: number,
    expiresAtMs: number,
  ): Incident {
    const {ownInstanceId} = this.options;
    return {
      kind,
      subject: fingerprint,
      service,
      reporter: ownInstanceId,
      observedAtMs,
      expiresAtMs,
    };
  }
}
