/** Model engine in virtual time: a batch of requests, chunked prefill in the order of arrival, and a prefix cache. */
import type {KnownServer} from '../../src/catalog/index.js';
import type {PromptPart} from '../../src/controllers/placement/index.js';

/** A request at an engine. */
export interface EngineJob {
  readonly promptParts: readonly PromptPart[];
  readonly events: number;
  onFirstEvent(nowMs: number): void;
  onEnd(nowMs: number): void;
}

/** How an engine divides a chunk among the prompts of its batch. */
export type ChunkOrder = 'first-come' | 'shared';

interface RunningJob {
  readonly job: EngineJob;
  prefillTokens: number;
  remainingEvents: number;
}

/** Speed and step of the engines in docs/design/overload.md. */
const PROMPT_TOKENS_PER_MS = 66;
const STEP_MS = 3.8;
/** Prompt tokens that are prefilled between two decoding steps; assumed, like the cache size and the peaks. */
const CHUNK_TOKENS = 4_096;
/** Additional duration of a decoding step for each request of the batch. */
const STEP_PER_REQUEST_MS = 0.05;
const CACHE_TOKENS = 400_000;
const PEAK_FACTORS = [2.5, 2.5, 4.25];
const MIN_PEAK_MS = 100;
const MAX_PEAK_MS = 400;
/** Mean time between two peaks of one engine. */
const PEAK_INTERVAL_MS = 6_000;
/** Time between two small changes of the factor, and their relative size. */
const NOISE_INTERVAL_MS = 200;
const NOISE_SIZE = 0.15;

/** One engine; its factor multiplies the time that work takes. */
export class EngineModel {
  readonly server: KnownServer;
  private readonly lastingFactor: number;
  private readonly random: () => number;
  private readonly chunkOrder: ChunkOrder;
  private readonly waiting: EngineJob[] = [];
  private readonly running = new Set<RunningJob>();
  /** Tokens of the cached segments, the least recently used first. */
  private readonly cache = new Map<string, number>();
  private cachedTokens = 0;
  private noise = 1;
  private noiseUntilMs = 0;
  private peakUntilMs = 0;
  private peakFactor = 1;
  private nextPeakMs: number;
  /** Tokens of shared segments that were prefilled. */
  sharedTokensPrefilled = 0;

  constructor(
    server: KnownServer,
    lastingFactor: number,
    chunkOrder: ChunkOrder,
    random: () => number,
  ) {
    this.server = server;
    this.lastingFactor = lastingFactor;
    this.chunkOrder = chunkOrder;
    this.random = random;
    this.nextPeakMs = this.getPeakDelayMs();
  }

  /** Number of waiting and running requests. */
  get openRequests(): number {
    return this.running.size + this.waiting.length;
  }

  /** Present work factor. */
  getFactor(nowMs: number): number {
    return nowMs < this.peakUntilMs ? this.peakFactor : this.lastingFactor * this.noise;
  }

  /** Starts a request, or queues it if all slots are in use. */
  add(job: EngineJob): void {
    if (this.running.size < this.server.entry.slots) this.start(job);
    else this.waiting.push(job);
  }

  /** Advances the engine to a time. */
  advance(nowMs: number, intervalMs: number): void {
    this.changeFactor(nowMs);
    if (this.running.size === 0) return;
    const factor = this.getFactor(nowMs);
    const prefilled = this.prefill((PROMPT_TOKENS_PER_MS * intervalMs) / factor, nowMs);
    const decodeMs = (STEP_MS + STEP_PER_REQUEST_MS * this.running.size) * factor;
    const stepMs = prefilled
      ? Math.max(decodeMs, (CHUNK_TOKENS / PROMPT_TOKENS_PER_MS) * factor)
      : decodeMs;
    for (const running of this.running) {
      if (running.prefillTokens > 0) continue;
      running.remainingEvents -= intervalMs / stepMs;
      if (running.remainingEvents > 0) continue;
      this.running.delete(running);
      running.job.onEnd(nowMs);
      const next = this.waiting.shift();
      if (next) this.start(next);
    }
  }

  /** Prefills the batch's prompts; returns whether there is a whole chunk of them. */
  private prefill(tokens: number, nowMs: number): boolean {
    const prompts = [...this.running].filter(({prefillTokens}) => prefillTokens > 0);
    let left = tokens;
    let pending = 0;
    for (const [index, prompt] of prompts.entries()) {
      pending += prompt.prefillTokens;
      const share = this.chunkOrder === 'shared' ? left / (prompts.length - index) : left;
      const done = Math.min(share, prompt.prefillTokens);
      prompt.prefillTokens -= done;
      left -= done;
      if (prompt.prefillTokens <= 0 && done > 0) prompt.job.onFirstEvent(nowMs);
    }
    return pending >= CHUNK_TOKENS;
  }

  private start(job: EngineJob): void {
    let prefillTokens = 1;
    let isPrefixCached = true;
    for (const [index, {id, tokens}] of job.promptParts.entries()) {
      const isOwn = index === job.promptParts.length - 1;
      isPrefixCached &&= !isOwn && this.cache.has(id);
      if (!isOwn) this.touch(id, tokens);
      if (isPrefixCached) continue;
      prefillTokens += tokens;
      if (!isOwn) this.sharedTokensPrefilled += tokens;
    }
    this.running.add({job, prefillTokens, remainingEvents: job.events});
  }

  private touch(id: string, tokens: number): void {
    if (this.cache.delete(id)) this.cachedTokens -= tokens;
    this.cache.set(id, tokens);
    this.cachedTokens += tokens;
    for (const [oldId, oldTokens] of this.cache) {
      if (this.cachedTokens <= CACHE_TOKENS) return;
      this.cache.delete(oldId);
      this.cachedTokens -= oldTokens;
    }
  }

  private changeFactor(nowMs: number): void {
    if (nowMs >= this.noiseUntilMs) {
      this.noiseUntilMs = nowMs + NOISE_INTERVAL_MS;
      this.noise = 1 + NOISE_SIZE * (2 * this.random() - 1);
    }
    if (nowMs < this.nextPeakMs) return;
    this.peakFactor = PEAK_FACTORS[Math.floor(this.random() * PEAK_FACTORS.length)];
    this.peakUntilMs = nowMs + MIN_PEAK_MS + this.random() * (MAX_PEAK_MS - MIN_PEAK_MS);
    this.nextPeakMs = this.peakUntilMs + this.getPeakDelayMs();
  }

  private getPeakDelayMs(): number {
    return -Math.log(1 - this.random()) * PEAK_INTERVAL_MS;
  }
}
