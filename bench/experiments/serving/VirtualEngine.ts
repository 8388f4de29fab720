/** Model of the stand-in engine in virtual time: the same batching, prefix cache and warmth, without generating text. */
import type {LoadReport} from '../../../src/blackboard/index.js';
import type {CacheEvent} from '../../../src/controllers/routing/index.js';
import {hashBlocks} from '../../../src/utils/index.js';
import type {EngineProfile} from '../../../standins/engine/EngineProfile.js';
import {EngineWarmth} from '../../../standins/engine/EngineWarmth.js';
import {getStepDurationMs, prefillChunk} from '../../../standins/engine/engineStep.js';
import {PrefixCache} from '../../../standins/engine/PrefixCache.js';
import type {EventQueue} from './EventQueue.js';

/** A request to a virtual engine. */
export interface VirtualJob {
  readonly promptTokens: readonly string[];
  readonly promptHashes: readonly string[];
  readonly answerTokens: number;
  /** Scheduling priority; lower values are admitted first. */
  readonly priority: number;
  /** Called when the job joins the batch. */
  readonly onAdmitted: (cachedTokens: number) => void;
  /** Called for each generated token; returns its text, which the prefix cache hashes. */
  readonly onToken: () => string;
  readonly onEnd: () => void;
  /** Called if the engine stops before the job has ended. */
  readonly onLost: () => void;
}

/** Options of a virtual engine. */
export interface VirtualEngineOptions {
  readonly queue: EventQueue;
  readonly profile: EngineProfile;
  readonly isColdAtStart: boolean;
}

interface JobProgress {
  readonly job: VirtualJob;
  readonly arrival: number;
  readonly answer: string[];
  prefillTokensLeft: number;
  isPrefilled: boolean;
  /** Whether the first decode step after the prefill is over; as in the stand-in engine, it yields no token. */
  isFirstDecodeOver: boolean;
}

const MS_PER_SECOND = 1_000;

/** Runs jobs by continuous batching, one event per step. */
export class VirtualEngine {
  private readonly queue: EventQueue;
  private readonly profile: EngineProfile;
  private readonly cache: PrefixCache;
  private readonly warmth: EngineWarmth;
  private readonly waiting: JobProgress[] = [];
  private running: JobProgress[] = [];
  private cacheEvents: CacheEvent[] = [];
  private nextSequence = 0;
  private arrivals = 0;
  private isStepping = false;
  private isStopped = false;

  constructor({queue, profile, isColdAtStart}: VirtualEngineOptions) {
    this.queue = queue;
    this.profile = profile;
    this.warmth = new EngineWarmth(profile, isColdAtStart);
    this.cache = new PrefixCache(profile.cacheTokens, (kind, blockHash) =>
      this.cacheEvents.push({sequence: this.nextSequence++, kind, blockHash}),
    );
  }

  /** Queues a job by priority, then by arrival. */
  addJob(job: VirtualJob): void {
    const prefillTokensLeft = job.promptTokens.length;
    const arrival = this.arrivals++;
    const progress = {prefillTokensLeft, isPrefilled: false, isFirstDecodeOver: false};
    this.waiting.push({job, arrival, answer: [], ...progress});
    this.waiting.sort((a, b) => a.job.priority - b.job.priority || a.arrival - b.arrival);
    if (!this.isStepping) this.startStep();
  }

  /** Stops the engine and calls `onLost` of every job that has not ended. */
  stop(): void {
    this.isStopped = true;
    for (const {job} of [...this.running, ...this.waiting]) job.onLost();
  }

  /** Returns whether the engine is still cold, that is slowed down after its start. */
  isCold(): boolean {
    return this.warmth.isCold();
  }

  /** Returns and clears the cache events recorded since the last call. */
  takeCacheEvents(): readonly CacheEvent[] {
    const events = this.cacheEvents;
    this.cacheEvents = [];
    return events;
  }

  /** Returns the engine's load report. */
  getLoad(): LoadReport {
    const all = [...this.running, ...this.waiting];
    return {
      runningRequests: this.running.length,
      queuedRequests: this.waiting.length,
      queuedPrefillTokens: all.reduce((sum, entry) => sum + entry.prefillTokensLeft, 0),
      prefillTokensPerSecond: this.profile.prefillTokensPerSecond,
      decodeTokensPerSecond: MS_PER_SECOND / this.profile.decodeStepMs,
      cachedTokens: this.cache.getTokens(),
      reportedAtMs: this.queue.getNowMs(),
    };
  }

  private startStep(): void {
    this.admitWaitingJobs();
    this.isStepping = this.running.length > 0;
    if (!this.isStepping) return;
    const durationMs = this.prefillNextChunk();
    this.queue.addEvent(durationMs, () => this.endStep());
  }

  private endStep(): void {
    if (this.isStopped) return;
    for (const entry of [...this.running]) {
      if (entry.isPrefilled) this.decode(entry);
      else if (entry.prefillTokensLeft === 0) this.finishPrefill(entry);
    }
    this.startStep();
  }

  private admitWaitingJobs(): void {
    while (this.running.length < this.profile.maxBatchRequests) {
      const entry = this.waiting.shift();
      if (!entry) return;
      const {promptTokens, promptHashes, onAdmitted} = entry.job;
      const cachedTokens = this.cache.usePrefix(promptHashes);
      entry.prefillTokensLeft = Math.max(promptTokens.length - cachedTokens, 1);
      this.running.push(entry);
      onAdmitted(cachedTokens);
    }
  }

  /** Prefills the next chunk of prompt tokens and returns the duration of the step in milliseconds. */
  private prefillNextChunk(): number {
    const prefillTokens = prefillChunk(this.running, this.profile);
    return getStepDurationMs(
      this.running,
      prefillTokens,
      this.profile,
      this.warmth.getSlowdownFactor(),
    );
  }

  private finishPrefill(entry: JobProgress): void {
    entry.isPrefilled = true;
    this.cache.storePrefix(entry.job.promptHashes);
    this.emitToken(entry);
  }

  private decode(entry: JobProgress): void {
    if (entry.isFirstDecodeOver) this.emitToken(entry);
    entry.isFirstDecodeOver = true;
  }

  private emitToken(entry: JobProgress): void {
    const {job, answer} = entry;
    answer.push(job.onToken());
    if (answer.length < job.answerTokens) return;
    this.cache.storePrefix(hashBlocks([...job.promptTokens, ...answer]));
    this.running = this.running.filter(other => other !== entry);
    this.warmth.recordFinishedRequest();
    job.onEnd();
  }
}
