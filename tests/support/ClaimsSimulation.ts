/** Simulates entries that claim idempotency keys over a faulty log in virtual time, and records what they executed. */
import {
  isClaimFresh,
  ClaimService,
  type ClaimAnswer,
  type ClaimAggregator,
} from '../../src/claims/index.js';
import type {LogAccess, Sleep} from '../../src/log/index.js';
import {FakeLog} from './FakeLog.js';
import {VirtualTime} from './VirtualTime.js';

const RETENTION_MS = 3_600_000;
const FINGERPRINT = 'f1';

interface Entry {
  readonly name: string;
  readonly service: ClaimService;
  isCrashed: boolean;
  pausedUntilMs: number;
}

/** A claim result that an entry received for a key. */
export interface RecordedClaimAnswer {
  readonly key: string;
  readonly answer: ClaimAnswer;
}

/** Everything that was granted, executed and answered, for checking at-most-once execution. */
export interface ClaimsLedger {
  /** Ids of the attempts that were granted the claim, by key. */
  readonly grants: Map<string, string[]>;
  /** Ids of the attempts sent to a backend server, by key. */
  readonly runs: Map<string, string[]>;
  readonly answers: RecordedClaimAnswer[];
}

/** Runs entries, their log and callers, with crashes, freezes, and lost or late calls. */
export class ClaimsSimulation {
  readonly time = new VirtualTime();
  readonly log: FakeLog;
  readonly ledger: ClaimsLedger = {grants: new Map(), runs: new Map(), answers: []};
  private readonly entries: Entry[] = [];
  private readonly aggregators = new Map<string, ClaimAggregator>();
  private readonly random: () => number;
  private faultShare = 0;
  private nextAttempt = 1;

  constructor(random: () => number, entryCount: number) {
    this.random = random;
    this.log = new FakeLog({
      getNowMs: this.time.getNowMs,
      sleep: this.time.sleep,
      chooseAppendBehavior: () => ({
        delayMs: 1 + (this.drawFault() ? random() * 6_000 : random() * 10),
        answerDelayMs: 1 + (this.drawFault() ? random() * 6_000 : 0),
        isLost: this.drawFault(),
        isAnswerLost: this.drawFault(),
      }),
    });
    for (let index = 0; index < entryCount; index++) this.startNewEntry();
  }

  /** Sets the probability, 0 to 1, of each fault of a log call or a call between entries. */
  setFaultShare(faultShare: number): void {
    this.faultShare = faultShare;
  }

  /** Starts an entry with a new name. */
  startNewEntry(): void {
    const name = `e${this.entries.length}`;
    const reference: {entry?: Entry} = {};
    const whenRunning = <Value>(value: Value) => this.waitUntilRunning(reference.entry, value);
    const sleep: Sleep = async (durationMs, signal) => {
      await this.time.sleep(durationMs, signal);
      await whenRunning(undefined);
    };
    const settle = <Value>(promise: Promise<Value>) =>
      promise.then(whenRunning, async (error: unknown) => {
        await whenRunning(undefined);
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
      retentionMs: RETENTION_MS,
      snapshotIntervalMs: 8_000,
      isClaimantLive: other => this.entries.some(entry => entry.name === other && !entry.isCrashed),
      aggregation: {
        getAggregator: () => this.chooseAggregator(name),
        getAppenderCount: () => 2,
      },
    });
    const entry = {name, service, isCrashed: false, pausedUntilMs: 0};
    reference.entry = entry;
    this.entries.push(entry);
    service.start();
  }

  /** Crashes a random live entry and starts a new one. */
  replaceEntry(): void {
    this.chooseLiveEntry().isCrashed = true;
    this.startNewEntry();
  }

  /** Freezes a random live entry: its calls and timers complete only afterwards. */
  pauseEntry(durationMs: number): void {
    this.chooseLiveEntry().pausedUntilMs = this.time.getNowMs() + durationMs;
  }

