/** What goes into the run of a request, and what comes out of it for logs and metrics. */
import type {Route} from '../catalog/index.js';
import type {RefusalKind, ServingRequest} from './ExchangeTypes.js';

/** A request that has passed the checks of route, key and quota. */
export interface AdmittedRequest {
  readonly request: ServingRequest;
  readonly route: Route;
  readonly service: string;
  /** Workspace of the caller; undefined if the route or the deployment needs no key. */
  readonly workspace: string | undefined;
  readonly priority: number;
  /**
   * Lists of allowed regions. The request may run in a region that is in all of them; an empty list allows every one.
   */
  readonly homeRegions: readonly (readonly string[])[];
  /** Time by which the caller must have the complete response; monotonic time in milliseconds. */
  readonly deadlineAtMs: number;
}

/** Result of a run, for logs and metrics. */
export interface RunOutcome {
  /**
   * - `answered`: the caller got a complete response of a backend server.
   * - `broken-off`: a response was started, but had to be aborted.
   * - `refused`: the caller got an error of the gateway.
   * - `abandoned`: the caller disconnected.
   */
  readonly kind: 'answered' | 'broken-off' | 'refused' | 'abandoned';
  /** Status of the started response; undefined if none was started. */
  readonly status: number | undefined;
  /** Why no complete response was possible; undefined if there was one or the caller disconnected. */
  readonly refusal: RefusalKind | undefined;
  readonly attempts: number;
  /** Server of the last attempt; undefined if there was no attempt. */
  readonly serverId: string | undefined;
  /** Software version of that server. */
  readonly softwareVersion: string | undefined;
  /** Whether a backend server has or may have run the request. */
  readonly hasRun: boolean;
  /** Time from the request's arrival to the first event or response head; undefined if there was none. */
  readonly firstEventMs: number | undefined;
  /** Time from the request's arrival to the end of the run. */
  readonly totalMs: number;
  /** Description of the failure; undefined if there was none. */
  readonly detail: string | undefined;
}
