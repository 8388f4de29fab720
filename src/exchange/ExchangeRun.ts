/** Carries one admitted request through its tries until the caller has an answer. */
import type {KnownServer, Route} from '../catalog/index.js';
import {EventFramer} from './EventFramer.js';
import {decideAfterFailure, type TryEnd} from './decideAfterFailure.js';
import type {
  AnswerSink,
  BackendFailure,
  BackendHead,
  BackendReplyHandler,
  BackendSend,
  BackendTransport,
  RefusalKind,
  ServingRequest,
} from './ExchangeTypes.js';
import type {RunServices} from './RunServices.js';

/** A request after its checks. */
export interface AdmittedRequest {
  readonly request: ServingRequest;
  readonly route: Route;
  readonly service: string;
  readonly workspace: string | undefined;
  readonly priority: number;
  /** Lists of regions in which the request may run; it may run where all of them allow. */
  readonly homeRegions: readonly (readonly string[])[];
  /** Instant at which the caller must have an answer, monotonic. */
  readonly deadlineAtMs: number;
}

/** How a run ended, for logs and counters. */
export interface RunOutcome {
  readonly kind: 'answered' | 'broken-off' | 'refused' | 'abandoned';
  readonly status: number | undefined;
  readonly refusal: RefusalKind | undefined;
  readonly attempts: number;
  readonly serverId: string | undefined;
  readonly hasRun: boolean;
  readonly firstEventMs: number | undefined;
  readonly totalMs: number;
  readonly detail: string | undefined;
}

/** Options of an `ExchangeRun`. */
export interface ExchangeRunOptions {
  readonly admitted: AdmittedRequest;
  readonly sink: AnswerSink;
  readonly transport: BackendTransport;
  readonly services: RunServices;
  readonly getNowMs: () => number;
  readonly onOutcome: (outcome: RunOutcome) => void;
}

/** One try that is under way. */
interface Try {
  readonly server: KnownServer;
  readonly promptTokens: number;
  readonly sentAtMs: number;
  readonly framer: EventFramer;
  readonly chunks: Buffer[];
  send: BackendSend | undefined;
  head: BackendHead | undefined;
  isPromptRead: boolean;
}

const SUCCESS_CLASS = 2;
const STATUS_CLASS_SIZE = 100;
/** A try with less time than this left to the caller can't end well. */
const MIN_TRY_MS = 5;

/** State machine of one request. */
export class ExchangeRun {
  private readonly options: ExchangeRunOptions;
  private readonly triedIds = new Set<string>();
  private readonly deadlineTimer: NodeJS.Timeout;
  private current: Try | undefined;
  private attempts = 0;
  private hasRun = false;
  private isStarted = false;
  private isDone = false;
  private lastEventId: string | undefined;
  private firstEventMs: number | undefined;
  private status: number | undefined;
  private serverId: string | undefined;

  constructor(options: ExchangeRunOptions) {
    this.options = options;
    this.lastEventId = options.admitted.request.lastEventId;
    const leftMs = Math.max(0, options.admitted.deadlineAtMs - options.getNowMs());
    this.deadlineTimer = setTimeout(() => this.endAtDeadline(), leftMs);
  }

  /** Sends the request to a backend server, or refuses it. */
  start(): void {
    this.sendNext();
  }

  /** Ends the run, since the caller has left. */
  abandon(): void {
    if (this.isDone) return;
    this.closeTry('abandoned');
    this.finish('abandoned', undefined, undefined);
  }

  private sendNext(): void {
    const {admitted, services, transport, getNowMs} = this.options;
    const nowMs = getNowMs();
    const leftMs = admitted.deadlineAtMs - nowMs;
    if (leftMs < MIN_TRY_MS) return this.fail('timeout', undefined);
    const decision = services.choose(admitted, this.triedIds, nowMs);
    if (decision.kind === 'none') return this.fail('no-server', decision.reason);
    const {server, uncachedTokens} = decision;
    this.attempts += 1;
    this.triedIds.add(server.entry.id);
    this.serverId = server.entry.id;
    services.onSent(admitted, server, uncachedTokens, this.attempts, nowMs);
    const attempt = createTry(server, uncachedTokens, nowMs);
    this.current = attempt;
    attempt.send = transport.send(
      {
        request: admitted.request,
        server,
        workspace: admitted.workspace,
        deadlineMs: leftMs,
        priority: admitted.priority,
        isStream: admitted.route.kind === 'stream',
        resumeAfterEventId: this.lastEventId,
        maxConnections: services.getMaxConnections(admitted.service),
      },
      this.createHandler(attempt),
    );
  }