  /** Sends a request with a key to a random live entry. */
  request(key: string): void {
    void this.claimAndExecute(this.chooseLiveEntry(), key);
  }

  /** Repeats a key at every live entry and returns their results after 20 s of virtual time. */
  async repeatEverywhere(key: string): Promise<readonly ClaimAnswer[]> {
    const live = this.entries.filter(entry => !entry.isCrashed);
    const claims = live.map(({service}) => service.claim(this.createRequest(key)));
    await this.time.advance(20_000);
    return Promise.all(claims);
  }

  private async claimAndExecute(entry: Entry, key: string): Promise<void> {
    const request = this.createRequest(key);
    const answer = await entry.service.claim(request);
    await this.waitUntilRunning(entry, undefined);
    this.ledger.answers.push({key, answer});
    if (answer.verdict !== 'granted') return;
    appendValue(this.ledger.grants, key, request.attemptId);
    const grantedAtMs = this.time.getNowMs();
    await this.time.sleep(this.random() * 50);
    await this.waitUntilRunning(entry, undefined);
    const outcome = {workspace: 'w', key, attemptId: request.attemptId};
    if (!isClaimFresh(grantedAtMs, this.time.getNowMs())) {
      await entry.service.recordOutcome({...outcome, run: 'not-run'});
      return;
    }
    await this.waitUntilRunning(entry, undefined);
    appendValue(this.ledger.runs, key, request.attemptId);
    await this.time.sleep(this.random() * 500);
    await this.waitUntilRunning(entry, undefined);
    const stored = {status: 201, contentType: 'text/plain', bodyBase64: request.attemptId};
    await entry.service.recordOutcome({...outcome, run: 'ran', answer: stored});
  }

  /** Chooses a random aggregator, as membership views differ, so that an entry sends one key's claims to several. */
  private chooseAggregator(from: string): ClaimAggregator | undefined {
    const aggregator = this.chooseLiveEntry();
    if (aggregator.name === from || this.random() < 0.3) return undefined;
    const call = async <Value>(run: () => Promise<Value>, timeoutMs: number): Promise<Value> => {
      const timeout = this.time.sleep(timeoutMs).then(() => {
        throw new Error('timeout');
      });
      if (this.drawFault()) return timeout;
      const answer = this.waitUntilRunning(aggregator, undefined).then(run);
      return Promise.race([this.drawFault() ? answer.then(() => timeout) : answer, timeout]);
    };
    const {service} = aggregator;
    const client = this.aggregators.get(`${from} ${aggregator.name}`) ?? {
      instanceId: aggregator.name,
      aggregate: ({claims, outcomes}, timeoutMs) =>
        call(() => {
          outcomes.forEach(outcome => service.addOutcomeForEntry(outcome));
          return Promise.all(claims.map(claim => service.claimForEntry(claim)));
        }, timeoutMs),
    };
    this.aggregators.set(`${from} ${aggregator.name}`, client);
    return client;
  }

  /** Delays a frozen entry until its pause ends and suspends a crashed entry forever. */
  private async waitUntilRunning<Value>(entry: Entry | undefined, value: Value): Promise<Value> {
    while (entry && entry.pausedUntilMs > this.time.getNowMs()) {
      await this.time.sleep(entry.pausedUntilMs - this.time.getNowMs());
    }
    if (entry?.isCrashed) await new Promise(() => undefined);
    return value;
  }

  private chooseLiveEntry(): Entry {
    const live = this.entries.filter(entry => !entry.isCrashed);
    return live[Math.floor(this.random() * live.length)];
  }

  private createRequest(key: string) {
    const attemptId = `a${this.nextAttempt++}`;
    return {workspace: 'w', key, attemptId, fingerprint: FINGERPRINT};
  }

  private drawFault(): boolean {
    return this.random() < this.faultShare;
  }
}

function appendValue(map: Map<string, string[]>, key: string, attemptId: string): void {
  map.set(key, [...(map.get(key) ?? []), attemptId]);
}
