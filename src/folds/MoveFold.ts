/** Computes the version moves of the services from operators' requests and the lease holder's steps. */
import {z} from 'zod';
import type {Move, MovePhase} from '../blackboard/index.js';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, reject, type FleetRecordResult} from './FleetRecordResult.js';

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

/** Returns whether a move has ended: done, rolled back or aborted. */
export function isMoveEnded(move: Pick<Move, 'phase'>): boolean {
  return PHASE_RANKS[move.phase] === PHASE_RANKS.done;
}

/** Maximum completed moves kept per service; newer configurations have made older ones irrelevant. */
const MAX_DONE_MOVES = 64;

/** Accepts a service's next move only after the previous one has ended. */
export class MoveFold {
  private readonly movesByService = new Map<string, Move>();
  private readonly doneMoves = new Map<string, readonly Move[]>();

  /**
   * Returns the newest move of each service, then earlier completed ones, newest first for each service. Until a
   * configuration names the new version, a completed move still redirects requests for the old version.
   */
  getMoves(): readonly Move[] {
    return [...this.movesByService.values(), ...[...this.doneMoves.values()].flat()];
  }

  /**
   * Replaces the moves by those of a snapshot.
   * @param moves - In the order of `getMoves`.
   */
  restore(moves: readonly Move[]): void {
    this.movesByService.clear();
    this.doneMoves.clear();
    for (const move of moves) {
      if (this.movesByService.has(move.service)) this.addDoneMove(move, 'oldest');
      else this.movesByService.set(move.service, move);
    }
  }

  /** Starts a move that an operator requested, or rejects the request. */
  applyRequest(body: LogBodyOf<'move-request'>): FleetRecordResult {
    const {moveId, service, fromVersion, toVersion, requestedAtMs, deadlineAtMs} = body;
    const previousMove = this.movesByService.get(service);
    if (this.getMove(moveId)) return reject('move-id-used');
    if (previousMove && !isMoveEnded(previousMove)) return reject('move-under-way');
    if (fromVersion === toVersion) return reject('move-to-same-version');
    if (deadlineAtMs <= requestedAtMs) return reject('deadline-before-request');
    if (previousMove?.phase === 'done') this.addDoneMove(previousMove, 'newest');
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

  /** Changes a move's phase and share as the lease holder decided; the caller has checked the fencing token. */
  applyStep(body: LogBodyOf<'move-step'>): FleetRecordResult {
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

  /** Aborts a move for an operator; all new requests go to the old version again. */
  applyAbort(body: LogBodyOf<'move-abort'>): FleetRecordResult {
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
    const earlier = this.doneMoves.get(move.service) ?? [];
    const all = place === 'newest' ? [move, ...earlier] : [...earlier, move];
    this.doneMoves.set(move.service, all.slice(0, MAX_DONE_MOVES));
  }
}
