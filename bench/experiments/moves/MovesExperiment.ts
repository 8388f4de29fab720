/** Runs seeded versions, good and bad, by evidence and by a linear ramp with the same seeds. */
import {MoveModel} from './MoveModel.js';
import {createLinearRamp, EVIDENCE_POLICY} from './MovePolicy.js';
import type {MoveRun, MoveRunResult} from './MoveRun.js';

/** A run as a policy ended it. */
export interface MoveRecord {
  readonly policy: string;
  readonly run: MoveRun;
  readonly result: MoveRunResult;
}

/** Options of the experiment. */
export interface MovesExperimentOptions {
  readonly seed: number;
  /** Versions of each kind. */
  readonly versionsOfEachKind: number;
  /** Threshold of the linear ramp. */
  readonly maxErrorPercent: number;
}

const RAMP_STEPS = 20;
const SMALL_ERROR_PART = 0.04;
const SMALL_SLOWDOWN_FACTOR = 1.4;
const KINDS: ReadonlyArray<Omit<MoveRun, 'seed'>> = [
  {kind: 'errors-at-once', disturbance: 'none'},
  {kind: 'errors-at-once', disturbance: 'none', faultErrorPart: SMALL_ERROR_PART},
  {kind: 'errors-later', disturbance: 'none'},
  {kind: 'errors-under-load', disturbance: 'none'},
  {kind: 'errors-on-one-route', disturbance: 'none'},
  {kind: 'slow-first-token', disturbance: 'none'},
  {kind: 'slow-first-token', disturbance: 'none', slowdownFactor: SMALL_SLOWDOWN_FACTOR},
  {kind: 'slow-first-token-later', disturbance: 'none'},
  {kind: 'slow-tokens', disturbance: 'none'},
  {kind: 'good', disturbance: 'none'},
  {kind: 'good', disturbance: 'overload'},
  {kind: 'good', disturbance: 'reclaim-wave'},
  {kind: 'good', disturbance: 'holder-killed'},
];

/**
 * Runs each version under both policies.
 * @param options - Seed, size and threshold.
 */
export function runMovesExperiment(options: MovesExperimentOptions): readonly MoveRecord[] {
  const {seed, versionsOfEachKind, maxErrorPercent} = options;
  const policies = [EVIDENCE_POLICY, createLinearRamp({steps: RAMP_STEPS, maxErrorPercent})];
  const runs = KINDS.flatMap((kind, kindIndex) =>
    Array.from({length: versionsOfEachKind}, (unused, index): MoveRun => {
      return {...kind, seed: seed + kindIndex * versionsOfEachKind + index};
    }),
  );
  return runs.flatMap(run =>
    policies.map(policy => {
      return {policy: policy.name, run, result: new MoveModel(run, policy).getResult()};
    }),
  );
}