  private createHandler(attempt: Try): BackendReplyHandler {
    const isCurrent = () => this.current === attempt && !this.isDone;
    return {
      onHead: head => {
        if (isCurrent()) this.takeHead(attempt, head);
      },
      onData: chunk => {
        if (isCurrent()) this.takeData(attempt, chunk);
      },
      onEnd: () => {
        if (isCurrent()) this.takeEnd(attempt);
      },
      onFailure: failure => {
        if (isCurrent()) this.takeFailure(attempt, failure);
      },
    };
  }

  private takeHead(attempt: Try, head: BackendHead): void {
    attempt.head = head;
    const {services, getNowMs} = this.options;
    services.onHead(attempt.server, head, getNowMs());
    if (head.isNotRun) return;
    if (!this.isStreamed(head)) this.markPromptRead(attempt);
  }

  private takeData(attempt: Try, chunk: Buffer): void {
    const {head} = attempt;
    if (!head) return;
    if (!this.isStreamed(head)) {
      attempt.chunks.push(chunk);
      return;
    }
    for (const {bytes, lastId} of attempt.framer.add(chunk)) {
      this.markPromptRead(attempt);
      if (this.isRepeated(lastId)) continue;
      this.startAnswer(head);
      this.options.sink.write(bytes);
      if (lastId !== undefined) this.lastEventId = lastId;
    }
  }

  /** A resumed stream may begin with events that the caller already has. */
  private isRepeated(id: string | undefined): boolean {
    if (id === undefined || this.lastEventId === undefined) return false;
    return Number(id) <= Number(this.lastEventId);
  }

  private takeEnd(attempt: Try): void {
    const {head} = attempt;
    if (!head) {
      return this.takeFailure(attempt, {kind: 'broken', isSent: true, message: 'ended early'});
    }
    if (head.isNotRun) return this.endTry(attempt, {kind: 'not-run', status: head.status});
    if (!head.isSigned) return this.endTry(attempt, {kind: 'unsigned', status: head.status});
    if (getStatusClass(head.status) !== SUCCESS_CLASS) {
      return this.endTry(attempt, {kind: 'answered-failure', status: head.status});
    }
    this.deliver(attempt, head);
  }

  private deliver(attempt: Try, head: BackendHead): void {
    const {sink, services, getNowMs} = this.options;
    this.startAnswer(head);
    if (this.isStreamed(head)) sink.write(attempt.framer.getRest());
    for (const chunk of attempt.chunks) sink.write(chunk);
    sink.end();
    services.onTryEnd(attempt.server, isServerFault(head.status) ? 'failed' : 'good', getNowMs());
    this.closeTry('ended');
    this.finish('answered', undefined, undefined);
  }

  private takeFailure(attempt: Try, failure: BackendFailure): void {
    if (failure.isSent && attempt.head?.isNotRun !== true) this.hasRun = true;
    this.endTry(attempt, {
      kind: failure.isSent ? 'broken' : 'unreachable',
      status: undefined,
      message: failure.message,
    });
  }

  private endTry(attempt: Try, end: TryEnd): void {
    const {admitted, services, getNowMs} = this.options;
    const nowMs = getNowMs();
    services.onTryEnd(attempt.server, getHealthOutcome(end), nowMs);
    this.closeTry('ended');
    const decision = decideAfterFailure({
      end,
      kind: admitted.route.kind,
      isResumable: admitted.route.isResumable,
      isAnswerStarted: this.isStarted,
      canResume: this.lastEventId !== undefined || !this.isStarted,
      mayHaveRun: this.hasRun,
      attempts: this.attempts,
      maxAttempts: admitted.route.maxAttempts,
      leftMs: admitted.deadlineAtMs - nowMs,
    });
    if (decision.kind === 'retry' && services.takeRetry(admitted.service, nowMs)) {
      return this.sendNext();
    }
    if (end.kind === 'answered-failure' && attempt.head && !this.isStarted) {
      return this.deliver(attempt, attempt.head);
    }
    this.fail(decision.refusal, end.message ?? `${end.kind} ${end.status ?? ''}`);
  }

