/** Ways to decide about a move: by evidence, and a plain linear ramp. */
import type {Move, VersionEvidence} from '../../../src/blackboard/index.js';
import {
  decideLocalBrake,
  decideMove,
  EVIDENCE_WINDOW_MS,
  type MoveStepEffect,
  type MoveView,
} from '../../../src/controllers/moves/index.js';

/** A way to decide about moves. */
export interface MovePolicy {
  readonly name: string;
  /** Returns the steps to write. */
  readonly decideSteps: (view: MoveView, nowMs: number) => readonly MoveStepEffect[];
  /** Tells whether an entry stops at once to send to the new version. */
  readonly isBraked: (evidence: readonly VersionEvidence[], move: Move, nowMs: number) => boolean;
}

/** Settings of a linear ramp. */
export interface LinearRampOptions {
  /** Steps to 100 percent, all alike. */
  readonly steps: number;
  /** Errors of the new version since the last step, over which it is taken back. */
  readonly maxErrorPercent: number;
}

const WHOLE_PERCENT = 100;

/** The controller of `src/controllers/moves` with the brakes of the entries. */
export const EVIDENCE_POLICY: MovePolicy = {
  name: 'evidence',
  decideSteps: (view, nowMs) => decideMove(view, nowMs).effects,
  isBraked: (evidence, move, nowMs) => decideLocalBrake(evidence, move, nowMs) !== undefined,
};

/**
 * Creates the baseline: equal steps up to the deadline, and one threshold for errors that is looked at before each step.
 * @param options - Steps and threshold.
 */
export function createLinearRamp({steps, maxErrorPercent}: LinearRampOptions): MovePolicy {
  return {
    name: `linear ramp, ${maxErrorPercent}% errors`,
    isBraked: () => false,
    decideSteps: ({move, evidence}, nowMs) => {
      const stepMs = (move.deadlineAtMs - move.startedAtMs) / (steps + 1);
      const dueSteps = Math.floor((nowMs - move.startedAtMs) / stepMs) + 1;
      const takenSteps = Math.round((move.sharePercent * steps) / WHOLE_PERCENT);
      if (dueSteps <= takenSteps) return [];
      const {moveId} = move;
      if (getErrorPercent(evidence, move) > maxErrorPercent) {
        const reason = `more than ${maxErrorPercent} percent errors`;
        return [{kind: 'propose-move-step', moveId, phase: 'taken-back', sharePercent: 0, reason}];
      }
      const sharePercent = (Math.min(dueSteps, steps) * WHOLE_PERCENT) / steps;
      const phase = takenSteps === steps ? 'done' : 'running';
      return [{kind: 'propose-move-step', moveId, phase, sharePercent}];
    },
  };
}

/** Errors of the new version since the last step, in percent of its requests. */
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
  return requests === 0 ? 0 : (errors / requests) * WHOLE_PERCENT;
}
