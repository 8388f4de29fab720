/** Interface of a run to the shared state of its gateway: placement, retry budget, and statistics. */
import type {KnownServer} from '../catalog/index.js';
import type {HealthOutcome, PlacementDecision} from '../controllers/placement/index.js';
import type {QuarantineCheck} from '../controllers/quarantine/index.js';
import type {BufferAccount} from '../utils/index.js';
import type {Expectation} from './Attempt.js';
import type {AdmittedRequest} from './RunTypes.js';
import type {BackendHead, RefusalKind} from './ExchangeTypes.js';

/** An attempt whose connection ended before its response was complete. */
export interface LostAttempt {
  readonly server: KnownServer;
  /** Time since it was sent. */
  readonly sinceSentMs: number;
  /** Time since its first event or the head of its response; undefined if it had none. */
  readonly sinceFirstEventMs: number | undefined;
  /** Error message of the transport. */
  readonly message: string;
}

/** A complete response of an attempt. */
export interface Answer {
  /** Time since its first event or its head. */
  readonly sinceFirstEventMs: number;
  /** Whether its end was marked; the end of a connection may also be the server's. */
  readonly isFramed: boolean;
}

/** An attempt that is known to run. */
export interface RunningAttempt {
  readonly server: KnownServer;
  /** Prompt tokens that the server was expected to prefill. */
  readonly promptTokens: number;
  readonly expectation: Expectation;
  readonly sentAtMs: number;
}

/** How an attempt that its server has begun or completed went. */
export interface AttemptMeasurement {
  readonly server: KnownServer;
  /** Prompt tokens that the server was expected to prefill. */
  readonly promptTokens: number;
  readonly hasFailed: boolean;
  /** Whether it failed because its connection was lost. */
  readonly isConnectionLost: boolean;
  /** Time from its sending to its first event or head; undefined if there was none. */
  readonly firstEventMs: number | undefined;
  /** Time from its sending to its end. */
  readonly durationMs: number;
  /** Mean time between its events; undefined if there were fewer than two. */
  readonly interEventMs: number | undefined;
}

/** Decisions for a run, and callbacks for its observations. All times are monotonic time in milliseconds. */
export interface RunServices {
  /** Returns whether a request may be sent, or contains what has crashed servers. */
  checkQuarantine(admitted: AdmittedRequest, nowMs: number): QuarantineCheck;
  /** Returns why a request that was admitted may not be sent again; undefined if it may. */
  recheck(admitted: AdmittedRequest): RefusalKind | undefined;
  /** Chooses the backend server of the next attempt, other than those in `attemptedServerIds`. */
  choose(
    admitted: AdmittedRequest,
    attemptedServerIds: ReadonlySet<string>,
    nowMs: number,
  ): PlacementDecision;
  /** Deducts a retry from the budget of a service; returns false if the budget is exhausted. */
  consumeRetry(service: string, nowMs: number): boolean;
  /** Returns this gateway's share of the connections that a server of the service accepts. */
  getMaxConnections(service: string): number;
  /**
   * Opens an account for the memory that the run's response takes before it is passed on.
   * @param onExceeded - Called if the gateway lacks memory and this response takes the most.
   */
  openBuffer(onExceeded: () => void): BufferAccount;
  /** Returns the time after which a refused caller may retry. */
  getRetryAfterMs(refusal: RefusalKind, admitted: AdmittedRequest): number;
  /** Returns the time after which an attempt without a first event or head is overdue. */
  getStallMs(admitted: AdmittedRequest, nowMs: number): number;
  /** Called once per attempt that is overdue. */
  onStalled(admitted: AdmittedRequest, server: KnownServer, nowMs: number): void;
  /** Called before an attempt is sent; `attempt` counts from 1, `promptTokens` are those expected to be prefilled. */
  onSent(
    admitted: AdmittedRequest,
    server: KnownServer,
    promptTokens: number,
    attempt: number,
    nowMs: number,
  ): void;
  /** Called when a part of a response has arrived. */
  onReceived(server: KnownServer, nowMs: number): void;
  /** Called when the head of a response has arrived. */
  onHead(server: KnownServer, head: BackendHead, nowMs: number): void;
  /** Called once per attempt: when its prompt has been prefilled, or when it ends before that. */
  onPrefillEnd(server: KnownServer, promptTokens: number): void;
  /** Called when an attempt is known to run, by its first event or the head of its response. */
  onRunning(
    admitted: AdmittedRequest,
    running: RunningAttempt,
    nowMs: number,
    attempt: number,
  ): void;
  /** Called with the outcome of an attempt for the health of its server; not called if the caller disconnected. */
  onAttemptEnd(server: KnownServer, outcome: HealthOutcome, nowMs: number): void;
  /** Called once per attempt that was answered, failed, or timed out; not if its server didn't run it. */
  onMeasured(admitted: AdmittedRequest, measurement: AttemptMeasurement, nowMs: number): void;
  /** Called when an attempt may have run and its connection ended before its response was complete. */
  onLost(admitted: AdmittedRequest, attempt: LostAttempt, nowMs: number): void;
  /** Called when the complete response of an attempt has been received. */
  onAnswered(admitted: AdmittedRequest, answer: Answer): void;
  /** Called once per attempt, when it no longer counts as open. */
  onClosed(server: KnownServer): void;
}
