/** Finds requests that crash backend servers, and keeps each from crashing more than two. */
import type {Incident} from '../../blackboard/index.js';
import {LossHistory, type LossHistoryOptions, type ServerCrash} from './LossHistory.js';

/** Options of a `QuarantineLedger`. */
export interface QuarantineLedgerOptions extends LossHistoryOptions {
  readonly ownInstanceId: string;
  /** Time for which a suspicion stands. */
  readonly suspicionMs: number;
  /** Time for which a quarantine stands. */
  readonly quarantineMs: number;
  /** Time to wait for other entries' reports before a suspect is tried again. */
  readonly settleMs: number;
  /** Longest wait of a suspect for the end of a wave. */
  readonly maxWaveWaitMs: number;
  /** Time for which a suspect is left to the entry that watches it; after it the others try in the order of their ranks. */
  readonly takeOverMs: number;
  /** Returns this entry's rank for a request among the entries that live, from 0; absent for 0. */
  readonly getRank?: (fingerprint: string) => number;
  /** Returns whether another entry lives, so that its suspects are not left untried. */
  readonly isAlive?: (entryInstanceId: string) => boolean;
}

/** Defaults of the ledger. */
export const DEFAULT_QUARANTINE: Omit<
  QuarantineLedgerOptions,
  'ownInstanceId' | 'isAlive' | 'getRank'
> = {
  suspicionMs: 600_000,
  quarantineMs: 3_600_000,
  settleMs: 300,
  domainLossWindowMs: 1_000,
  waveQuietMs: 1_000,
  maxWaveWaitMs: 5_000,
  avoidedDomainMs: 10_000,
  takeOverMs: 1_000,
};

/** A try of a request, as the ledger sees it. */
export interface TrackedAttempt {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly service: string;
  readonly instanceId: string;
}

/** Whether and how a request may be sent. */
export type QuarantineDecision =
  | {readonly kind: 'run'}
  /** To be sent to a backend server where no other suspect runs; no other entry tries it meanwhile. */
  | {
      readonly kind: 'run-watched';
      readonly busyInstanceIds: ReadonlySet<string>;
      /** Failure domains that have lost servers lately, to be used only where no other has a place. */
      readonly avoidedDomains: ReadonlySet<string>;
    }
  | {readonly kind: 'wait'; readonly delayMs: number}
  | {readonly kind: 'refused'};

interface Suspicion {
  readonly service: string;
  /** Crashes by reporter and instant, so that a report heard twice counts once. */
  readonly crashes: ReadonlyMap<string, number>;
  readonly expiresAtMs: number;
}

const CRASHES_TO_QUARANTINE = 2;
const WATCH_POLL_MS = 100;

/** Tracks running tries, crashes, suspects and quarantined requests. */
export class QuarantineLedger {
  private readonly options: QuarantineLedgerOptions;
  private readonly attempts = new Map<string, TrackedAttempt>();
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly quarantinedUntilMs = new Map<string, number>();
  private readonly losses: LossHistory;

  constructor(options: QuarantineLedgerOptions) {
    this.options = options;
    this.losses = new LossHistory(options);
  }

