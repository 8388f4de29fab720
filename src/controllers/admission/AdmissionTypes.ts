/** Input, decisions and limits of admission control. */
import type {ErrorKind} from '../../errors/index.js';

/** The properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly requestClass: string;
  /** Deadline for the first token. The request is refused if its expected queueing time exceeds it. */
  readonly deadlineAtMs: number;
  /** Time until which a start meets the request's latency target; undefined if it has none. */
  readonly latestStartAtMs?: number;
  /** Time of the caller's first try, if an earlier one was refused; undefined if it isn't known. */
  readonly firstTryAtMs?: number;
}

/** Whether a request is admitted now, queued, or refused. */
export type AdmissionDecision =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'queued';
      /** Queued request that was removed to make space for this one; undefined if the queue wasn't full. */
      readonly displacedRequestId?: string;
    }
  | {readonly kind: 'refused'; readonly errorKind: ErrorKind; readonly reason: string};

/** Fair share and request limit of a workspace. */
export interface WorkspaceLimit {
  readonly name: string;
  /** Weight in fair queueing, relative to the other workspaces. */
  readonly shareWeight: number;
  /** Most requests of the workspace that may be running or queued at a time. */
  readonly maxOpenRequests: number;
}

/** Scheduling priority of a request class. */
export interface ClassPriority {
  readonly name: string;
  /** A lower number is served first. */
  readonly priority: number;
}

/** Limits of admission from the configuration in force. */
export interface AdmissionLimits {
  readonly workspaces: readonly WorkspaceLimit[];
  readonly requestClasses: readonly ClassPriority[];
  /** Most requests that may be running at a time, over all workspaces. */
  readonly maxRunningRequests: number;
  /** Most requests that may be queued at a time, over all workspaces. */
  readonly maxQueuedRequests: number;
}
