/** Runs one admitted request: sends attempts to backend servers until the caller has a response or an error. */
import {afterNextPoll, type BufferAccount} from '../utils/index.js';
import {
  createAttempt,
  getHealthOutcome,
  getResult,
  isServerError,
  isSuccess,
  measureAttempt,
  type Attempt,
  type AttemptResult,
} from './Attempt.js';
import {
  decideAfterFailure,
  mayRunAgain,
  type AttemptFailure,
  type FailureDecision,
} from './decideAfterFailure.js';
import type {FramedEvent} from './EventFramer.js';
import type {
  ResponseSink,
  BackendFailure,
  BackendHead,
  BackendResponseHandler,
  BackendTransport,
  RefusalKind,
} from './ExchangeTypes.js';
import type {RunServices} from './RunServices.js';
import type {AdmittedRequest, RunOutcome} from './RunTypes.js';

/** Options of an `ExchangeRun`. */
export interface ExchangeRunOptions {
  readonly admitted: AdmittedRequest;
  readonly sink: ResponseSink;
  readonly transport: BackendTransport;
  readonly services: RunServices;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Called exactly once, at the end of the run. */
  readonly onOutcome: (outcome: RunOutcome) => void;
}

/** Largest body of a response that isn't streamed, and largest event of a stream; more is no response of a server. */
const MAX_BODY_BYTES = 4_194_304;
const MAX_EVENT_BYTES = 262_144;
/** No attempt is started with less time than this to the deadline. */
const MIN_ATTEMPT_MS = 5;

/**
 * State machine of one request, with at most one attempt at a time.
 *
 * A streamed response is forwarded event by event. It can be resumed on another server after its last complete event,
 * if the route allows it. Any other response is buffered until it is complete, so that it can still be replaced by one
 * of another attempt.
 */
export class ExchangeRun {
  private readonly options: ExchangeRunOptions;
  private readonly attemptedServerIds = new Set<string>();
  private readonly deadlineTimer: NodeJS.Timeout;
  private readonly buffer: BufferAccount;
  private current: Attempt | undefined;
  private attempts = 0;
  private hasRun = false;
  private isResponseStarted = false;
  private isDone = false;
  /** Whether the caller has yet to take events before more are read from a server. */
  private isHeld = false;
  private lastEventId: string | undefined;
  private firstEventMs: number | undefined;
  private status: number | undefined;
  private serverId: string | undefined;
  private softwareVersion: string | undefined;

  constructor(options: ExchangeRunOptions) {
    this.options = options;
    this.lastEventId = options.admitted.request.lastEventId;
    this.buffer = options.services.openBuffer(() => this.endLargestBuffer());
    const remainingMs = Math.max(0, options.admitted.deadlineAtMs - options.getNowMs());
    // After a suspension, timers are called before the responses that have arrived meanwhile are read.
    const end = () => afterNextPoll(() => this.endAtDeadline());
    this.deadlineTimer = setTimeout(end, remainingMs);
  }

  /** Sends the request to a backend server, or refuses it. */
  start(): void {
    this.sendNext();
  }

  /** Cancels the run, when the caller has disconnected; nothing more is written to the sink. */
  abandon(): void {
    if (this.isDone) return;
    this.markMaybeRun();
    this.closeAttempt('abandoned');
    this.finish('abandoned', undefined, undefined);
  }

  /** Ends the run because the process stops; a response that has been started is aborted. */
  stop(): void {
    if (this.isDone) return;
    this.markMaybeRun();
    this.closeAttempt('abandoned');
    this.fail('stopping', 'the gateway stopped before the response was complete');
  }