  private startAnswer(head: BackendHead): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.status = head.status;
    this.options.sink.start(head.status, head.headers);
  }

  private fail(refusal: RefusalKind, detail: string | undefined): void {
    const {sink, services, admitted} = this.options;
    if (this.isStarted) {
      sink.breakOff();
      return this.finish('broken-off', refusal, detail);
    }
    const isNotRun = !this.hasRun;
    sink.refuse({
      kind: refusal,
      isNotRun,
      retryAfterMs: isNotRun ? services.getRetryAfterMs(refusal, admitted) : undefined,
    });
    this.finish('refused', refusal, detail);
  }

  private endAtDeadline(): void {
    if (this.isDone) return;
    const isSent = this.current !== undefined;
    if (isSent) this.hasRun = true;
    this.closeTry('timeout');
    this.fail('timeout', isSent ? 'no whole answer in time' : 'not sent in time');
  }

  private closeTry(reason: 'ended' | 'abandoned' | 'timeout'): void {
    const attempt = this.current;
    if (!attempt) return;
    this.current = undefined;
    const {services, getNowMs} = this.options;
    if (reason !== 'ended') attempt.send?.cancel();
    if (reason === 'timeout') services.onTryEnd(attempt.server, 'failed', getNowMs());
    if (!attempt.isPromptRead) services.onPromptRead(attempt.server, attempt.promptTokens);
    services.onClosed(attempt.server);
  }

  private markPromptRead(attempt: Try): void {
    this.hasRun = true;
    if (attempt.isPromptRead) return;
    attempt.isPromptRead = true;
    const {admitted, services, getNowMs} = this.options;
    const nowMs = getNowMs();
    this.firstEventMs ??= nowMs - admitted.request.receivedAtMs;
    services.onPromptRead(attempt.server, attempt.promptTokens);
    services.onRunning(admitted, attempt.sentAtMs, nowMs, this.attempts);
  }

  private isStreamed(head: BackendHead): boolean {
    return (
      this.options.admitted.route.kind === 'stream' &&
      head.isSigned &&
      getStatusClass(head.status) === SUCCESS_CLASS
    );
  }

  private finish(
    kind: RunOutcome['kind'],
    refusal: RefusalKind | undefined,
    detail: string | undefined,
  ): void {
    this.isDone = true;
    clearTimeout(this.deadlineTimer);
    const {admitted, getNowMs, onOutcome} = this.options;
    onOutcome({
      kind,
      status: this.status,
      refusal,
      attempts: this.attempts,
      serverId: this.serverId,
      hasRun: this.hasRun,
      firstEventMs: this.firstEventMs,
      totalMs: getNowMs() - admitted.request.receivedAtMs,
      detail,
    });
  }
}

function createTry(server: KnownServer, promptTokens: number, sentAtMs: number): Try {
  return {
    server,
    promptTokens,
    sentAtMs,
    framer: new EventFramer(),
    chunks: [],
    send: undefined,
    head: undefined,
    isPromptRead: false,
  };
}

function getStatusClass(status: number): number {
  return Math.floor(status / STATUS_CLASS_SIZE);
}

function isServerFault(status: number): boolean {
  return getStatusClass(status) >= 5;
}

function getHealthOutcome(end: TryEnd): 'failed' | 'unreachable' | 'full' | 'good' {
  if (end.kind === 'unreachable') return 'unreachable';
  if (end.kind === 'not-run') return 'full';
  if (end.kind === 'answered-failure' && !isServerFault(end.status ?? 0)) return 'good';
  return 'failed';
}
