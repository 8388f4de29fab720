/** Holds requests back until the admission queue lets them run. */
import type {AdmissionQueue, AdmissionRequest} from '../controllers/admission/index.js';
import {ServingError} from '../errors/index.js';

type Waiter = (error?: ServingError) => void;

/** Options of an `AdmissionGate`. */
export interface AdmissionGateOptions {
  readonly queue: AdmissionQueue;
  readonly getNowMs: () => number;
}

/** Gives each admitted request a release function, and each queued one its turn. */
export class AdmissionGate {
  private readonly options: AdmissionGateOptions;
  private readonly waiters = new Map<string, Waiter>();

  constructor(options: AdmissionGateOptions) {
    this.options = options;
  }

  /**
   * Waits until a request may run.
   * @param request - The request.
   * @param signal - Aborted when the caller has gone.
   * @returns A function to call when the request has ended.
   * @throws ServingError where the request is refused or its caller has gone.
   */
  async enter(request: AdmissionRequest, signal: AbortSignal): Promise<() => void> {
    const {queue, getNowMs} = this.options;
    const decision = queue.addRequest(request, getNowMs());
    if (decision.kind === 'refused') {
      throw new ServingError(decision.reason, {kind: decision.errorKind});
    }
    if (decision.kind === 'queued' && decision.displacedRequestId !== undefined) {
      this.waiters.get(decision.displacedRequestId)?.(createDisplacement());
    }
    const release = () => this.admit(queue.removeRequest(request.requestId, getNowMs()));
    if (decision.kind === 'admitted') return release;
    try {
      await this.waitForTurn(request, signal);
    } catch (error) {
      release();
      throw error;
    }
    return release;
  }

  /** Admits waiting requests where there is more room than before. */
  admitWaiting(): void {
    this.admit(this.options.queue.admitWaiting(this.options.getNowMs()));
  }

  private waitForTurn(request: AdmissionRequest, signal: AbortSignal): Promise<void> {
    const {requestId, deadlineAtMs} = request;
    return new Promise((resolve, reject) => {
      const settle: Waiter = error => {
        this.waiters.delete(requestId);
        clearTimeout(timer);
        signal.removeEventListener('abort', leave);
        if (error) reject(error);
        else resolve();
      };
      const leave = () => settle(createRefusal('the caller has gone'));
      const waitMs = Math.max(0, deadlineAtMs - this.options.getNowMs());
      const timer = setTimeout(() => settle(createRefusal('no turn before the deadline')), waitMs);
      signal.addEventListener('abort', leave, {once: true});
      this.waiters.set(requestId, settle);
    });
  }

  private admit(requestIds: readonly string[]): void {
    for (const requestId of requestIds) this.waiters.get(requestId)?.();
  }
}

function createDisplacement(): ServingError {
  return new ServingError('the queue is full and the place went to a workspace below its share', {
    kind: 'overloaded',
  });
}

function createRefusal(message: string): ServingError {
  return new ServingError(message, {kind: 'deadline-unreachable'});
}