  private sendNext(): void {
    const {admitted, services, transport, getNowMs} = this.options;
    const nowMs = getNowMs();
    const remainingMs = admitted.deadlineAtMs - nowMs;
    if (remainingMs < MIN_ATTEMPT_MS) return this.fail('timeout', undefined);
    const refusal = this.attempts > 0 ? services.recheck(admitted) : undefined;
    if (refusal) return this.fail(this.hasRun ? 'backend-failed' : refusal, refusal);
    const quarantine = services.checkQuarantine(admitted, nowMs);
    if (quarantine.kind === 'refused') {
      return this.fail('quarantined', undefined, quarantine.retryAfterMs);
    }
    const decision = services.choose(admitted, this.attemptedServerIds, nowMs);
    if (decision.kind === 'none') {
      return this.fail('no-server', decision.reason, decision.retryAfterMs);
    }
    const {server, uncachedTokens, expectedFirstEventMs, workFactor} = decision;
    this.attempts += 1;
    this.attemptedServerIds.add(server.entry.id);
    this.serverId = server.entry.id;
    this.softwareVersion = server.entry.softwareVersion;
    services.onSent(admitted, server, uncachedTokens, this.attempts, nowMs);
    const attempt = createAttempt(server, {
      promptTokens: uncachedTokens,
      expectation: {firstEventMs: expectedFirstEventMs, workFactor},
      sentAtMs: nowMs,
      resumeAfterEventId: admitted.route.isResumable ? this.lastEventId : undefined,
    });
    this.current = attempt;
    attempt.send = transport.send(
      {
        request: admitted.request,
        server,
        workspace: admitted.workspace,
        deadlineMs: remainingMs,
        priority: admitted.priority,
        isStream: admitted.route.kind === 'stream',
        resumeAfterEventId: this.lastEventId,
        maxConnections: services.getMaxConnections(admitted.service),
      },
      this.createHandler(attempt),
    );
    if (this.isHeld) attempt.send.pause();
    const handleStall = () => afterNextPoll(() => this.handleStall(attempt));
    attempt.stallTimer = setTimeout(handleStall, services.getStallMs(admitted, nowMs));
  }

  /**
   * Handles an attempt that is overdue. One on a kept connection is sent again if it is idempotent: the connection may
   * have gone silent. Any other one is waited for, since it may be running.
   */
  private handleStall(attempt: Attempt): void {
    const {admitted, services, getNowMs} = this.options;
    if (this.current !== attempt || attempt.head) return;
    services.onStalled(admitted, attempt.server, getNowMs());
    const mayBeSilent = attempt.send?.reportStall() ?? false;
    if (!mayBeSilent || admitted.route.kind !== 'idempotent') return;
    const end = {kind: 'stalled', status: undefined} as const;
    if (this.decideAfter(end, true).kind !== 'retry') return;
    if (!services.consumeRetry(admitted.service, getNowMs())) return;
    this.hasRun = true;
    this.settleAttempt(attempt, end);
    attempt.send?.cancel();
    this.sendNext();
  }

  private createHandler(attempt: Attempt): BackendResponseHandler {
    const isCurrent = () => this.current === attempt && !this.isDone;
    return {
      onHead: head => {
        this.options.services.onReceived(attempt.server, this.options.getNowMs());
        if (isCurrent()) this.handleHead(attempt, head);
      },
      onData: chunk => {
        this.options.services.onReceived(attempt.server, this.options.getNowMs());
        if (isCurrent()) this.handleData(attempt, chunk);
      },
      onEnd: () => {
        if (isCurrent()) this.handleEnd(attempt);
      },
      onFailure: failure => {
        if (isCurrent()) this.handleFailure(attempt, failure);
      },
    };
  }

  private handleHead(attempt: Attempt, head: BackendHead): void {
    attempt.head = head;
    clearTimeout(attempt.stallTimer);
    const {services, getNowMs} = this.options;
    services.onHead(attempt.server, head, getNowMs());
    if (head.isNotRun) return;
    this.hasRun = true;
    if (!this.isStreamed(head)) this.markPrefillDone(attempt);
  }

  private handleData(attempt: Attempt, chunk: Buffer): void {
    const {head} = attempt;
    if (!head) return;
    if (this.isStreamed(head)) this.forwardEvents(attempt, head, attempt.framer.add(chunk));
    else attempt.body.append(chunk);
    if (
      attempt.body.length > MAX_BODY_BYTES ||
      attempt.framer.getIncompleteEvent().length > MAX_EVENT_BYTES
    ) {
      return this.failOversized(attempt, 'the response is larger than any response may be');
    }
    this.buffer.setBytes(attempt.body.capacityBytes + attempt.framer.bufferedBytes);
  }

  /** Forwards the events of one chunk with one write: each write costs memory until the caller has taken it. */
  private forwardEvents(attempt: Attempt, head: BackendHead, events: readonly FramedEvent[]): void {
    if (events.length === 0) return;
    this.markPrefillDone(attempt);
    attempt.events += events.length;
    const newEvents = events.filter(({eventId}) => !attempt.resumePoint.isRepeated(eventId));
    if (newEvents.length === 0) return;
    this.startResponse(head);
    this.options.sink.write(joinEvents(newEvents));
    if (this.options.sink.isFull) this.holdUntilDrained(attempt);
    const lastEventId = newEvents.findLast(({eventId}) => eventId !== undefined)?.eventId;
    if (lastEventId !== undefined) this.lastEventId = lastEventId === '' ? undefined : lastEventId;
  }

  /** Pauses the server, so that no more is kept here than the caller takes. */
  private holdUntilDrained(attempt: Attempt): void {
    attempt.wasHeld = true;
    attempt.send?.pause();
    if (this.isHeld) return;
    this.isHeld = true;
    this.options.sink.onceDrained(() => {
      this.isHeld = false;
      this.current?.send?.resume();
    });
  }

