/** Rollout policies under comparison: the evidence-based move controller and a linear ramp. */
import type {Move, VersionEvidence} from '../../../src/blackboard/index.js';
import {
  findCircuitBreakerFault,
  decideMove,
  EVIDENCE_WINDOW_MS,
  type MoveStepEffect,
  type MoveView,
} from '../../../src/controllers/moves/index.js';

/** A policy that decides the steps of a version move. */
export interface MovePolicy {
  readonly name: string;
  /** Returns the move steps to append to the log. */
  readonly decideSteps: (view: MoveView, nowMs: number) => readonly MoveStepEffect[];
  /** Returns whether an entry's circuit breaker trips, so that the entry stops sending to the new version. */
  readonly isBreakerTripped: (
    evidence: readonly VersionEvidence[],
    move: Move,
    nowMs: number,
  ) => boolean;
}

/** Options of a linear ramp. */
export interface LinearRampOptions {
  /** Number of equal steps up to 100 percent. */
  readonly steps: number;
  /** Error rate of the new version since the last step, in percent, above which it is rolled back. */
  readonly maxErrorPercent: number;
}

const FULL_PERCENT = 100;

/** The production policy: the controller of `src/controllers/moves` with the entries' circuit breakers. */
export const EVIDENCE_POLICY: MovePolicy = {
  name: 'evidence',
  decideSteps: (view, nowMs) => decideMove(view, nowMs).effects,
  isBreakerTripped: (evidence, move, nowMs) =>
    findCircuitBreakerFault(evidence, move, nowMs) !== undefined,
};

/**
 * Creates the baseline: equal steps up to the deadline, with one error threshold that is checked before each step.
 */
export function createLinearRamp({steps, maxErrorPercent}: LinearRampOptions): MovePolicy {
  return {
    name: `linear ramp, ${maxErrorPercent}% errors`,
    isBreakerTripped: () => false,
    decideSteps: ({move, evidence}, nowMs) => {
      const stepMs = (move.deadlineAtMs - move.startedAtMs) / (steps + 1);
      const dueSteps = Math.floor((nowMs - move.startedAtMs) / stepMs) + 1;
      const takenSteps = Math.round((move.sharePercent * steps) / FULL_PERCENT);
      if (dueSteps <= takenSteps) return [];
      const {moveId} = move;
      if (getErrorPercent(evidence, move) > maxErrorPercent) {
        const reason = `more than ${maxErrorPercent} percent errors`;
        return [{kind: 'propose-move-step', moveId, phase: 'taken-back', sharePercent: 0, reason}];
      }
      const sharePercent = (Math.min(dueSteps, steps) * FULL_PERCENT) / steps;
      const phase = takenSteps === steps ? 'done' : 'running';
      return [{kind: 'propose-move-step', moveId, phase, sharePercent}];
    },
  };
}

/** Returns the new version's error rate since the last step, in percent; 0 if it had no requests. */
function getErrorPercent(evidence: readonly VersionEvidence[], move: Move): number {
  const {service, toVersion, changedAtMs} = move;
  const windows = evidence.filter(
    window =>
      window.service === service &&
      window.version === toVersion &&
      window.windowStartMs + EVIDENCE_WINDOW_MS > changedAtMs,
  );
  const requests = windows.reduce((sum, window) => sum + window.requests, 0);
  const errors = windows.reduce((sum, window) => sum + window.errors, 0);
  return requests === 0 ? 0 : (errors / requests) * FULL_PERCENT;
}
