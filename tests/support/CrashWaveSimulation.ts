/** Simulates, in virtual time, backend servers that crash in waves while one entry runs requests on them. */
import type {Incident} from '../../src/blackboard/index.js';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../../src/controllers/quarantine/index.js';

/** A server crash that no request caused. */
export interface UnrelatedCrash {
  /** Index of the server. */
  readonly server: number;
  /** Virtual time in milliseconds. */
  readonly atMs: number;
}

/** Options of a `CrashWaveSimulation`. */
export interface CrashWaveSimulationOptions {
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly unrelatedCrashes: readonly UnrelatedCrash[];
  /** Server on which the request runs at time 0. */
  readonly firstServer: number;
  /** Time in milliseconds that the request takes if nothing stops it. */
  readonly durationMs: number;
  /** Time in milliseconds after which the request crashes its server; undefined for a harmless request. */
  readonly crashAfterMs?: number;
  readonly random: () => number;
}

/** Result of the simulated request. */
export interface WaveOutcome {
  /** `late` if it was neither answered nor refused within 60 s. */
  readonly end: 'answered' | 'refused' | 'late';
  /** Servers that crashed while it ran there, for whatever reason. */
  readonly hits: number;
  /** Servers that the request itself crashed. */
  readonly crashes: number;
}

interface RunningAttempt {
  readonly server: number;
  readonly startedAtMs: number;
}

const STEP_MS = 10;
const DURATION_LIMIT_MS = 60_000;
const OBSERVED_FINGERPRINT = 'subject';

/** Runs one request against the real `QuarantineLedger` while servers crash; each server also runs another request. */
export class CrashWaveSimulation {
  private readonly options: CrashWaveSimulationOptions;
  private readonly ledger: QuarantineLedger;
  private readonly crashedServers = new Set<number>();
  private running: RunningAttempt | undefined;
  private hits = 0;
  private crashes = 0;

  constructor(options: CrashWaveSimulationOptions) {
    this.options = options;
    this.ledger = new QuarantineLedger({...DEFAULT_QUARANTINE, ownInstanceId: 'entry-1'});
    for (let server = 0; server < this.getServerCount(); server += 1) {
      this.addAttempt(`own-${server}`, server);
    }
  }

  /** Runs the request until it is answered or refused, at most 60 s of virtual time. */
  run(): WaveOutcome {
    this.startAttempt(this.options.firstServer, 0);
    for (let nowMs = 0; nowMs < DURATION_LIMIT_MS; nowMs += STEP_MS) {
      const end = this.step(nowMs);
      if (end) return this.getOutcome(end);
    }
    return this.getOutcome('late');
  }

  private step(nowMs: number): WaveOutcome['end'] | undefined {
    for (const {server, atMs} of this.options.unrelatedCrashes) {
      if (atMs <= nowMs && !this.crashedServers.has(server)) this.crashServer(server, nowMs);
    }
    if (this.ledger.getAttemptsToStop(nowMs).includes(OBSERVED_FINGERPRINT))
      this.stopAttempt(nowMs);
    if (this.running) return this.stepRunning(this.running, nowMs);
    const decision = this.ledger.decide(OBSERVED_FINGERPRINT, nowMs);
    if (decision.kind === 'refused') return 'refused';
    if (decision.kind === 'wait') return undefined;
    const busy = decision.kind === 'run-watched' ? decision.suspectInstanceIds : new Set<string>();
    const avoided = decision.kind === 'run-watched' ? decision.avoidedDomains : undefined;
    const live = this.getLiveServers().filter(server => !busy.has(`server-${server}`));
    const preferred = live.filter(server => !avoided?.has(this.getDomain(server)));
    const candidates = preferred.length > 0 ? preferred : live;
    if (candidates.length === 0) return undefined;
    this.startAttempt(candidates[Math.floor(this.options.random() * candidates.length)], nowMs);
    return undefined;
  }

  private stepRunning(
    {server, startedAtMs}: RunningAttempt,
    nowMs: number,
  ): WaveOutcome['end'] | undefined {
    const {durationMs, crashAfterMs} = this.options;
    if (crashAfterMs !== undefined && nowMs - startedAtMs >= crashAfterMs) {
      this.crashes += 1;
      this.crashServer(server, nowMs);
      return undefined;
    }
    if (nowMs - startedAtMs < durationMs) return undefined;
    this.ledger.removeAttempt(OBSERVED_FINGERPRINT, true, nowMs);
    return 'answered';
  }

  private crashServer(server: number, atMs: number): readonly Incident[] {
    this.crashedServers.add(server);
    if (this.running?.server === server) {
      this.hits += 1;
      this.running = undefined;
    }
    const instanceId = `server-${server}`;
    return this.ledger.addCrash({instanceId, failureDomain: this.getDomain(server), atMs});
  }

  private stopAttempt(nowMs: number): void {
    this.running = undefined;
    this.ledger.removeAttempt(OBSERVED_FINGERPRINT, false, nowMs);
  }

  private startAttempt(server: number, nowMs: number): void {
    this.running = {server, startedAtMs: nowMs};
    this.addAttempt(OBSERVED_FINGERPRINT, server);
  }

  private addAttempt(fingerprint: string, server: number): void {
    const instanceId = `server-${server}`;
    this.ledger.addAttempt({attemptId: fingerprint, fingerprint, service: 's', instanceId});
  }

  private getServerCount(): number {
    return this.options.domains * this.options.serversPerDomain;
  }

  private getDomain(server: number): string {
    return `domain-${Math.floor(server / this.options.serversPerDomain)}`;
  }

  private getLiveServers(): readonly number[] {
    return Array.from({length: this.getServerCount()}, (_, server) => server).filter(
      server => !this.crashedServers.has(server),
    );
  }

  private getOutcome(end: WaveOutcome['end']): WaveOutcome {
    return {end, hits: this.hits, crashes: this.crashes};
  }
}
