/** Compares the evidence-based move controller with a linear ramp on good and faulty versions, with the same seeds. */
import {MoveModel} from './MoveModel.js';
import {createLinearRamp, EVIDENCE_POLICY} from './MovePolicy.js';
import type {MoveRun, MoveRunResult} from './MoveRun.js';

/** A run's result under one policy. */
export interface MoveRecord {
  readonly policy: string;
  readonly run: MoveRun;
  readonly result: MoveRunResult;
}

/** Options of `runMovesExperiment`. */
export interface MovesExperimentOptions {
  /** First seed; each version gets its own. */
  readonly seed: number;
  /** Number of runs per kind of version and disturbance. */
  readonly versionsOfEachKind: number;
  /** Error rate in percent above which the linear ramp rolls back. */
  readonly maxErrorPercent: number;
}

const RAMP_STEPS = 20;
const SMALL_ERROR_PROBABILITY = 0.04;
const SMALL_SLOWDOWN_FACTOR = 1.4;
const RUN_KINDS: ReadonlyArray<Omit<MoveRun, 'seed'>> = [
  {kind: 'errors-at-once', disturbance: 'none'},
  {kind: 'errors-at-once', disturbance: 'none', faultErrorProbability: SMALL_ERROR_PROBABILITY},
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

/** Runs each seeded version under both policies. */
export function runMovesExperiment(options: MovesExperimentOptions): readonly MoveRecord[] {
  const {seed, versionsOfEachKind, maxErrorPercent} = options;
  const policies = [EVIDENCE_POLICY, createLinearRamp({steps: RAMP_STEPS, maxErrorPercent})];
  const runs = RUN_KINDS.flatMap((kind, kindIndex) =>
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