  /** Called if all responses together take too much memory, and this one the most. */
  private endLargestBuffer(): void {
    if (!this.current) return;
    this.failOversized(this.current, 'the gateway has no memory left for the response');
  }

  /** Ends an attempt whose server sends bytes without end. */
  private failOversized(attempt: Attempt, message: string): void {
    attempt.send?.cancel();
    if (attempt.head?.isNotRun) {
      return this.failAttempt(attempt, {kind: 'not-run', status: attempt.head.status});
    }
    this.handleFailure(attempt, {
      kind: 'garbled',
      isSent: true,
      message,
    });
  }

  private handleEnd(attempt: Attempt): void {
    const {head} = attempt;
    if (!head) {
      return this.handleFailure(attempt, {
        kind: 'broken',
        isSent: true,
        message: 'the response ended before its head',
      });
    }
    if (head.isNotRun) return this.failAttempt(attempt, {kind: 'not-run', status: head.status});
    if (!head.isSigned) return this.failAttempt(attempt, {kind: 'unsigned', status: head.status});
    if (!isSuccess(head.status)) {
      return this.failAttempt(attempt, {kind: 'answered-failure', status: head.status});
    }
    if (this.isStreamed(head) && !attempt.framer.isAtEventEnd) {
      return this.handleFailure(attempt, {
        kind: 'broken',
        isSent: true,
        message: 'the stream ended inside an event',
      });
    }
    this.deliver(attempt, head);
  }

  private deliver(attempt: Attempt, head: BackendHead): void {
    const {admitted, sink, services, getNowMs} = this.options;
    this.startResponse(head);
    if (this.isStreamed(head)) sink.write(attempt.framer.getIncompleteEvent());
    sink.write(attempt.body.getBytes());
    sink.end();
    services.onAttemptEnd(
      attempt.server,
      isServerError(head.status) ? 'failed' : 'good',
      getNowMs(),
    );
    const nowMs = getNowMs();
    const sinceFirstEventMs = nowMs - (attempt.firstEventAtMs ?? nowMs);
    services.onAnswered(admitted, {sinceFirstEventMs, isFramed: head.isFramed});
    this.measure(attempt, isServerError(head.status) ? 'failed' : 'good');
    this.closeAttempt('ended');
    this.finish('answered', undefined, undefined);
  }

  private handleFailure(attempt: Attempt, failure: BackendFailure): void {
    if (failure.isSent && attempt.head?.isNotRun !== true) {
      this.hasRun = true;
      this.reportLost(attempt, failure.message);
    }
    this.failAttempt(attempt, {
      kind: failure.isSent ? 'broken' : 'unreachable',
      status: undefined,
      message: failure.message,
    });
  }

  private reportLost({server, sentAtMs, firstEventAtMs}: Attempt, message: string): void {
    const {admitted, services, getNowMs} = this.options;
    const nowMs = getNowMs();
    const sinceFirstEventMs = firstEventAtMs === undefined ? undefined : nowMs - firstEventAtMs;
    services.onLost(
      admitted,
      {server, sinceSentMs: nowMs - sentAtMs, sinceFirstEventMs, message},
      nowMs,
    );
  }

  private failAttempt(attempt: Attempt, end: AttemptFailure): void {
    const {admitted, services, getNowMs} = this.options;
    this.settleAttempt(attempt, end);
    const decision = this.decideAfter(end, this.hasRun);
    if (decision.kind === 'retry' && services.consumeRetry(admitted.service, getNowMs())) {
      return this.sendNext();
    }
    if (end.kind === 'answered-failure' && attempt.head && this.canDeliver(attempt.head)) {
      return this.deliver(attempt, attempt.head);
    }
    this.fail(decision.refusal, end.message ?? `${end.kind} ${end.status ?? ''}`);
  }

  /**
   * Returns whether a server's failure may reach the caller as it is. A server that ran a request may respond with a
   * status after which callers send it again; of a request that must not run twice they get an error of the gateway.
   */
  private canDeliver(head: BackendHead): boolean {
    if (this.isResponseStarted) return false;
    return !head.hasNotRunStatus || mayRunAgain(this.options.admitted.route);
  }

  /** Reports a failed attempt, which then no longer counts as open. */
  private settleAttempt(attempt: Attempt, end: AttemptFailure): void {
    const {services, getNowMs} = this.options;
    services.onAttemptEnd(attempt.server, getHealthOutcome(end), getNowMs());
    this.measure(attempt, getResult(end));
    this.closeAttempt('ended');
  }

