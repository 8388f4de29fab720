/** Passes one request on to another gateway, and its response back to the caller. */
import {afterNextPoll} from '../utils/index.js';
import type {
  BackendAttempt,
  BackendFailure,
  BackendHead,
  ForwardingPeer,
  PeerTransport,
  RefusalKind,
  ResponseSink,
  ServingRequest,
} from './ExchangeTypes.js';

/** How a forwarded request ended, for logs and metrics. */
export interface ForwardedOutcome {
  /**
   * - `passed-back`: the caller got the complete response of the other gateway, whatever its status.
   * - `broken-off`: a response was started, but had to be aborted.
   * - `refused`: the caller got an error of this gateway.
   * - `abandoned`: the caller disconnected.
   */
  readonly kind: 'passed-back' | 'broken-off' | 'refused' | 'abandoned';
  readonly status: number | undefined;
  readonly peerId: string | undefined;
  readonly totalMs: number;
  readonly detail: string | undefined;
}

/** Options of a `ForwardedRun`. */
export interface ForwardedRunOptions {
  readonly request: ServingRequest;
  /** Time by which the caller must have the complete response; monotonic time in milliseconds. */
  readonly deadlineAtMs: number;
  readonly sink: ResponseSink;
  readonly transport: PeerTransport;
  /** Returns a gateway that isn't in `triedIds`; undefined if there is none. */
  readonly choosePeer: (triedIds: ReadonlySet<string>) => ForwardingPeer | undefined;
  /** Called each time the request is sent to a gateway. */
  readonly onSent: (peerId: string) => void;
  /** Time after which a refused caller may retry. */
  readonly retryAfterMs: number;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Called exactly once, at the end of the run. */
  readonly onOutcome: (outcome: ForwardedOutcome) => void;
}

/** Another gateway is asked if the first one couldn't be reached or refused the request. */
const MAX_PEERS = 2;
/** The other gateway ends the request at the deadline itself; its response takes some time to arrive. */
const RESPONSE_MARGIN_MS = 100;
const REFUSED_STATUS = 503;

/**
 * A forwarded request. The other gateway decides everything: it checks, charges and runs the request and refuses it
 * truthfully, so what it responds is passed back as it is. Only if it can't have begun is another one asked.
 */
export class ForwardedRun {
  private readonly options: ForwardedRunOptions;
  private readonly triedIds = new Set<string>();
  private readonly deadlineTimer: NodeJS.Timeout;
  private current: BackendAttempt | undefined;
  private peerId: string | undefined;
  private status: number | undefined;
  private isSent = false;
  private isDone = false;

  constructor(options: ForwardedRunOptions) {
    this.options = options;
    const remainingMs = Math.max(0, options.deadlineAtMs - options.getNowMs());
    const end = () => afterNextPoll(() => this.endAtDeadline());
    this.deadlineTimer = setTimeout(end, remainingMs + RESPONSE_MARGIN_MS);
  }

  /** Sends the request to another gateway, or refuses it. */
  start(): void {
    this.sendNext('no gateway reaches the servers');
  }

  /** Cancels the request, when the caller has disconnected; nothing more is written to the sink. */
  abandon(): void {
    if (this.isDone) return;
    this.current?.cancel();
    this.finish('abandoned', undefined);
  }

  /** Ends the run because the process stops. */
  stop(): void {
    if (this.isDone) return;
    this.current?.cancel();
    this.fail('stopping', 'the gateway stopped before the response was complete');
  }

  /** @param detail - Why no other gateway was successful. */
  private sendNext(detail: string): void {
    const {request, deadlineAtMs, transport, choosePeer, getNowMs} = this.options;
    const deadlineMs = deadlineAtMs - getNowMs();
    const peer = this.triedIds.size < MAX_PEERS ? choosePeer(this.triedIds) : undefined;
    if (!peer || deadlineMs <= 0) return this.fail('no-server', detail);
    this.triedIds.add(peer.id);
    this.peerId = peer.id;
    this.isSent = true;
    this.options.onSent(peer.id);
    const {size: tries} = this.triedIds;
    const isCurrent = () => !this.isDone && this.triedIds.size === tries;
    const attempt = transport.send(
      {request, peer, deadlineMs},
      {
        onHead: head => {
          if (isCurrent()) this.handleHead(head);
        },
        onData: chunk => {
          if (isCurrent()) this.handleData(chunk);
        },
        onEnd: () => {
          if (isCurrent()) this.handleEnd();
        },
        onFailure: failure => {
          if (isCurrent()) this.handleFailure(failure);
        },
      },
    );
    // The other gateway may have refused the request already, and a further one been asked.
    if (isCurrent()) this.current = attempt;
  }

  private handleHead(head: BackendHead): void {
    const isRefusal = head.status === REFUSED_STATUS && !head.isSigned;
    if (isRefusal && this.triedIds.size < MAX_PEERS && this.hasOtherPeer()) {
      this.current?.cancel();
      this.isSent = false;
      return this.sendNext('refused by another gateway');
    }
    this.status = head.status;
    this.options.sink.start(head.status, head.headers);
  }

  private hasOtherPeer(): boolean {
    return this.options.choosePeer(this.triedIds) !== undefined;
  }

  private handleData(chunk: Buffer): void {
    const {sink} = this.options;
    sink.write(chunk);
    if (!sink.isFull) return;
    this.current?.pause();
    sink.onceDrained(() => this.current?.resume());
  }

  private handleEnd(): void {
    if (this.status === undefined) return this.fail('backend-failed', 'no response');
    this.options.sink.end();
    this.finish('passed-back', undefined);
  }

  private handleFailure({isSent, message}: BackendFailure): void {
    if (!isSent) {
      this.isSent = false;
      return this.sendNext(message);
    }
    this.fail('backend-failed', message);
  }

  private endAtDeadline(): void {
    if (this.isDone) return;
    this.current?.cancel();
    this.fail('timeout', 'no complete response before the deadline');
  }

  private fail(kind: RefusalKind, detail: string): void {
    const {sink, retryAfterMs} = this.options;
    if (this.status !== undefined) {
      sink.abortResponse();
      return this.finish('broken-off', detail);
    }
    const isNotRun = !this.isSent;
    sink.refuse({kind, isNotRun, retryAfterMs: isNotRun ? retryAfterMs : undefined});
    this.finish('refused', detail);
  }

  private finish(kind: ForwardedOutcome['kind'], detail: string | undefined): void {
    const {request, getNowMs, onOutcome} = this.options;
    this.isDone = true;
    this.current = undefined;
    clearTimeout(this.deadlineTimer);
    const totalMs = getNowMs() - request.receivedAtMs;
    onOutcome({kind, status: this.status, peerId: this.peerId, totalMs, detail});
  }
}
