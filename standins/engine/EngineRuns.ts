/** Open requests of an engine, tracked in its scheduler and its ledger. */
import type {BackendIdentity} from '../backend/index.js';
import type {Exchange} from '../http/index.js';
import {describeBody, RunLedger, type RunEntry} from '../ledger/index.js';
import type {CompletionWriter} from './CompletionWriter.js';
import type {CompletionRequest} from './CompletionRequest.js';
import type {EngineJob, EngineScheduler, JobBlocks} from './EngineScheduler.js';
import type {EngineWarmth} from './EngineWarmth.js';

/** Components of the engine that are updated when a run starts or ends. */
export interface EngineRunsOptions {
  readonly ledger: RunLedger;
  readonly scheduler: EngineScheduler;
  readonly warmth: EngineWarmth;
}

/** Schedules requests, and records their start and end in the ledger. */
export class EngineRuns {
  private readonly options: EngineRunsOptions;
  private readonly openJobs = new Map<RunEntry, EngineJob>();

  constructor(options: EngineRunsOptions) {
    this.options = options;
  }

  /** Adds a ledger entry for a request that arrived; the run has not started yet. */
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

  /**
   * Schedules a request; the run is cancelled if the caller closes the connection.
   * @param slowdownFactor - Factor by which the request runs slower than others; 1 for normal speed.
   */
  startRun(
    exchange: Exchange,
    request: CompletionRequest,
    entry: RunEntry,
    writer: CompletionWriter,
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
    exchange.onAborted(() => this.cancelRun(entry));
    this.options.scheduler.addJob(job);
  }

  /** Records that a request failed without being scheduled. */
  failRun(entry: RunEntry): void {
    this.options.ledger.endEntry(entry, 'failed', Date.now());
  }

  /** Drops all open requests and records them as crashed. */
  crashAll(): void {
    this.openJobs.clear();
    this.options.ledger.endAll('crashed', Date.now());
  }

  /** Returns the KV cache blocks of a running request; undefined if it isn't running or its prompt isn't computed yet. */
  getBlocks(requestId: string): JobBlocks | undefined {
    const [, job] = [...this.openJobs].find(([entry]) => entry.requestId === requestId) ?? [];
    return job && this.options.scheduler.getBlocks(job);
  }

  private finishRun(entry: RunEntry): void {
    this.openJobs.delete(entry);
    this.options.ledger.endEntry(entry, 'finished', Date.now());
    this.options.warmth.recordFinishedRequest();
  }

  private cancelRun(entry: RunEntry): void {
    const job = this.openJobs.get(entry);
    if (!job) return;
    this.openJobs.delete(entry);
    this.options.scheduler.removeJob(job);
    this.options.ledger.endEntry(entry, 'cancelled', Date.now());
  }
}
