/** What admission reads and what it answers. */
import type {ErrorKind} from '../../errors/index.js';

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly requestClass: string;
  /** Instant at which its first token must have come, or the request is refused. */
  readonly deadlineAtMs: number;
}

/** Whether a request may be sent now, waits, or is refused. */
export type AdmissionDecision =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'queued';
      /** Waiting request that gave up its place. */ readonly displacedRequestId?: string;
    }
  | {readonly kind: 'refused'; readonly errorKind: ErrorKind; readonly reason: string};

/** Share and bound of a workspace. */
export interface WorkspaceLimit {
  readonly name: string;
  readonly shareWeight: number;
  /** Requests that may run or wait at a time. */
  readonly maxOpenRequests: number;
}

/** Priority of a class of requests. */
export interface ClassPriority {
  readonly name: string;
  /** Lower numbers go first. */
  readonly priority: number;
}

/** Limits of admission as they are now. */
export interface AdmissionLimits {
  readonly workspaces: readonly WorkspaceLimit[];
  readonly requestClasses: readonly ClassPriority[];
  /** Requests that may run at a time. */
  readonly maxRunningRequests: number;
  /** Requests that may wait at a time. */
  readonly maxQueuedRequests: number;
}
