/** Moves a completion's running try away from a backend server that leaves. */
import type {BackendServer} from '../blackboard/index.js';
import {decideDrain} from '../controllers/drain/index.js';
import {AttemptError} from '../engine/index.js';
import type {CompletionAttempt} from './CompletionAttempt.js';
import type {AcceptedCompletion} from './CompletionTypes.js';
import type {HandlerContext} from './RequestContext.js';
import type {ChosenServer, ServerChooser} from './ServerChooser.js';

/** A try and where it runs. */
export interface RunningAttempt {
  readonly attempt: CompletionAttempt;
  readonly server: BackendServer;
}

/** How far an answer has come. */
export interface CompletionProgress {
  readonly passedTokens: number;
  /** Tokens that may still come; undefined where the caller named no limit. */
  readonly remainingTokens: number | undefined;
}

/** Rate of prefill that a move of KV cache is weighed against where none was reported. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;

/** Moves one try at a time, with its KV cache where that is sooner. */
export class CompletionDrain {
  private readonly context: HandlerContext;
  private readonly accepted: AcceptedCompletion;
  private readonly chooser: ServerChooser;
  private isMoving = false;
  private isClosed = false;
  private preferred: ChosenServer | undefined;

  /**
   * @param context - Parts of the daemon.
   * @param accepted - The request.
   * @param chooser - Chooses where the try goes.
   */
  constructor(context: HandlerContext, accepted: AcceptedCompletion, chooser: ServerChooser) {
    this.context = context;
    this.accepted = accepted;
    this.chooser = chooser;
  }

  /**
   * Moves the running try where its backend server leaves and its end would come too late.
   * @param running - The try.
   * @param progress - How far its answer has come.
   */
  check(running: RunningAttempt, progress: CompletionProgress): void {
    if (this.isMoving) return;
    const {blackboard, getNowMs} = this.context;
    const {backendServers, failureDomains} = blackboard.getSections();
    const {instanceId} = running.server;
    const server = backendServers.servers.find(known => known.instanceId === instanceId);
    if (!server) return;
    const {attempt} = running;
    const hasFirstToken = attempt.getFirstTokenMs() !== undefined;
    const decision = decideDrain(
      {
        ...progress,
        server,
        failureDomains: failureDomains.domains,
        promptTokens: this.accepted.promptTokens,
        interTokenMs: attempt.getInterTokenMs() ?? this.accepted.requestClass.interTokenTargetMs,
        prefillTokensPerSecond:
          server.load?.prefillTokensPerSecond || DEFAULT_PREFILL_TOKENS_PER_SECOND,
        cacheTokensPerSecond: hasFirstToken ? this.context.tracker.getCacheTokensPerSecond() : 0,
      },
      getNowMs(),
    );
    if (decision.kind === 'stay') return;
    this.isMoving = true;
    void this.move(attempt, server, decision.kind === 'move-cache');
  }

  /** Notes that the try has ended. */
  noteEnd(): void {
    this.isMoving = false;
  }

  /** Returns the place at the backend server that the KV cache was moved to; undefined for none. */
  getPreferred(): ChosenServer | undefined {
    return this.preferred;
  }

  /** Forgets where the KV cache is, once a server was chosen. */
  removePreferred(): void {
    this.preferred = undefined;
  }

  /** Gives back a place that is no longer needed, also that of a move under way. */
  close(): void {
    this.isClosed = true;
    this.preferred?.release();
  }

  private async move(
    attempt: CompletionAttempt,
    server: BackendServer,
    movesCache: boolean,
  ): Promise<void> {
    const hasMoved = movesCache && (await this.moveCache(server));
    this.context.metrics.addCount('request.moves', {way: hasMoved ? 'cache' : 'replay'});
    attempt.cancel(
      new AttemptError(`backend server ${server.instanceId} is leaving`, {
        kind: 'backend-failed',
        failure: 'moved',
      }),
    );
  }

  private async moveCache(from: BackendServer): Promise<boolean> {
    const {context, accepted} = this;
    const place = this.chooser.getFreeServer(from.instanceId);
    if (!place) return false;
    const startedAtMs = context.getNowMs();
    const timeoutMs = Math.max(1, (from.leavingAtMs ?? accepted.deadlineAtMs) - startedAtMs);
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const {requestId} = accepted;
      const tokens = await context.engine.moveCache({requestId, from, to: place.server, signal});
      context.tracker.addCacheMove(tokens, context.getNowMs() - startedAtMs);
      this.preferred = place;
      if (this.isClosed) place.release();
      return true;
    } catch {
      place.release();
      return false;
    }
  }
}
