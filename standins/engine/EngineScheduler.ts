/** Continuous batching: a loop of steps, each of which prefills and decodes all running requests together. */
import {TokenGenerator, splitIntoTokens} from './TokenGenerator.js';
import type {EngineProfile} from './EngineProfile.js';
import {getStepDurationMs, prefillChunk} from './engineStep.js';
import {getBlockHashes, type BlockHash, type PrefixCache} from './PrefixCache.js';

/** A request to schedule. */
export interface EngineJob {
  readonly promptText: string;
  readonly maxTokens?: number;
  /** Lower values are scheduled first; equal ones in order of arrival. */
  readonly priority: number;
  /** Factor by which the job runs slower than others; 1 for normal speed. */
  readonly slowdownFactor: number;
  /** Called once, when the job joins the batch and its prompt is looked up in the prefix cache. */
  readonly onAdmitted: (promptTokens: number, cachedTokens: number) => void;
  readonly onToken: (token: string) => void;
  readonly onEnd: (reason: 'stop' | 'length') => void;
}

/** Load of a scheduler. */
export interface SchedulerLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedPrefillTokens: number;
}

/** KV cache content of a request: hashes of its full blocks, and its number of tokens. */
export interface JobBlocks {
  readonly hashes: readonly BlockHash[];
  readonly tokens: number;
}

interface ScheduledJob {
  readonly job: EngineJob;
  readonly tokens: string[];
  readonly generator: TokenGenerator;
  readonly arrivalNumber: number;
  prefillTokensLeft: number;
  isPrefilled: boolean;
  generatedTokens: number;
  stepsUntilNextToken: number;
}

/** Steps that are late by up to this time are caught up without delay; a longer lag, as of a busy event loop, is dropped. */
const MAX_SCHEDULE_LAG_MS = 200;

/** Runs jobs in batches; the loop pauses while there are no jobs. */
export class EngineScheduler {
  private readonly profile: EngineProfile;
  private readonly cache: PrefixCache;
  private readonly getSlowdownFactor: () => number;
  private readonly waiting: ScheduledJob[] = [];
  private readonly running: ScheduledJob[] = [];
  private readonly entriesByJob = new Map<EngineJob, ScheduledJob>();
  private nextArrivalNumber = 0;
  private timer: NodeJS.Timeout | undefined;
  private stepEndsAtMs = 0;

  /**
   * @param getSlowdownFactor - Returns the factor by which steps currently take longer than on a warm engine.
   */
  constructor(profile: EngineProfile, cache: PrefixCache, getSlowdownFactor: () => number) {
    this.profile = profile;
    this.cache = cache;
    this.getSlowdownFactor = getSlowdownFactor;
  }

  /** Queues a job, and starts the step loop if it is paused. */
  addJob(job: EngineJob): void {
    const tokens = [...splitIntoTokens(job.promptText)];
    const entry: ScheduledJob = {
      job,
      tokens,
      generator: new TokenGenerator(job.promptText),
      arrivalNumber: this.nextArrivalNumber++,
      prefillTokensLeft: tokens.length,
      isPrefilled: false,
      generatedTokens: 0,
      stepsUntilNextToken: job.slowdownFactor,
    };
    this.entriesByJob.set(job, entry);
    this.waiting.push(entry);
    this.waiting.sort(
      (a, b) => a.job.priority - b.job.priority || a.arrivalNumber - b.arrivalNumber,
    );
    if (this.timer) return;
    this.stepEndsAtMs = performance.now();
    this.startStep(this.stepEndsAtMs);
  }

  /** Cancels a job; none of its callbacks is called any more. */
  removeJob(job: EngineJob): void {
    const entry = this.entriesByJob.get(job);
    if (!entry) return;
    this.entriesByJob.delete(job);
    removeItem(this.waiting, entry);
    removeItem(this.running, entry);
  }