  private decideAfter(end: AttemptFailure, mayHaveRun: boolean): FailureDecision {
    const {admitted, getNowMs} = this.options;
    return decideAfterFailure({
      end,
      kind: admitted.route.kind,
      isResumable: admitted.route.isResumable,
      isResponseStarted: this.isResponseStarted,
      canResume: this.lastEventId !== undefined || !this.isResponseStarted,
      mayHaveRun,
      attempts: this.attempts,
      maxAttempts: admitted.route.maxAttempts,
      remainingMs: admitted.deadlineAtMs - getNowMs(),
    });
  }

  private startResponse(head: BackendHead): void {
    if (this.isResponseStarted) return;
    this.isResponseStarted = true;
    this.status = head.status;
    this.options.sink.start(head.status, head.headers);
  }

  /** @param retryAfterMs - Undefined for the usual delay of the refusal. */
  private fail(refusal: RefusalKind, detail: string | undefined, retryAfterMs?: number): void {
    const {sink, services, admitted} = this.options;
    if (this.isResponseStarted) {
      sink.abortResponse();
      return this.finish('broken-off', refusal, detail);
    }
    const isNotRun = !this.hasRun;
    sink.refuse({
      kind: refusal,
      isNotRun,
      retryAfterMs: isNotRun
        ? (retryAfterMs ?? services.getRetryAfterMs(refusal, admitted))
        : undefined,
    });
    this.finish('refused', refusal, detail);
  }

  private endAtDeadline(): void {
    if (this.isDone) return;
    const isSent = this.current !== undefined;
    this.markMaybeRun();
    this.closeAttempt('timeout');
    this.fail(
      'timeout',
      isSent ? 'no complete response before the deadline' : 'not sent before the deadline',
    );
  }

  /** Records, before an attempt is cancelled, that its server may run the request, unless it stated that it doesn't. */
  private markMaybeRun(): void {
    if (this.current !== undefined && this.current.head?.isNotRun !== true) this.hasRun = true;
  }

  private closeAttempt(reason: 'ended' | 'abandoned' | 'timeout'): void {
    const attempt = this.current;
    if (!attempt) return;
    this.current = undefined;
    clearTimeout(attempt.stallTimer);
    this.buffer.setBytes(0);
    const {services, getNowMs} = this.options;
    if (reason !== 'ended') attempt.send?.cancel();
    if (reason === 'timeout') {
      services.onAttemptEnd(attempt.server, 'failed', getNowMs());
      this.measure(attempt, 'failed');
    }
    if (attempt.firstEventAtMs === undefined)
      services.onPrefillEnd(attempt.server, attempt.promptTokens);
    services.onClosed(attempt.server);
  }

  /** Reports an attempt once; one that failed may still be delivered, if there is no other response. */
  private measure(attempt: Attempt, result: AttemptResult): void {
    if (attempt.isMeasured || result === 'not-run') return;
    attempt.isMeasured = true;
    const {admitted, services, getNowMs} = this.options;
    const nowMs = getNowMs();
    services.onMeasured(admitted, measureAttempt(attempt, result, nowMs), nowMs);
  }

  private markPrefillDone(attempt: Attempt): void {
    this.hasRun = true;
    if (attempt.firstEventAtMs !== undefined) return;
    const {admitted, services, getNowMs} = this.options;
    const nowMs = getNowMs();
    attempt.firstEventAtMs = nowMs;
    this.firstEventMs ??= nowMs - admitted.request.receivedAtMs;
    services.onPrefillEnd(attempt.server, attempt.promptTokens);
    services.onRunning(admitted, attempt, nowMs, this.attempts);
  }

  private isStreamed(head: BackendHead): boolean {
    return this.options.admitted.route.kind === 'stream' && head.isSigned && isSuccess(head.status);
  }

  private finish(
    kind: RunOutcome['kind'],
    refusal: RefusalKind | undefined,
    detail: string | undefined,
  ): void {
    this.isDone = true;
    clearTimeout(this.deadlineTimer);
    this.buffer.close();
    const {admitted, getNowMs, onOutcome} = this.options;
    onOutcome({
      kind,
      status: this.status,
      refusal,
      attempts: this.attempts,
      serverId: this.serverId,
      softwareVersion: this.softwareVersion,
      hasRun: this.hasRun,
      firstEventMs: this.firstEventMs,
      totalMs: getNowMs() - admitted.request.receivedAtMs,
      detail,
    });
  }
}

function joinEvents(events: readonly FramedEvent[]): Buffer {
  const [first] = events;
  return events.length === 1 ? first.bytes : Buffer.concat(events.map(({bytes}) => bytes));
}
