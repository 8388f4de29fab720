/**
 * Records the observations of a completion's attempts: metrics, server warmth, cached prefixes, crashes and version
 * evidence.
 */
import type {BackendServer} from '../blackboard/index.js';
import {getLoadBand, getPrefillBand} from '../controllers/moves/index.js';
import {getCompletionPath, type AttemptError, type EngineUsage} from '../engine/index.js';
import type {MetricTags} from '../metrics/index.js';
import type {CompletionAttempt} from './CompletionAttempt.js';
import type {AcceptedCompletion} from './CompletionTypes.js';
import {recordServerFailure} from './recordServerFailure.js';
import type {HandlerContext} from './RequestContext.js';

/** An attempt that is about to be sent. */
export interface StartedAttempt {
  readonly attempt: CompletionAttempt;
  readonly attemptId: string;
  readonly server: BackendServer;
  readonly expectedFirstTokenMs: number;
  /** Releases the slot at the backend server. */
  readonly release: () => void;
}

/** Receives the events of one attempt. */
export interface ObservedAttempt {
  /**
   * Records a token; the first one ends the prefill that is counted as pending at the server, further ones change
   * nothing.
   */
  recordToken(): void;
  /**
   * Records the end of the attempt and releases its slot.
   * @param error - Why the attempt failed; undefined if it completed the response.
   */
  end(error: AttemptError | undefined): void;
}

/** Records the attempts of one completion. */
export class CompletionObserver {
  private readonly context: HandlerContext;
  private readonly accepted: AcceptedCompletion;
  private readonly tags: MetricTags;
  private lastAttemptId = '';

  constructor(context: HandlerContext, accepted: AcceptedCompletion) {
    this.context = context;
    this.accepted = accepted;
    this.tags = {
      workspace: accepted.workspace,
      class: accepted.requestClass.name,
      service: accepted.service.name,
    };
  }

  /** Records an attempt that is about to be sent, and returns the receiver of its further events. */
  startAttempt(started: StartedAttempt): ObservedAttempt {
    const {context, accepted} = this;
    const {attemptId, server} = started;
    const {instanceId} = server;
    const {fingerprint, service, blockHashes} = accepted;
    const openRequests = context.tracker.getOpenRequests(instanceId) - 1;
    const cachedTokens = context.tracker.prefixes.getCachedTokens(
      instanceId,
      blockHashes,
      context.getNowMs(),
    );
    this.lastAttemptId = attemptId;
    const warmth = context.tracker.getWarmth(instanceId);
    context.tracker.prefixes.recordPrompt(instanceId, blockHashes, context.getNowMs());
    context.quarantine.addAttempt({attemptId, fingerprint, service: service.name, instanceId});
    context.metrics.addCount('request.tries', this.tags);
    const sample = {openRequests, cachedTokens, isWarm: warmth === 'warm'};
    let pendingTokens = Math.max(1, accepted.promptTokens - cachedTokens);
    context.tracker.addPendingPrefill(instanceId, pendingTokens);
    const noteToken = () => {
      if (pendingTokens > 0) context.tracker.addPendingPrefill(instanceId, -pendingTokens);
      pendingTokens = 0;
    };
    return {
      recordToken: noteToken,
      end: error => {
        noteToken();
        this.endAttempt(started, error, sample);
      },
    };
  }

  /**
   * Counts the prompt tokens that an engine computed and those that it read from its prefix cache.
   * @param usage - Token counts that the engine reported for one attempt.
   * @param isReplay - Whether the attempt resumes an earlier one, so that its prefill is counted as recomputed too.
   */
  addUsage({promptTokens, cachedTokens}: EngineUsage, isReplay: boolean): void {
    const {metrics} = this.context;
    metrics.addCount('tokens.prefilled', this.tags, promptTokens - cachedTokens);
    metrics.addCount('tokens.cached', this.tags, cachedTokens);
    if (isReplay) metrics.addCount('tokens.recomputed', this.tags, promptTokens - cachedTokens);
  }

  /**
   * Records a failed attempt; resolves when peers were notified of what it shows about the backend server.
   * @param server - Backend server of the attempt.
   * @param error - Why the attempt failed.
   */
  async recordFailure(server: BackendServer, error: AttemptError): Promise<void> {
    this.context.metrics.addCount('request.retries', {...this.tags, failure: error.failure});
    await recordServerFailure(this.context, server, error.failure);
    this.endQuarantineWatch(this.lastAttemptId, false);
  }

  private endAttempt(
    {attempt, attemptId, server, expectedFirstTokenMs, release}: StartedAttempt,
    error: AttemptError | undefined,
    sample: {
      readonly openRequests: number;
      readonly cachedTokens: number;
      readonly isWarm: boolean;
    },
  ): void {
    const {context} = this;
    const firstTokenMs = attempt.getFirstTokenMs();
    release();
    if (firstTokenMs !== undefined) {
      const isAborted = error !== undefined;
      const observed = {expectedMs: expectedFirstTokenMs, observedMs: firstTokenMs, isAborted};
      context.tracker.addFirstToken(server, observed);
    }
    if (error?.failure !== 'broken') this.endQuarantineWatch(attemptId, error === undefined);
    const isCounted = error === undefined || isVersionFailure(error);
    if (isCounted) this.addEvidence(server, attempt, sample, error !== undefined);
  }

  private endQuarantineWatch(attemptId: string, isAnswered: boolean): void {
    const {quarantine, getNowMs, reportIncidents} = this.context;
    const cleared = quarantine.removeAttempt(attemptId, isAnswered, getNowMs());
    if (cleared.length > 0) void reportIncidents(cleared);
  }

  private addEvidence(
    server: BackendServer,
    attempt: CompletionAttempt,
    {
      openRequests,
      cachedTokens,
      isWarm,
    }: {
      readonly openRequests: number;
      readonly cachedTokens: number;
      readonly isWarm: boolean;
    },
    hasFailed: boolean,
  ): void {
    const {context, accepted} = this;
    const {service, requestClass, completion, promptTokens} = accepted;
    context.evidence.addAttempt(
      {
        service: service.name,
        version: server.version,
        route: getCompletionPath(completion.format),
        requestClass: requestClass.name,
        loadBand: getLoadBand(
          Math.max(openRequests, server.load?.runningRequests ?? 0),
          service.maxConcurrentRequests,
        ),
        prefillBand: getPrefillBand(Math.max(0, promptTokens - cachedTokens)),
        hasFailed,
        firstTokenMs: isWarm ? attempt.getFirstTokenMs() : undefined,
        interTokenMs: isWarm ? attempt.getInterTokenMs() : undefined,
      },
      context.getNowMs(),
    );
  }
}

/** Returns whether a failure counts as evidence against the version of the backend server. */
function isVersionFailure({failure}: AttemptError): boolean {
  return failure === 'failed' || failure === 'broken' || failure === 'silent';
}
