/** Protocol-independent interfaces between the callers' server, the runs of requests, and the backend transport. */
import type {PromptPart} from '../controllers/placement/index.js';
import type {KnownServer} from '../catalog/index.js';

/** HTTP header fields with lower-case names. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** A completely received request of a caller. */
export interface ServingRequest {
  /** Identifies this transmission; a caller that retries sends another id. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path with the query string. */
  readonly path: string;
  /** API key of the caller; undefined if the request has none. */
  readonly key: string | undefined;
  /** Header fields to forward to the backend server. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Timeout that the caller requests, from `receivedAtMs`; undefined if it requests none. */
  readonly deadlineMs: number | undefined;
  /** Time at which the request began to arrive; monotonic time in milliseconds. */
  readonly receivedAtMs: number;
  /** Segments of the prompt that servers may have cached; empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[];
  /** Tokens that are charged to a quota in tokens; undefined if the request doesn't state them. */
  readonly tokens: number | undefined;
  /** Id of the event after which the caller wants to resume a stream; undefined for a new stream. */
  readonly lastEventId: string | undefined;
  /** Whether another gateway passes the request on, so that this one must not pass it on again. */
  readonly isForwarded: boolean;
}

/** Why the caller gets an error of the gateway instead of a backend server's response. */
export type RefusalKind =
  | 'not-configured'
  | 'not-current'
  | 'stopping'
  | 'no-route'
  | 'no-key'
  | 'over-allotment'
  | 'no-server'
  | 'overloaded'
  | 'quarantined'
  | 'backend-refused'
  | 'backend-failed'
  | 'timeout';

/** An error response of the gateway itself. */
export interface Refusal {
  readonly kind: RefusalKind;
  /** Guarantees that no backend server has run or will run the request, so that the caller may safely retry it. */
  readonly isNotRun: boolean;
  /** Time after which the caller may retry; undefined if a retry can't help or isn't safe. */
  readonly retryAfterMs: number | undefined;
}

/** Receives the response to one request and sends it to the caller. */
export interface ResponseSink {
  /** Starts the response with the status and headers of a backend server. */
  start(status: number, headers: HeaderFields): void;
  write(chunk: Buffer): void;
  /** Whether the caller hasn't taken enough of what was written, so that no more should be written now. */
  readonly isFull: boolean;
  /** Calls back once, when the caller has taken what was written. Never calls back if the caller disconnects. */
  onceDrained(onDrained: () => void): void;
  /** Completes the response. */
  end(): void;
  /** Aborts a started response in a way that the caller can't mistake for its regular end. */
  abortResponse(): void;
  /** Responds with an error of the gateway; only called if no response was started. */
  refuse(refusal: Refusal): void;
}

/** An attempt of a request at one backend server. */
export interface BackendCall {
  readonly request: ServingRequest;
  readonly server: KnownServer;
  /** Workspace of the caller; undefined if the route or the deployment needs no key. */
  readonly workspace: string | undefined;
  /** Time from now to the caller's deadline. */
  readonly deadlineMs: number;
  readonly priority: number;
  readonly isStream: boolean;
  /** Id of the event after which to resume the stream; undefined for a new stream. */
  readonly resumeAfterEventId: string | undefined;
  /** Most connections that this gateway may have open to a server of the service. */
  readonly maxConnections: number;
}

/** A transport failure of an attempt. */
export interface BackendFailure {
  /** No connection, a connection lost during the exchange, or a response that can't be parsed. */
  readonly kind: 'unreachable' | 'broken' | 'garbled';
  /** False only if the server can't have received the request. */
  readonly isSent: boolean;
  readonly message: string;
}

/** Load that a backend server reports of itself. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the server at this moment, relative to the usual time; undefined if it doesn't tell. */
  readonly workFactor: number | undefined;
}

/** Status and headers of a backend server's response. */
export interface BackendHead {
  readonly status: number;
  readonly headers: HeaderFields;
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether callers take the status for the statement that the request has not run and never will. */
  readonly hasNotRunStatus: boolean;
  /** Whether the response carries a signature of the server. */
  readonly isSigned: boolean;
  /** Whether the response's end is marked by a length or by chunks; otherwise it ends with its connection. */
  readonly isFramed: boolean;
  /** Whether the response comes from another server than the intended one. */
  readonly isMisdirected: boolean;
  /** Whether the server states that it is leaving: it wants no new requests. */
  readonly isLeaving: boolean;
  /** Time for which the server, refusing the request, wants none from this gateway; undefined if it names none. */
  readonly pauseMs: number | undefined;
  /** Time for which the server reports that it will stay cold; undefined if it doesn't report one. */
  readonly coldMs: number | undefined;
  /** Requests per second that the server takes from all gateways together; undefined if it names no limit. */
  readonly requestLimit: number | undefined;
  /** Refusals per second for lack of room above which the server crashes; undefined if it doesn't say that it does. */
  readonly refusalsPerSecond?: number;
  /** Load of the server when it sent the head; undefined if it reports none that can be read. */
  readonly load?: ReportedLoad;
}

/** Receives the response of a backend server. Exactly one of `onEnd` and `onFailure` is called, as the last call. */
export interface BackendResponseHandler {
  onHead(head: BackendHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: BackendFailure): void;
}

/** Sends requests to backend servers. */
export interface BackendTransport {
  /** Sends an attempt and reports its response to the handler. */
  send(call: BackendCall, handler: BackendResponseHandler): BackendAttempt;
  /** Returns whether nothing listens at a server's address any more; false if that can't be found out. */
  hasStopped(server: KnownServer): Promise<boolean>;
  /** Returns whether a server's address accepts a connection within a short time. */
  canConnect(server: KnownServer): Promise<boolean>;
  /** Closes the connections that no attempt uses. */
  closeIdleConnections(): void;
}

/** A request that is passed on to another gateway. */
export interface PeerCall {
  readonly request: ServingRequest;
  readonly peer: ForwardingPeer;
  /** Time from now to the caller's deadline. */
  readonly deadlineMs: number;
}

/** A gateway to which requests can be passed on. */
export interface ForwardingPeer {
  readonly id: string;
  /** IP address and port for callers. */
  readonly trafficAddress: string;
}

/** Passes requests on to other gateways, which check, run and charge them as those of a caller. */
export interface PeerTransport {
  /** Sends a request and reports its response to the handler; one without a signature is the other gateway's own. */
  send(call: PeerCall, handler: BackendResponseHandler): BackendAttempt;
}

/** Handle of an attempt in progress. */
export interface BackendAttempt {
  /** Cancels the attempt; the handler isn't called any more. */
  cancel(): void;
  /** Reads no more from the server for now; a little more of the response may still be reported. */
  pause(): void;
  /** Goes on reading after `pause`. */
  resume(): void;
  /**
   * Reports that the response is long overdue, as if the connection had gone silent. The attempt goes on, but idle
   * connections that were opened before the attempt are no longer used: they may have gone silent too.
   * @returns Whether the attempt's connection was kept from an earlier one, so that it may have gone silent.
   */
  reportStall(): boolean;
}
