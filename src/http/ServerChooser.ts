/** Finds the backend server of a request's next try, and waits for a place where all are busy. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendServer} from '../blackboard/index.js';
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import type {QuarantineDecision} from '../controllers/quarantine/index.js';
import type {RoutingDecision} from '../controllers/routing/index.js';
import {ServingError} from '../errors/index.js';
import {getRoutingView, type HandlerContext} from './RequestContext.js';

/** What the choice depends on. */
export interface RoutedRequest {
  readonly workspace: string;
  readonly service: {readonly name: string};
  readonly requestClass: {readonly name: string};
  readonly fingerprint: string;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** A chosen backend server, with a place there that is held until it is given back. */
export interface ChosenServer {
  readonly server: BackendServer;
  readonly expectedFirstTokenMs: number;
  /** Gives the place back; later calls do nothing. */
  readonly release: () => void;
}

type Passed = Pick<
  Extract<QuarantineDecision, {kind: 'run-watched'}>,
  'busyInstanceIds' | 'avoidedDomains'
>;

const UNWATCHED: Passed = {busyInstanceIds: new Set(), avoidedDomains: new Set()};

/** Longest wait for a place before the choice is made again. */
const SLOT_WAIT_MS = 100;
/** Time for which a request that has been sent before waits for any backend server at all. */
const NO_SERVER_WAIT_MS = 250;

/** Chooses by routing and quarantine; remembers where the request has failed. */
export class ServerChooser {
  private readonly context: HandlerContext;
  private readonly request: RoutedRequest;
  private readonly excluded = new Set<string>();
  private readonly domainDraw: number;
  private draw: number;

  constructor(context: HandlerContext, request: RoutedRequest) {
    this.context = context;
    this.request = request;
    this.draw = context.random();
    this.domainDraw = context.random();
  }

  /**
   * Returns the backend server of the next try, as soon as one has a place.
   * @param preferred - Place at the backend server that holds the request's KV cache, if any.
   * @param wasSent - Whether the request was sent before, so that it waits instead of being refused.
   * @throws ServingError where there is none before the deadline.
   */
  async choose(preferred: ChosenServer | undefined, wasSent: boolean): Promise<ChosenServer> {
    const {request} = this;
    for (;;) {
      const passed = await this.passQuarantine();
      const {busyInstanceIds} = passed;
      if (request.signal.aborted) throw new ServingError('the caller has gone', {kind: 'internal'});
      if (preferred && !busyInstanceIds.has(preferred.server.instanceId)) return preferred;
      preferred?.release();
      const decision = this.decide(passed);
      if (decision.kind === 'chosen') return this.holdPlace(decision);
      await this.waitOrThrow(decision, wasSent, busyInstanceIds.size > 0);
    }
  }

  /**
   * Returns a place at a free backend server for the request's KV cache.
   * @param leavingInstanceId - Backend server that it leaves.
   */
  getFreeServer(leavingInstanceId: string): ChosenServer | undefined {
    const decision = this.decide({...UNWATCHED, busyInstanceIds: new Set([leavingInstanceId])});
    return decision.kind === 'chosen' ? this.holdPlace(decision) : undefined;
  }

  /**
   * Notes that a try failed.
   * @param server - Where.
   * @param failure - How.
   */
  noteFailure(server: BackendServer, failure: AttemptFailureKind): void {
    if (failure !== 'silent') this.excluded.add(server.instanceId);
    // A version that fails a request gets no second try of it by its share alone.
    if (failure === 'failed') this.draw = this.context.random();
  }

  /** The place is taken at once, so that requests which choose at the same moment don't all get the last one. */
  private holdPlace({
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

  private async passQuarantine(): Promise<Passed> {
    const {context, request} = this;
    for (;;) {
      const decision = context.quarantine.decide(request.fingerprint, context.getNowMs());
      if (decision.kind === 'run') return UNWATCHED;
      if (decision.kind === 'run-watched') return decision;
      if (decision.kind === 'refused') {
        throw new ServingError('the request has crashed backend servers', {
          kind: 'poison-quarantined',
        });
      }
      if (context.getNowMs() + decision.delayMs >= request.deadlineAtMs) {
        throw new ServingError('the request waits for the verdict on a crash', {
          kind: 'overloaded',
          run: 'unknown',
        });
      }
      await sleep(decision.delayMs);
    }
  }

  private decide({busyInstanceIds, avoidedDomains}: Passed): RoutingDecision {
    const {context, request, draw} = this;
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
        excludedInstanceIds: new Set([...this.excluded, ...busyInstanceIds]),
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
      this.excluded.clear();
      await sleep(NO_SERVER_WAIT_MS);
      return;
    }
    throw new ServingError(reason, {
      kind: errorKind,
      ...(wasSent ? {run: 'unknown' as const} : {}),
    });
  }
}
