/** Makes requests wait until the admission queue admits them. */
import type {AdmissionQueue, AdmissionRequest} from '../controllers/admission/index.js';
import {ServingError} from '../errors/index.js';

/** Ends the wait of a queued request: admits it, or rejects it if an error is given. */
type SettleWait = (error?: ServingError) => void;

/** Options of an `AdmissionGate`. */
export interface AdmissionGateOptions {
  readonly queue: AdmissionQueue;
  /** Returns the time by the clock of the requests' deadlines. */
  readonly getNowMs: () => number;
}

/**
 * Connects the synchronous admission queue with the asynchronous request handlers, which wait for their admission here.
 */
export class AdmissionGate {
  private readonly options: AdmissionGateOptions;
  private readonly waiters = new Map<string, SettleWait>();

  constructor(options: AdmissionGateOptions) {
    this.options = options;
  }

  /**
   * Waits until the admission queue admits a request.
   * @param request - Request to admit; it waits until its deadline at most.
   * @param signal - Aborted when the caller disconnects.
   * @returns A function to call when the request has ended; it frees the slot for waiting requests.
   * @throws ServingError if the request is refused, displaced or not admitted by its deadline, or if its caller
   * disconnects.
   */
  async enter(request: AdmissionRequest, signal: AbortSignal): Promise<() => void> {
    const {queue, getNowMs} = this.options;
    const decision = queue.addRequest(request, getNowMs());
    if (decision.kind === 'refused') {
      throw new ServingError(decision.reason, {kind: decision.errorKind});
    }
    if (decision.kind === 'queued' && decision.displacedRequestId !== undefined) {
      this.waiters.get(decision.displacedRequestId)?.(createDisplacedError());
    }
    const release = () => this.admit(queue.removeRequest(request.requestId, getNowMs()));
    if (decision.kind === 'admitted') return release;
    try {
      await this.waitForAdmission(request, signal);
    } catch (error) {
      release();
      throw error;
    }
    return release;
  }

  /** Admits waiting requests up to the present limits; to be called when limits may have grown. */
  admitQueued(): void {
    this.admit(this.options.queue.admitQueued(this.options.getNowMs()));
  }

  private waitForAdmission(request: AdmissionRequest, signal: AbortSignal): Promise<void> {
    const {requestId, deadlineAtMs} = request;
    return new Promise((resolve, reject) => {
      const settle: SettleWait = error => {
        this.waiters.delete(requestId);
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        if (error) reject(error);
        else resolve();
      };
      const onAbort = () => settle(createWaitError('the caller disconnected'));
      const waitMs = Math.max(0, deadlineAtMs - this.options.getNowMs());
      const timer = setTimeout(
        () => settle(createWaitError('the request was not admitted before its deadline')),
        waitMs,
      );
      signal.addEventListener('abort', onAbort, {once: true});
      this.waiters.set(requestId, settle);
    });
  }

  private admit(requestIds: readonly string[]): void {
    for (const requestId of requestIds) this.waiters.get(requestId)?.();
  }
}

function createDisplacedError(): ServingError {
  return new ServingError(
    'the queue is full and a request of a workspace below its fair share took the place',
    {
      kind: 'overloaded',
    },
  );
}

function createWaitError(message: string): ServingError {
  return new ServingError(message, {kind: 'deadline-unreachable'});
}
