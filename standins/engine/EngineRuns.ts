/** The requests that an engine runs, in its scheduler and in its ledger. */
import type {BackendIdentity} from '../backend/index.js';
import type {Exchange} from '../http/index.js';
import {describeBody, RunLedger, type RunEntry} from '../ledger/index.js';
import type {AnswerWriter} from './AnswerWriter.js';
import type {CompletionRequest} from './CompletionRequest.js';
import type {EngineJob, EngineScheduler, JobBlocks} from './EngineScheduler.js';
import type {EngineWarmth} from './EngineWarmth.js';

/** Parts that a run passes through. */
export interface EngineRunsOptions {
  readonly ledger: RunLedger;
  readonly scheduler: EngineScheduler;
  readonly warmth: EngineWarmth;
}

/** Starts, ends and counts runs. */
export class EngineRuns {
  private readonly options: EngineRunsOptions;
  private readonly openJobs = new Map<RunEntry, EngineJob>();

  constructor(options: EngineRunsOptions) {
    this.options = options;
  }

  /** Records a request that arrived. */
  addEntry(exchange: Exchange, body: string, identity: BackendIdentity): RunEntry {
    const {instanceId, service, version, failureDomain} = identity;
    return this.options.ledger.addEntry({
      ...{instanceId, service, version, failureDomain},
      ...describeBody(body),
      requestId: exchange.getHeader('x-request-id') ?? '',
      attemptId: exchange.getHeader('x-attempt-id') ?? '',
      method: exchange.method,
      path: exchange.url.pathname,
      openRequests: this.openJobs.size + 1,
      wasCold: this.options.warmth.isCold(),
      startedAtMs: Date.now(),
      promptTokens: 0,
      cachedTokens: 0,
      generatedTokens: 0,
      end: 'running',
    });
  }

  /** Runs a request until it ends or its caller closes the connection. */
  startRun(
    exchange: Exchange,
    request: CompletionRequest,
    entry: RunEntry,
    writer: AnswerWriter,
    slowdownFactor: number,
  ): void {
    const job: EngineJob = {
      ...request,
      slowdownFactor,
      onAdmitted: (promptTokens, cachedTokens) => {
        Object.assign(entry, {promptTokens, cachedTokens});
      },
      onToken: token => {
        entry.firstTokenAtMs ??= Date.now();
        entry.generatedTokens += 1;
        writer.addToken(token);
      },
      onEnd: reason => {
        this.finishRun(entry);
        writer.finish(reason, entry);
      },
    };
    this.openJobs.set(entry, job);
    exchange.onClosed(() => this.cancelRun(entry));
    this.options.scheduler.addJob(job);
  }

  /** Records that a request failed before it ran. */
  failRun(entry: RunEntry): void {
    this.options.ledger.endEntry(entry, 'failed', Date.now());
  }

  /** Records that all runs ended with their engine. */
  crashAll(): void {
    this.openJobs.clear();
    this.options.ledger.endAll('crashed', Date.now());
  }

  /** Returns what the cache holds of a running request. */
  getBlocks(requestId: string): JobBlocks | undefined {
    const [, job] = [...this.openJobs].find(([entry]) => entry.requestId === requestId) ?? [];
    return job && this.options.scheduler.getBlocks(job);
  }

  private finishRun(entry: RunEntry): void {
    this.openJobs.delete(entry);
    this.options.ledger.endEntry(entry, 'finished', Date.now());
    this.options.warmth.countFinished();
  }

  private cancelRun(entry: RunEntry): void {
    const job = this.openJobs.get(entry);
    if (!job) return;
    this.openJobs.delete(entry);
    this.options.scheduler.removeJob(job);
    this.options.ledger.endEntry(entry, 'cancelled', Date.now());
  }
}
