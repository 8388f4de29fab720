/** Writes what the tries of a completion show: metrics, warmth, cached prefixes, crashes and evidence on versions. */
import type {BackendServer} from '../blackboard/index.js';
import {getLoadBand, getPrefillBand} from '../controllers/moves/index.js';
import {getCompletionPath, type AttemptError, type EngineUsage} from '../engine/index.js';
import type {MetricTags} from '../metrics/index.js';
import type {CompletionAttempt} from './CompletionAttempt.js';
import type {AcceptedCompletion} from './CompletionTypes.js';
import {noteServerFailure} from './serverFailures.js';
import type {HandlerContext} from './RequestContext.js';

/** A try as it starts. */
export interface StartedAttempt {
  readonly attempt: CompletionAttempt;
  readonly attemptId: string;
  readonly server: BackendServer;
  readonly expectedFirstTokenMs: number;
  /** Gives back the place at the backend server. */
  readonly release: () => void;
}

/** A try under observation. */
export interface ObservedAttempt {
  /** Notes that a token came; only the first counts. */
  noteToken(): void;
  /**
   * Ends the observation.
   * @param error - How the try failed; undefined where it ended the answer.
   */
  end(error: AttemptError | undefined): void;
}

/** Observes the tries of one completion. */
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

  /**
   * Notes a try that is sent.
   * @param started - The try.
   */
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
    context.tracker.prefixes.addSent(instanceId, blockHashes, context.getNowMs());
    context.quarantine.addAttempt({attemptId, fingerprint, service: service.name, instanceId});
    context.metrics.addCount('request.tries', this.tags);
    const sample = {openRequests, cachedTokens, isWarm: warmth === 'warm'};
    let waitingTokens = Math.max(1, accepted.promptTokens - cachedTokens);
    context.tracker.addPendingPrefill(instanceId, waitingTokens);
    const noteToken = () => {
      if (waitingTokens > 0) context.tracker.addPendingPrefill(instanceId, -waitingTokens);
      waitingTokens = 0;
    };
    return {
      noteToken,
      end: error => {
        noteToken();
        this.endAttempt(started, error, sample);
      },
    };
  }

  /**
   * Notes an engine's count of tokens.
   * @param usage - The counts.
   * @param isReplay - Whether the try repeats work of an earlier one.
   */
  addUsage({promptTokens, cachedTokens}: EngineUsage, isReplay: boolean): void {
    const {metrics} = this.context;
    metrics.addCount('tokens.prefilled', this.tags, promptTokens - cachedTokens);
    metrics.addCount('tokens.cached', this.tags, cachedTokens);
    if (isReplay) metrics.addCount('tokens.recomputed', this.tags, promptTokens - cachedTokens);
  }

  /**
   * Finds out what a failure says of the backend server, and tells peers before the next try.
   * @param server - The backend server.
   * @param error - The failure.
   */
  async noteFailure(server: BackendServer, error: AttemptError): Promise<void> {
    this.context.metrics.addCount('request.retries', {...this.tags, failure: error.failure});
    await noteServerFailure(this.context, server, error.failure);
    this.removeFromQuarantine(this.lastAttemptId, false);
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
      const isBroken = error !== undefined;
      const observed = {expectedMs: expectedFirstTokenMs, observedMs: firstTokenMs, isBroken};
      context.tracker.addFirstToken(server, observed);
    }
    if (error?.failure !== 'broken') this.removeFromQuarantine(attemptId, error === undefined);
    const isCounted = error === undefined || isVersionFailure(error);
    if (isCounted) this.addEvidence(server, attempt, sample, error !== undefined);
  }

  private removeFromQuarantine(attemptId: string, isAnswered: boolean): void {
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
    context.evidence.addTry(
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

function isVersionFailure({failure}: AttemptError): boolean {
  return failure === 'failed' || failure === 'broken' || failure === 'silent';
}