  /** Stops the step loop and drops all jobs without calling them back. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.waiting.length = 0;
    this.running.length = 0;
    this.entriesByJob.clear();
  }

  /** Returns the blocks of a job's prompt and generated tokens; undefined until its prompt is computed. */
  getBlocks(job: EngineJob): JobBlocks | undefined {
    const entry = this.entriesByJob.get(job);
    if (!entry?.isPrefilled) return undefined;
    return {hashes: getBlockHashes(entry.tokens), tokens: entry.tokens.length};
  }

  /** Returns the number of running and waiting jobs and the prompt tokens still to compute. */
  getLoad(): SchedulerLoad {
    const all = [...this.waiting, ...this.running];
    return {
      runningRequests: this.running.length,
      queuedRequests: this.waiting.length,
      queuedPrefillTokens: all.reduce((sum, entry) => sum + entry.prefillTokensLeft, 0),
    };
  }

  private startStep(nowMs: number): void {
    this.admitWaitingJobs();
    if (this.running.length === 0) {
      this.timer = undefined;
      return;
    }
    const durationMs = this.prefillNextChunk();
    this.stepEndsAtMs = Math.max(this.stepEndsAtMs, nowMs - MAX_SCHEDULE_LAG_MS) + durationMs;
    const delayMs = Math.max(this.stepEndsAtMs - nowMs, 0);
    this.timer = setTimeout(() => this.endStep(), delayMs);
  }

  private endStep(): void {
    for (const entry of [...this.running]) {
      if (!this.entriesByJob.has(entry.job)) continue;
      if (entry.isPrefilled) this.decode(entry);
      else if (entry.prefillTokensLeft === 0) this.finishPrefill(entry);
    }
    this.startStep(performance.now());
  }

  private admitWaitingJobs(): void {
    while (this.running.length < this.profile.maxBatchRequests) {
      const entry = this.waiting.shift();
      if (!entry) return;
      const cachedTokens = this.cache.usePrefix(getBlockHashes(entry.tokens));
      const uncachedTokens = Math.max(entry.tokens.length - cachedTokens, 1);
      entry.prefillTokensLeft = Math.ceil(uncachedTokens * entry.job.slowdownFactor);
      this.running.push(entry);
      entry.job.onAdmitted(entry.tokens.length, cachedTokens);
    }
  }

  /** Computes the prompt tokens of the next step; returns the step's duration in milliseconds. */
  private prefillNextChunk(): number {
    const prefillTokens = prefillChunk(this.running, this.profile);
    return getStepDurationMs(this.running, prefillTokens, this.profile, this.getSlowdownFactor());
  }

  /** Stores the prompt in the prefix cache and emits the first token, which the last prefill step produces. */
  private finishPrefill(entry: ScheduledJob): void {
    entry.isPrefilled = true;
    this.cache.storePrefix(getBlockHashes(entry.tokens));
    this.emitToken(entry);
  }

  private decode(entry: ScheduledJob): void {
    entry.stepsUntilNextToken -= 1;
    if (entry.stepsUntilNextToken > 0) return;
    this.emitToken(entry);
  }

  private emitToken(entry: ScheduledJob): void {
    const {job} = entry;
    const token = entry.generator.getNextToken();
    entry.tokens.push(token);
    entry.generatedTokens += 1;
    entry.stepsUntilNextToken += job.slowdownFactor;
    job.onToken(token);
    const isEndOfText = job.maxTokens === undefined && entry.generator.isEndOfText();
    if (!isEndOfText && entry.generatedTokens !== job.maxTokens) return;
    if (!this.entriesByJob.has(job)) return;
    this.cache.storePrefix(getBlockHashes(entry.tokens));
    this.removeJob(job);
    job.onEnd(isEndOfText ? 'stop' : 'length');
  }
}

function removeItem<Item>(items: Item[], item: Item): void {
  const index = items.indexOf(item);
  if (index !== -1) items.splice(index, 1);
}
