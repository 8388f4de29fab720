/** The running attempts that this entry may stop because they can be retried. */
import type {QuarantineLedger} from '../controllers/quarantine/index.js';
import {AttemptError} from '../engine/index.js';
import type {Metrics} from '../metrics/index.js';

/** Stops an attempt; its request is retried as after a move. */
export type StopAttempt = (reason: AttemptError) => void;

/** Options of `RunningAttempts`. */
export interface RunningAttemptsOptions {
  readonly quarantine: Pick<QuarantineLedger, 'getAttemptsToStop'>;
  readonly metrics: Metrics;
  readonly getNowMs: () => number;
}

/**
 * Stops the attempts of requests that are suspected of crashing backend servers. Attempts that may not be retried are
 * not added, and so are never stopped.
 */
export class RunningAttempts {
  private readonly options: RunningAttemptsOptions;
  private readonly attempts = new Map<string, StopAttempt>();

  constructor(options: RunningAttemptsOptions) {
    this.options = options;
  }

  /** Adds an attempt that is about to be sent, with the function that stops it. */
  addAttempt(attemptId: string, stop: StopAttempt): void {
    this.attempts.set(attemptId, stop);
  }

  /** Removes an ended attempt; does nothing if it was never added. */
  removeAttempt(attemptId: string): void {
    this.attempts.delete(attemptId);
  }

  /** Stops the attempts of suspected requests; to be called after each crash and each report of a suspect. */
  stopSuspects(): void {
    const {quarantine, metrics, getNowMs} = this.options;
    const attemptIds = quarantine.getAttemptsToStop(getNowMs());
    const stops = attemptIds.flatMap(attemptId => this.attempts.get(attemptId) ?? []);
    for (const stop of stops) stop(createSuspectError());
    if (stops.length > 0) metrics.addCount('quarantine.stopped_tries', {}, stops.length);
  }
}

function createSuspectError(): AttemptError {
  return new AttemptError('an equal request was running at a backend server that crashed', {
    kind: 'backend-failed',
    failure: 'moved',
  });
}
