/**
 * Moves a completion's running attempt away from a draining backend server: one that is about to stop, or whose failure
 * domain is out of service.
 */
import type {BackendServer} from '../blackboard/index.js';
import {decideDrain} from '../controllers/drain/index.js';
import {AttemptError} from '../engine/index.js';
import type {CompletionAttempt} from './CompletionAttempt.js';
import type {AcceptedCompletion} from './CompletionTypes.js';
import type {HandlerContext} from './RequestContext.js';
import type {ChosenServer, ServerChooser} from './ServerChooser.js';

/** A running attempt and its backend server. */
export interface RunningAttempt {
  readonly attempt: CompletionAttempt;
  readonly server: BackendServer;
}

/** Progress of a completion. */
export interface CompletionProgress {
  /** Number of tokens already sent to the caller. */
  readonly passedTokens: number;
  /** Largest number of tokens still to come; undefined if the caller set no limit. */
  readonly remainingTokens: number | undefined;
}

/** Assumed prefill rate if the backend server reports none, for comparing a KV cache transfer with a new prefill. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;

/** Moves one attempt at a time, with its KV cache if the transfer takes less time than a new prefill. */
export class CompletionDrain {
  private readonly context: HandlerContext;
  private readonly accepted: AcceptedCompletion;
  private readonly chooser: ServerChooser;
  private isMoving = false;
  private isClosed = false;
  private cacheTarget: ChosenServer | undefined;

  /**
   * @param context - Shared parts of the entry.
   * @param accepted - Completion whose attempts are moved.
   * @param chooser - Chooses the backend server that receives the KV cache.
   */
  constructor(context: HandlerContext, accepted: AcceptedCompletion, chooser: ServerChooser) {
    this.context = context;
    this.accepted = accepted;
    this.chooser = chooser;
  }

  /**
   * Starts to move the running attempt if its backend server drains and the completion isn't expected to end in time.
   * Does nothing while a move is in progress or if the backend server is no longer registered.
   * @param running - Attempt to move; it is cancelled with failure kind `moved` when the move is done.
   * @param progress - Progress of the completion, for estimating when it ends.
   */
  moveIfDraining(running: RunningAttempt, progress: CompletionProgress): void {
    if (this.isMoving) return;
    const {blackboard, getNowMs} = this.context;
    const {backendServers, failureDomains} = blackboard.getSections();
    const {instanceId} = running.server;
    const server = backendServers.servers.find(candidate => candidate.instanceId === instanceId);
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
        cacheTokensPerSecond: hasFirstToken ? this.context.tracker.getCacheTransferRate() : 0,
      },
      getNowMs(),
    );
    if (decision.kind === 'stay') return;
    this.isMoving = true;
    void this.move(attempt, server, decision.kind === 'move-cache');
  }

  /** Records that the running attempt has ended, so that the next one can be moved. */
  recordAttemptEnd(): void {
    this.isMoving = false;
  }

  /**
   * Returns the reserved slot at the backend server that received the KV cache; undefined if no cache was transferred.
   */
  getCacheTarget(): ChosenServer | undefined {
    return this.cacheTarget;
  }

  /** Clears the target of the KV cache without releasing its slot; to be called once the next server was chosen. */
  clearCacheTarget(): void {
    this.cacheTarget = undefined;
  }

  /** Releases the slot at the cache target, also if the transfer is still in progress. */
  close(): void {
    this.isClosed = true;
    this.cacheTarget?.release();
  }

  private async move(
    attempt: CompletionAttempt,
    server: BackendServer,
    movesCache: boolean,
  ): Promise<void> {
    const hasMovedCache = movesCache && (await this.transferCache(server));
    this.context.metrics.addCount('request.moves', {way: hasMovedCache ? 'cache' : 'replay'});
    attempt.cancel(
      new AttemptError(`backend server ${server.instanceId} is leaving`, {
        kind: 'backend-failed',
        failure: 'moved',
      }),
    );
  }

  private async transferCache(from: BackendServer): Promise<boolean> {
    const {context, accepted} = this;
    const target = this.chooser.reserveCacheTarget(from.instanceId);
    if (!target) return false;
    const startedAtMs = context.getNowMs();
    const timeoutMs = Math.max(1, (from.leavingAtMs ?? accepted.deadlineAtMs) - startedAtMs);
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const {requestId} = accepted;
      const tokens = await context.engine.transferCache({
        requestId,
        from,
        to: target.server,
        signal,
      });
      context.tracker.addCacheTransfer(tokens, context.getNowMs() - startedAtMs);
      this.cacheTarget = target;
      if (this.isClosed) target.release();
      return true;
    } catch {
      target.release();
      return false;
    }
  }
}
