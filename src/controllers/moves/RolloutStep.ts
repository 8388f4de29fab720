/** Steps of a roll-out that an operator has ordered with a short deadline, as the duty holder decides them. */

/**
 * `running`: a share of the requests may go to the target version. `done`: all requests go there. `rolled-back`: none
 * does. The last two are final.
 */
export type RolloutPhase = 'running' | 'done' | 'rolled-back';

/** The state of one roll-out. All times are Unix times in milliseconds. */
export interface RolloutStep {
  readonly service: string;
  readonly targetVersion: string;
  readonly phase: RolloutPhase;
  /** Share of the service's new requests that may go to the target version. */
  readonly sharePercent: number;
  /** Time at which a duty holder first knew the order. */
  readonly startedAtMs: number;
  /** Time at which phase or share last changed. */
  readonly changedAtMs: number;
  /** Fencing token of the duty holder that decided the step, and the number of the renewal among its own. */
  readonly token: number;
  readonly number: number;
}

/** Returns whether a roll-out has ended. */
export function isFinalStep({phase}: Pick<RolloutStep, 'phase'>): boolean {
  return phase !== 'running';
}

/**
 * Returns whether a step replaces another one of the same service and target version. A final one stays; of two
 * different final ones, the roll-back does.
 */
export function replacesStep(step: RolloutStep, known: RolloutStep): boolean {
  if (isFinalStep(known)) return step.phase === 'rolled-back' && known.phase === 'done';
  if (isFinalStep(step)) return true;
  return step.token !== known.token ? step.token > known.token : step.number > known.number;
}
