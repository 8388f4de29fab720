/** A world in virtual time in which backend servers die in waves under one entry's requests. */
import type {Incident} from '../../src/blackboard/index.js';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../../src/controllers/quarantine/index.js';

/** A death that no request caused. */
export interface WaveDeath {
  readonly server: number;
  readonly atMs: number;
}

/** Options of a `WaveWorld`. */
export interface WaveWorldOptions {
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly deaths: readonly WaveDeath[];
  /** Server on which the request runs when the world begins. */
  readonly firstServer: number;
  /** Time for which the request runs where nothing stops it. */
  readonly durationMs: number;
  /** Time after which the request crashes its server; absent for a harmless one. */
  readonly crashAfterMs?: number;
  readonly random: () => number;
}

/** How a request fared. */
export interface WaveOutcome {
  readonly end: 'answered' | 'refused' | 'late';
  /** Servers that died while it ran there. */
  readonly hits: number;
  /** Servers that it crashed itself. */
  readonly crashes: number;
}

interface RunningTry {
  readonly server: number;
  readonly startedAtMs: number;
}

const STEP_MS = 10;
const LATEST_MS = 60_000;
const SUBJECT = 'subject';

/** Runs one request while servers die; every server also runs a request of its own. */
export class WaveWorld {
  private readonly options: WaveWorldOptions;
  private readonly ledger: QuarantineLedger;
  private readonly dead = new Set<number>();
  private running: RunningTry | undefined;
  private hits = 0;
  private crashes = 0;

  constructor(options: WaveWorldOptions) {
    this.options = options;
    this.ledger = new QuarantineLedger({...DEFAULT_QUARANTINE, ownInstanceId: 'entry-1'});
    for (let server = 0; server < this.getServerCount(); server += 1) {
      this.addAttempt(`own-${server}`, server);
    }
  }

  /** Runs the request to its end. */
  run(): WaveOutcome {
    this.start(this.options.firstServer, 0);
    for (let nowMs = 0; nowMs < LATEST_MS; nowMs += STEP_MS) {
      const end = this.step(nowMs);
      if (end) return this.getOutcome(end);
    }
    return this.getOutcome('late');
  }

  private step(nowMs: number): WaveOutcome['end'] | undefined {
    for (const {server, atMs} of this.options.deaths) {
      if (atMs <= nowMs && !this.dead.has(server)) this.kill(server, nowMs);
    }
    if (this.ledger.getTriesToStop(nowMs).includes(SUBJECT)) this.stop(nowMs);
    if (this.running) return this.stepRunning(this.running, nowMs);
    const decision = this.ledger.decide(SUBJECT, nowMs);
    if (decision.kind === 'refused') return 'refused';
    if (decision.kind === 'wait') return undefined;
    const busy = decision.kind === 'run-watched' ? decision.busyInstanceIds : new Set<string>();
    const avoided = decision.kind === 'run-watched' ? decision.avoidedDomains : undefined;
    const live = this.getLiveServers().filter(server => !busy.has(`server-${server}`));
    const preferred = live.filter(server => !avoided?.has(this.getDomain(server)));
    const candidates = preferred.length > 0 ? preferred : live;
    if (candidates.length === 0) return undefined;
    this.start(candidates[Math.floor(this.options.random() * candidates.length)], nowMs);
    return undefined;
  }

  private stepRunning(
    {server, startedAtMs}: RunningTry,
    nowMs: number,
  ): WaveOutcome['end'] | undefined {
    const {durationMs, crashAfterMs} = this.options;
    if (crashAfterMs !== undefined && nowMs - startedAtMs >= crashAfterMs) {
      this.crashes += 1;
      this.kill(server, nowMs);
      return undefined;
    }
    if (nowMs - startedAtMs < durationMs) return undefined;
    this.ledger.removeAttempt(SUBJECT, true, nowMs);
    return 'answered';
  }

  private kill(server: number, atMs: number): readonly Incident[] {
    this.dead.add(server);
    if (this.running?.server === server) {
      this.hits += 1;
      this.running = undefined;
    }
    const instanceId = `server-${server}`;
    return this.ledger.addCrash({instanceId, failureDomain: this.getDomain(server), atMs});
  }

  private stop(nowMs: number): void {
    this.running = undefined;
    this.ledger.removeAttempt(SUBJECT, false, nowMs);
  }

  private start(server: number, nowMs: number): void {
    this.running = {server, startedAtMs: nowMs};
    this.addAttempt(SUBJECT, server);
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
      server => !this.dead.has(server),
    );
  }

  private getOutcome(end: WaveOutcome['end']): WaveOutcome {
    return {end, hits: this.hits, crashes: this.crashes};
  }
}
