/** Continuous batching: a step loop that prefills and decodes all running requests together. */
import {AnswerText, splitIntoTokens} from './AnswerText.js';
import type {EngineProfile} from './EngineProfile.js';
import {getStepDurationMs, prefillChunk} from './engineStep.js';
import {getBlockHashes, type BlockHash, type PrefixCache} from './PrefixCache.js';

/** A request in the engine. */
export interface EngineJob {
  readonly promptText: string;
  readonly maxTokens?: number;
  /** Lower goes first. */
  readonly priority: number;
  /** How much slower than others the job is computed. */
  readonly slowdownFactor: number;
  /** Called once, when the prompt's cached part is known. */
  readonly onAdmitted: (promptTokens: number, cachedTokens: number) => void;
  readonly onToken: (token: string) => void;
  readonly onEnd: (reason: 'stop' | 'length') => void;
}

/** Counts of a scheduler. */
export interface SchedulerLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedPrefillTokens: number;
}

/** What the cache holds of a request: its blocks and its tokens. */
export interface JobBlocks {
  readonly hashes: readonly BlockHash[];
  readonly tokens: number;
}

interface RunningJob {
  readonly job: EngineJob;
  readonly tokens: string[];
  readonly answer: AnswerText;
  readonly arrival: number;
  prefillTokensLeft: number;
  isPrefilled: boolean;
  generatedTokens: number;
  stepsUntilToken: number;
}

const MAX_STEPS_BEHIND_MS = 200;

/** Runs jobs in steps. */
export class EngineScheduler {
  private readonly profile: EngineProfile;
  private readonly cache: PrefixCache;
  private readonly getSlowdownFactor: () => number;
  private readonly waiting: RunningJob[] = [];
  private readonly running: RunningJob[] = [];
  private readonly byJob = new Map<EngineJob, RunningJob>();
  private arrivals = 0;
  private timer: NodeJS.Timeout | undefined;
  private stepEndsAtMs = 0;

  /**
   * @param profile - Speed and limits.
   * @param cache - Prefix cache.
   * @param getSlowdownFactor - How much slower than a warm engine it is now.
   */
  constructor(profile: EngineProfile, cache: PrefixCache, getSlowdownFactor: () => number) {
    this.profile = profile;
    this.cache = cache;
    this.getSlowdownFactor = getSlowdownFactor;
  }

  /** Queues a job. */
  addJob(job: EngineJob): void {
    const tokens = [...splitIntoTokens(job.promptText)];
    const entry: RunningJob = {
      job,
      tokens,
      answer: new AnswerText(job.promptText),
      arrival: this.arrivals++,
      prefillTokensLeft: tokens.length,
      isPrefilled: false,
      generatedTokens: 0,
      stepsUntilToken: job.slowdownFactor,
    };
    this.byJob.set(job, entry);
    this.waiting.push(entry);
    this.waiting.sort((a, b) => a.job.priority - b.job.priority || a.arrival - b.arrival);
    if (this.timer) return;
    this.stepEndsAtMs = performance.now();
    this.startStep(this.stepEndsAtMs);
  }

  /** Takes a job out without calling it back. */
  removeJob(job: EngineJob): void {
    const entry = this.byJob.get(job);
    if (!entry) return;
    this.byJob.delete(job);
    removeItem(this.waiting, entry);
    removeItem(this.running, entry);
  }

  /** Stops the loop and forgets all jobs. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.waiting.length = 0;
    this.running.length = 0;
    this.byJob.clear();
  }

  /** Returns what a job's prompt and answer would fill in the cache by now; undefined where it doesn't run. */
  getBlocks(job: EngineJob): JobBlocks | undefined {
    const entry = this.byJob.get(job);
    if (!entry?.isPrefilled) return undefined;
    return {hashes: getBlockHashes(entry.tokens), tokens: entry.tokens.length};
  }

  /** Returns how much there is to do. */
  getLoad(): SchedulerLoad {
    const all = [...this.waiting, ...this.running];
    return {
      runningRequests: this.running.length,
      queuedRequests: this.waiting.length,
      queuedPrefillTokens: all.reduce((sum, entry) => sum + entry.prefillTokensLeft, 0),
    };
  }

  private startStep(nowMs: number): void {
    this.admit();
    if (this.running.length === 0) {
      this.timer = undefined;
      return;
    }
    const durationMs = this.prefillStep();
    this.stepEndsAtMs = Math.max(this.stepEndsAtMs, nowMs - MAX_STEPS_BEHIND_MS) + durationMs;
    const delayMs = Math.max(this.stepEndsAtMs - nowMs, 0);
    this.timer = setTimeout(() => this.endStep(), delayMs);
  }

  private endStep(): void {
    for (const entry of [...this.running]) {
      if (!this.byJob.has(entry.job)) continue;
      if (entry.isPrefilled) this.decode(entry);
      else if (entry.prefillTokensLeft === 0) this.finishPrefill(entry);
    }
    this.startStep(performance.now());
  }

  private admit(): void {
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

  /** Reads the chunk of the step that begins; returns how long the step takes. */
  private prefillStep(): number {
    const prefillTokens = prefillChunk(this.running, this.profile);
    return getStepDurationMs(this.running, prefillTokens, this.profile, this.getSlowdownFactor());
  }

  /** The prefill's last step yields the first token. */
  private finishPrefill(entry: RunningJob): void {
    entry.isPrefilled = true;
    this.cache.storePrefix(getBlockHashes(entry.tokens));
    this.emitToken(entry);
  }

  private decode(entry: RunningJob): void {
    entry.stepsUntilToken -= 1;
    if (entry.stepsUntilToken > 0) return;
    this.emitToken(entry);
  }

  private emitToken(entry: RunningJob): void {
    const {job} = entry;
    const token = entry.answer.getNextToken();
    entry.tokens.push(token);
    entry.generatedTokens += 1;
    entry.stepsUntilToken += job.slowdownFactor;
    job.onToken(token);
    const isNaturalEnd = job.maxTokens === undefined && entry.answer.isNaturalEnd();
    if (!isNaturalEnd && entry.generatedTokens !== job.maxTokens) return;
    if (!this.byJob.has(job)) return;
    this.cache.storePrefix(getBlockHashes(entry.tokens));
    this.removeJob(job);
    job.onEnd(isNaturalEnd ? 'stop' : 'length');
  }
}

function removeItem<Item>(items: Item[], item: Item): void {
  const index = items.indexOf(item);
  if (index !== -1) items.splice(index, 1);
}
