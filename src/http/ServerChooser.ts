/** Chooses the backend server for a request's next attempt, and waits for a free slot while all servers are busy. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendServer} from '../blackboard/index.js';
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import type {QuarantineDecision} from '../controllers/quarantine/index.js';
import type {RoutingDecision} from '../controllers/routing/index.js';
import {ServingError} from '../errors/index.js';
import {getRoutingView, type HandlerContext} from './RequestContext.js';

/** Properties of a request on which the choice of its backend server depends. */
export interface RoutedRequest {
  readonly workspace: string;
  readonly service: {readonly name: string};
  readonly requestClass: {readonly name: string};
  readonly fingerprint: string;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A chosen backend server with a reserved slot, which counts as an open request until it is released. */
export interface ChosenServer {
  readonly server: BackendServer;
  /** Estimated time to the first token. */
  readonly expectedFirstTokenMs: number;
  /** Releases the slot; later calls do nothing. */
  readonly release: () => void;
}

/** Backend servers and failure domains that a suspected request must avoid. */
type QuarantineConstraints = Pick<
  Extract<QuarantineDecision, {kind: 'run-watched'}>,
  'suspectInstanceIds' | 'avoidedDomains'
>;

const NO_CONSTRAINTS: QuarantineConstraints = {
  suspectInstanceIds: new Set(),
  avoidedDomains: new Set(),
};

/** Longest wait for a free slot before the choice is made again. */
const SLOT_WAIT_MS = 100;
/**
 * Time after which a request that was sent before, or that avoids other suspects, checks again for an available backend
 * server.
 */
const NO_SERVER_WAIT_MS = 250;

/** Applies the routing policy and the quarantine to one request, and excludes servers at which it has failed. */
export class ServerChooser {
  private readonly context: HandlerContext;
  private readonly request: RoutedRequest;
  private readonly excludedInstanceIds = new Set<string>();
  /**
   * Random number that decides whether the request may use a failure domain which takes only a percentage of new work.
   */
  private readonly domainDraw: number;
  /**
   * Random number that selects the version by its traffic share; kept for retries, except after failure kind `failed`.
   */
  private versionDraw: number;

  constructor(context: HandlerContext, request: RoutedRequest) {
    this.context = context;
    this.request = request;
    this.versionDraw = context.random();
    this.domainDraw = context.random();
  }

  /**
   * Returns a reserved slot at the backend server for the next attempt; waits until one is free.
   * @param preferred - Reserved slot at the backend server that received the request's KV cache; undefined if there is
   * none. It is returned unless that server runs another suspect; then it is released.
   * @param wasSent - Whether an earlier attempt was sent. If so, the request waits for a backend server when none is
   * available, and errors report its run as `unknown`.
   * @throws ServingError if the request is quarantined or refused, or no slot gets free before its deadline.
   */
  async choose(preferred: ChosenServer | undefined, wasSent: boolean): Promise<ChosenServer> {
    const {request} = this;
    for (;;) {
      const constraints = await this.waitForQuarantine();
      const {suspectInstanceIds} = constraints;
      if (request.signal.aborted)
        throw new ServingError('the caller disconnected', {kind: 'internal'});
      if (preferred && !suspectInstanceIds.has(preferred.server.instanceId)) return preferred;
      preferred?.release();
      const decision = this.decide(constraints);
      if (decision.kind === 'chosen') return this.reserveSlot(decision);
      await this.waitOrThrow(decision, wasSent, suspectInstanceIds.size > 0);
    }
  }

  /**
   * Returns a reserved slot at another backend server as target for the request's KV cache; undefined if none is free.
   * @param leavingInstanceId - Draining backend server that holds the cache.
   */
  reserveCacheTarget(leavingInstanceId: string): ChosenServer | undefined {
    const decision = this.decide({
      ...NO_CONSTRAINTS,
      suspectInstanceIds: new Set([leavingInstanceId]),
    });
    return decision.kind === 'chosen' ? this.reserveSlot(decision) : undefined;
  }

  /**
   * Records a failed attempt. Unless it stalled, its server is excluded from further attempts.
   * @param server - Backend server of the attempt.
   * @param failure - Kind of failure.
   */
  recordFailure(server: BackendServer, failure: AttemptFailureKind): void {
    if (failure !== 'silent') this.excludedInstanceIds.add(server.instanceId);
    // Draws again, so that the retry doesn't go to the version that failed just because the draw falls into its share.
    if (failure === 'failed') this.versionDraw = this.context.random();
  }

  /** Reserves the slot synchronously, so that concurrent requests don't all choose the last free one. */
  private reserveSlot({
    server,
    expectedFirstTokenMs,
  }: Extract<RoutingDecision, {kind: 'chosen'}>): ChosenServer {
    const {tracker} = this.context;
    let isHeld = true;
    tracker.addRequest(server.instanceId);
    const release = () => {
      if (isHeld) tracker.removeRequest(server.instanceId);
      isHeld = false;
    };
    return {server, expectedFirstTokenMs, release};
  }

  /** Waits while the quarantine delays the request; throws if it is quarantined or the delay exceeds its deadline. */
  private async waitForQuarantine(): Promise<QuarantineConstraints> {
    const {context, request} = this;
    for (;;) {
      const decision = context.quarantine.decide(request.fingerprint, context.getNowMs());
      if (decision.kind === 'run') return NO_CONSTRAINTS;
      if (decision.kind === 'run-watched') return decision;
      if (decision.kind === 'refused') {
        throw new ServingError('the request has crashed backend servers', {
          kind: 'poison-quarantined',
        });
      }
      if (context.getNowMs() + decision.delayMs >= request.deadlineAtMs) {
        throw new ServingError(
          'the request may have crashed a backend server and cannot be retried before its deadline',
          {
            kind: 'overloaded',
            run: 'unknown',
          },
        );
      }
      await sleep(decision.delayMs);
    }
  }

  private decide({suspectInstanceIds, avoidedDomains}: QuarantineConstraints): RoutingDecision {
    const {context, request, versionDraw: draw} = this;
    const {configuration} = context.blackboard.getSection('configuration');
    if (!configuration) {
      return {kind: 'refused', errorKind: 'configuration-unknown', reason: 'no configuration'};
    }
    const {workspace, service, requestClass, promptTokens, blockHashes, deadlineAtMs} = request;
    return context.chooseServer(
      getRoutingView(context, configuration),
      {
        service: service.name,
        workspace,
        requestClass: requestClass.name,
        promptTokens,
        blockHashes,
        excludedInstanceIds: new Set([...this.excludedInstanceIds, ...suspectInstanceIds]),
        deadlineAtMs,
        domainDraw: this.domainDraw,
        avoidedDomains,
      },
      context.getNowMs(),
      () => draw,
    );
  }

  private async waitOrThrow(
    decision: Extract<RoutingDecision, {kind: 'refused'}>,
    wasSent: boolean,
    isWatched: boolean,
  ): Promise<void> {
    const {context, request} = this;
    const {errorKind, reason} = decision;
    const hasTime = context.getNowMs() + SLOT_WAIT_MS < request.deadlineAtMs;
    if (errorKind === 'overloaded' && hasTime) {
      await context.tracker.waitForSlot(SLOT_WAIT_MS);
      return;
    }
    if (errorKind === 'no-backend-server' && (wasSent || isWatched) && hasTime) {
      this.excludedInstanceIds.clear();
      await sleep(NO_SERVER_WAIT_MS);
      return;
    }
    throw new ServingError(reason, {
      kind: errorKind,
      ...(wasSent ? {run: 'unknown' as const} : {}),
    });
  }
}
