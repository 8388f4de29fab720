/** Entries that claim over a faulty log in virtual time, and a ledger of what ran. */
import {
  isClaimFresh,
  ClaimService,
  type ClaimAnswer,
  type ClaimGatherer,
} from '../../src/claims/index.js';
import type {LogAccess, Sleep} from '../../src/log/index.js';
import {FakeLog} from './FakeLog.js';
import {VirtualTime} from './VirtualTime.js';

const KEEP_MS = 3_600_000;
const FINGERPRINT = 'f1';

interface Entry {
  readonly name: string;
  readonly service: ClaimService;
  isCrashed: boolean;
  pausedUntilMs: number;
}

/** An answer that a caller got for a key. */
export interface GivenAnswer {
  readonly key: string;
  readonly answer: ClaimAnswer;
}

/** What happened to the keys. */
export interface ClaimsLedger {
  /** Attempts granted, by key. */
  readonly grants: Map<string, string[]>;
  /** Attempts sent to a backend server, by key. */
  readonly runs: Map<string, string[]>;
  readonly answers: GivenAnswer[];
}

/** Entries, log and callers. */
export class ClaimsWorld {
  readonly time = new VirtualTime();
  readonly log: FakeLog;
  readonly ledger: ClaimsLedger = {grants: new Map(), runs: new Map(), answers: []};
  private readonly entries: Entry[] = [];
  private readonly gatherers = new Map<string, ClaimGatherer>();
  private readonly random: () => number;
  private faultShare = 0;
  private nextAttempt = 1;

  constructor(random: () => number, entryCount: number) {
    this.random = random;
    this.log = new FakeLog({
      getNowMs: this.time.getNowMs,
      sleep: this.time.sleep,
      chooseFate: () => ({
        delayMs: 1 + (this.isFault() ? random() * 6_000 : random() * 10),
        answerDelayMs: 1 + (this.isFault() ? random() * 6_000 : 0),
        isLost: this.isFault(),
        isAnswerLost: this.isFault(),
      }),
    });
    for (let index = 0; index < entryCount; index++) this.startEntry();
  }

  /** Sets the share of calls that are lost or late. */
  setFaultShare(faultShare: number): void {
    this.faultShare = faultShare;
  }

  /** Starts a new entry. */
  startEntry(): void {
    const name = `e${this.entries.length}`;
    const holder: {entry?: Entry} = {};
    const gate = <Value>(value: Value) => this.passGate(holder.entry, value);
    const sleep: Sleep = async (durationMs, signal) => {
      await this.time.sleep(durationMs, signal);
      await gate(undefined);
    };
    const settle = <Value>(promise: Promise<Value>) =>
      promise.then(gate, async (error: unknown) => {
        await gate(undefined);
        throw error;
      });
    const log: LogAccess = {
      append: (stream, payloads) => settle(this.log.append(stream, payloads)),
      read: (stream, options) => settle(this.log.read(stream, options)),
    };
    const service = new ClaimService({
      log,
      claimant: name,
      getNowMs: this.time.getNowMs,
      sleep,
      random: this.random,
      keepMs: KEEP_MS,
      snapshotIntervalMs: 8_000,
      isClaimantLive: other => this.entries.some(entry => entry.name === other && !entry.isCrashed),
      gathering: {
        getGatherer: () => this.getGatherer(name),
        getAppenderCount: () => 2,
      },
    });
    const entry = {name, service, isCrashed: false, pausedUntilMs: 0};
    holder.entry = entry;
    this.entries.push(entry);
    service.start();
  }

  /** Crashes an entry and starts another in its place. */
  replaceEntry(): void {
    this.choose().isCrashed = true;
    this.startEntry();
  }

  /** Freezes an entry. */
  pauseEntry(durationMs: number): void {
    this.choose().pausedUntilMs = this.time.getNowMs() + durationMs;
  }

  /** A caller sends a request with a key to some entry. */
  request(key: string): void {
    void this.serve(this.choose(), key);
  }

  /** A caller repeats a key at every entry that runs. */
  async repeatEverywhere(key: string): Promise<readonly ClaimAnswer[]> {
    const live = this.entries.filter(entry => !entry.isCrashed);
    const claims = live.map(({service}) => service.claim(this.createRequest(key)));
    await this.time.advance(20_000);
    return Promise.all(claims);
  }

  private async serve(entry: Entry, key: string): Promise<void> {
    const request = this.createRequest(key);
    const answer = await entry.service.claim(request);
    await this.passGate(entry, undefined);
    this.ledger.answers.push({key, answer});
    if (answer.verdict !== 'granted') return;
    addTo(this.ledger.grants, key, request.attemptId);
    const grantedAtMs = this.time.getNowMs();
    await this.time.sleep(this.random() * 50);
    await this.passGate(entry, undefined);
    const outcome = {workspace: 'w', key, attemptId: request.attemptId};
    if (!isClaimFresh(grantedAtMs, this.time.getNowMs())) {
      await entry.service.recordOutcome({...outcome, run: 'not-run'});
      return;
    }
    await this.passGate(entry, undefined);
    addTo(this.ledger.runs, key, request.attemptId);
    await this.time.sleep(this.random() * 500);
    await this.passGate(entry, undefined);
    const stored = {status: 201, contentType: 'text/plain', bodyBase64: request.attemptId};
    await entry.service.recordOutcome({...outcome, run: 'ran', answer: stored});
  }

  /** Views of membership change at random, so an entry sends one key's claims to several gatherers. */
  private getGatherer(from: string): ClaimGatherer | undefined {
    const gatherer = this.choose();
    if (gatherer.name === from || this.random() < 0.3) return undefined;
    const call = async <Value>(run: () => Promise<Value>, timeoutMs: number): Promise<Value> => {
      const timeout = this.time.sleep(timeoutMs).then(() => {
        throw new Error('timeout');
      });
      if (this.isFault()) return timeout;
      const answer = this.passGate(gatherer, undefined).then(run);
      return Promise.race([this.isFault() ? answer.then(() => timeout) : answer, timeout]);
    };
    const {service} = gatherer;
    const kept = this.gatherers.get(`${from} ${gatherer.name}`) ?? {
      instanceId: gatherer.name,
      gather: ({claims, outcomes}, timeoutMs) =>
        call(() => {
          outcomes.forEach(outcome => service.addOutcomeFor(outcome));
          return Promise.all(claims.map(claim => service.claimFor(claim)));
        }, timeoutMs),
    };
    this.gatherers.set(`${from} ${gatherer.name}`, kept);
    return kept;
  }

  /** Holds back a frozen entry until it is woken, and a crashed one for good. */
  private async passGate<Value>(entry: Entry | undefined, value: Value): Promise<Value> {
    while (entry && entry.pausedUntilMs > this.time.getNowMs()) {
      await this.time.sleep(entry.pausedUntilMs - this.time.getNowMs());
    }
    if (entry?.isCrashed) await new Promise(() => undefined);
    return value;
  }

  private choose(): Entry {
    const live = this.entries.filter(entry => !entry.isCrashed);
    return live[Math.floor(this.random() * live.length)];
  }

  private createRequest(key: string) {
    const attemptId = `a${this.nextAttempt++}`;
    return {workspace: 'w', key, attemptId, fingerprint: FINGERPRINT};
  }

  private isFault(): boolean {
    return this.random() < this.faultShare;
  }
}

function addTo(map: Map<string, string[]>, key: string, attemptId: string): void {
  map.set(key, [...(map.get(key) ?? []), attemptId]);
}
