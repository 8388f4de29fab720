/** The tries that this entry may stop, because they could be sent again. */
import type {QuarantineLedger} from '../controllers/quarantine/index.js';
import {AttemptError} from '../engine/index.js';
import type {Metrics} from '../metrics/index.js';

/** Stops a try; its request goes on as after a move. */
export type StopTry = (reason: AttemptError) => void;

/** Options of `RunningTries`. */
export interface RunningTriesOptions {
  readonly quarantine: Pick<QuarantineLedger, 'getTriesToStop'>;
  readonly metrics: Metrics;
  readonly getNowMs: () => number;
}

/** Stops the tries of requests that may crash their backend servers; those that may not be sent again are not added and run on. */
export class RunningTries {
  private readonly options: RunningTriesOptions;
  private readonly tries = new Map<string, StopTry>();

  constructor(options: RunningTriesOptions) {
    this.options = options;
  }

  /**
   * Adds a try that starts.
   * @param attemptId - Id of the try.
   * @param stop - Stops it.
   */
  addTry(attemptId: string, stop: StopTry): void {
    this.tries.set(attemptId, stop);
  }

  /**
   * Removes a try that ended.
   * @param attemptId - Id of the try.
   */
  removeTry(attemptId: string): void {
    this.tries.delete(attemptId);
  }

  /** Stops the tries of suspects; to be called after each crash and each report. */
  stopSuspects(): void {
    const {quarantine, metrics, getNowMs} = this.options;
    const attemptIds = quarantine.getTriesToStop(getNowMs());
    const stops = attemptIds.flatMap(attemptId => this.tries.get(attemptId) ?? []);
    for (const stop of stops) stop(createSuspectError());
    if (stops.length > 0) metrics.addCount('quarantine.stopped_tries', {}, stops.length);
  }
}

function createSuspectError(): AttemptError {
  return new AttemptError('a copy of the request was running on a server that crashed', {
    kind: 'backend-failed',
    failure: 'moved',
  });
}