  /**
   * Decides about a try of a request.
   * @param fingerprint - The request.
   * @param nowMs - Present time.
   */
  decide(fingerprint: string, nowMs: number): QuarantineDecision {
    if ((this.quarantinedUntilMs.get(fingerprint) ?? 0) > nowMs) return {kind: 'refused'};
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion || suspicion.expiresAtMs <= nowMs) return {kind: 'run'};
    const settledAtMs = this.getSettledAtMs(fingerprint, suspicion, nowMs);
    if (settledAtMs > nowMs) return {kind: 'wait', delayMs: settledAtMs - nowMs};
    if (!this.hasTurn(fingerprint, suspicion, nowMs) || this.isRunning(fingerprint)) {
      return {kind: 'wait', delayMs: WATCH_POLL_MS};
    }
    return {
      kind: 'run-watched',
      busyInstanceIds: this.getWatchedInstanceIds(nowMs),
      avoidedDomains: this.losses.getAvoidedDomains(nowMs),
    };
  }

  /**
   * Notes a try that is sent.
   * @param attempt - The try.
   */
  addAttempt(attempt: TrackedAttempt): void {
    this.attempts.set(attempt.attemptId, attempt);
  }

  /**
   * Notes that a try ended without a crash.
   * @param attemptId - The try.
   * @param isAnswered - Whether the request was answered to its end.
   * @param nowMs - Present time.
   * @returns Evidence to spread: a cleared suspicion.
   */
  removeAttempt(attemptId: string, isAnswered: boolean, nowMs: number): readonly Incident[] {
    const attempt = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    if (!attempt || !isAnswered || !this.suspicions.has(attempt.fingerprint)) return [];
    this.suspicions.delete(attempt.fingerprint);
    return [this.createIncident('poison-suspect', attempt, nowMs, nowMs)];
  }

  /**
   * Notes that a backend server crashed under the tries that run there.
   * @param crash - The crash.
   * @returns Evidence to spread before any of these requests is answered or tried again.
   */
  addCrash(crash: ServerCrash): readonly Incident[] {
    const running = [...this.attempts.values()].filter(
      ({instanceId}) => instanceId === crash.instanceId,
    );
    for (const {attemptId} of running) this.attempts.delete(attemptId);
    this.losses.addLoss(crash, new Set(running.map(({fingerprint}) => fingerprint)));
    const counted = running.filter(
      ({fingerprint}) => !this.losses.isDomainLoss(crash, fingerprint),
    );
    const {ownInstanceId} = this.options;
    return counted.map(attempt => {
      this.addSuspicion(attempt, ownInstanceId, crash.atMs, crash.atMs);
      const isQuarantined = this.quarantinedUntilMs.has(attempt.fingerprint);
      const kind = isQuarantined ? 'poison-quarantined' : 'poison-suspect';
      return this.createIncident(kind, attempt, crash.atMs, this.getExpiryMs(kind, crash.atMs));
    });
  }

  /**
   * Returns the tries here that must stop now: of quarantined requests, and of suspects that wait or that another entry watches.
   * To be asked after each crash and each report, since a copy that runs on would crash its server too.
   * @param nowMs - Present time.
   * @returns Ids of the tries.
   */
  getTriesToStop(nowMs: number): readonly string[] {
    return [...this.attempts.values()]
      .filter(({fingerprint}) => this.mustStop(fingerprint, nowMs))
      .map(({attemptId}) => attemptId);
  }

  /**
   * Takes evidence of another entry or of the log.
   * @param incident - The evidence.
   * @param nowMs - Present time.
   */
  addIncident(incident: Incident, nowMs: number): void {
    const {kind, subject, service, reporter, observedAtMs, expiresAtMs} = incident;
    if (reporter === this.options.ownInstanceId) return;
    if (kind === 'poison-quarantined' && expiresAtMs > nowMs) {
      this.quarantinedUntilMs.set(subject, expiresAtMs);
    }
    if (kind !== 'poison-suspect') return;
    if (expiresAtMs <= observedAtMs) this.clearBefore(subject, observedAtMs);
    else this.addSuspicion({fingerprint: subject, service}, reporter, observedAtMs, nowMs);
  }

  /**
   * Forgets what has expired.
   * @param nowMs - Present time.
   */
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
    const earlier = this.suspicions.get(fingerprint)?.crashes ?? new Map<string, number>();
    const crashes = new Map(earlier).set(`${reporter} ${observedAtMs}`, observedAtMs);
    const expiresAtMs = this.getExpiryMs('poison-suspect', nowMs);
    this.suspicions.set(fingerprint, {service, crashes, expiresAtMs});
    if (crashes.size < CRASHES_TO_QUARANTINE) return;
    this.quarantinedUntilMs.set(fingerprint, this.getExpiryMs('poison-quarantined', nowMs));
  }

  /** Reports may cross just after a crash, and a wave would hit the next try too: a suspect waits for the end of both. */
  private getSettledAtMs(fingerprint: string, {crashes}: Suspicion, nowMs: number): number {
    const {settleMs, waveQuietMs, maxWaveWaitMs} = this.options;
    const lastCrashAtMs = Math.max(...crashes.values());
    const lossAtMs = this.losses.getLastOtherLossMs(fingerprint, nowMs, other =>
      this.quarantinedUntilMs.has(other),
    );
    const settledAtMs = lastCrashAtMs + settleMs;
    if (lossAtMs === undefined) return settledAtMs;
    return Math.max(settledAtMs, Math.min(lossAtMs + waveQuietMs, lastCrashAtMs + maxWaveWaitMs));
  }

  private clearBefore(fingerprint: string, observedAtMs: number): void {
    const suspicion = this.suspicions.get(fingerprint);
    if (!suspicion) return;
    const isLater = [...suspicion.crashes.values()].some(atMs => atMs > observedAtMs);
    if (!isLater) this.suspicions.delete(fingerprint);
  }

  /**
   * The entry that saw the first crash tries again while it lives; the others wait for its verdict. Its caller may have gone, so
   * they take over one after the other, far enough apart for the report of a crash to stop the next one.
   */
  private hasTurn(fingerprint: string, suspicion: Suspicion, nowMs: number): boolean {
    const {settleMs, takeOverMs, getRank} = this.options;
    const settledAtMs = this.getSettledAtMs(fingerprint, suspicion, nowMs);
    if (this.isWatcher(suspicion)) return settledAtMs <= nowMs;
    const rank = getRank?.(fingerprint) ?? 0;
    return settledAtMs + takeOverMs + rank * settleMs <= nowMs;
  }

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
    return !this.hasTurn(fingerprint, suspicion, nowMs);
  }

  private isRunning(fingerprint: string): boolean {
    return [...this.attempts.values()].some(attempt => attempt.fingerprint === fingerprint);
  }

  private getWatchedInstanceIds(nowMs: number): ReadonlySet<string> {
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
