/** Version moves: the newest one of each service, and the earlier ones that are done. */
import {z} from 'zod';
import type {Move, MovePhase} from '../blackboard/index.js';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, reject, type FleetVerdict} from './FleetVerdict.js';

/** Schema of a move within a snapshot. */
export const moveSchema = z.strictObject({
  moveId: z.string(),
  service: z.string(),
  fromVersion: z.string(),
  toVersion: z.string(),
  phase: z.enum(['running', 'soaking', 'done', 'taken-back', 'aborted']),
  sharePercent: z.number(),
  startedAtMs: z.number(),
  deadlineAtMs: z.number(),
  changedAtMs: z.number(),
  reason: z.string().optional(),
});

const PHASE_RANKS: Readonly<Record<MovePhase, number>> = {
  running: 0,
  soaking: 1,
  done: 2,
  'taken-back': 2,
  aborted: 2,
};

/**
 * Tells whether a move has ended.
 * @param move - The move.
 */
export function isMoveEnded(move: Pick<Move, 'phase'>): boolean {
  return PHASE_RANKS[move.phase] === PHASE_RANKS.done;
}

/** Done moves of a service that are kept; a configuration published since makes older ones idle. */
const MAX_DONE_MOVES = 64;

/** Lets a service's next move start only after its last one ended. */
export class MoveFold {
  private readonly movesByService = new Map<string, Move>();
  private readonly doneMoves = new Map<string, readonly Move[]>();

  /**
   * Returns the newest move of each service, then the earlier ones that are done, newest first: until a configuration
   * names the new version, a done move still says where the old version's work goes.
   */
  getMoves(): readonly Move[] {
    return [...this.movesByService.values(), ...[...this.doneMoves.values()].flat()];
  }

  /**
   * Takes over the moves of a snapshot.
   * @param moves - The moves.
   */
  restore(moves: readonly Move[]): void {
    this.movesByService.clear();
    this.doneMoves.clear();
    for (const move of moves) {
      if (this.movesByService.has(move.service)) this.addDoneMove(move, 'oldest');
      else this.movesByService.set(move.service, move);
    }
  }

  /**
   * Applies an operator's request for a move.
   * @param body - The request.
   */
  applyRequest(body: LogBodyOf<'move-request'>): FleetVerdict {
    const {moveId, service, fromVersion, toVersion, requestedAtMs, deadlineAtMs} = body;
    const last = this.movesByService.get(service);
    if (this.getMove(moveId)) return reject('move-id-used');
    if (last && !isMoveEnded(last)) return reject('move-under-way');
    if (fromVersion === toVersion) return reject('move-to-same-version');
    if (deadlineAtMs <= requestedAtMs) return reject('deadline-before-request');
    if (last?.phase === 'done') this.addDoneMove(last, 'newest');
    this.movesByService.set(service, {
      moveId,
      service,
      fromVersion,
      toVersion,
      phase: 'running',
      sharePercent: 0,
      startedAtMs: requestedAtMs,
      deadlineAtMs,
      changedAtMs: requestedAtMs,
    });
    return ACCEPTED;
  }

  /**
   * Applies a step of the lease's holder; its fencing token has been checked.
   * @param body - The step.
   */
  applyStep(body: LogBodyOf<'move-step'>): FleetVerdict {
    const move = this.getMove(body.moveId);
    if (!move) return reject('unknown-move');
    if (isMoveEnded(move)) return reject('move-ended');
    if (PHASE_RANKS[body.phase] < PHASE_RANKS[move.phase]) return reject('phase-goes-back');
    const {phase, sharePercent, reason} = body;
    const hasChanged = phase !== move.phase || sharePercent !== move.sharePercent;
    const changedAtMs = hasChanged ? body.decidedAtMs : move.changedAtMs;
    this.movesByService.set(move.service, {...move, phase, sharePercent, changedAtMs, reason});
    return ACCEPTED;
  }

  /**
   * Applies an operator's abort; all new work goes to the old version again.
   * @param body - The abort.
   */
  applyAbort(body: LogBodyOf<'move-abort'>): FleetVerdict {
    const move = this.getMove(body.moveId);
    if (!move) return reject('unknown-move');
    if (isMoveEnded(move)) return reject('move-ended');
    this.movesByService.set(move.service, {
      ...move,
      phase: 'aborted',
      sharePercent: 0,
      changedAtMs: body.requestedAtMs,
      reason: `aborted by ${body.requestedBy}`,
    });
    return ACCEPTED;
  }

  private getMove(moveId: string): Move | undefined {
    return this.getMoves().find(move => move.moveId === moveId);
  }

  private addDoneMove(move: Move, place: 'newest' | 'oldest'): void {
    const known = this.doneMoves.get(move.service) ?? [];
    const all = place === 'newest' ? [move, ...known] : [...known, move];
    this.doneMoves.set(move.service, all.slice(0, MAX_DONE_MOVES));
  }
}
