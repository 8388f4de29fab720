/** Works out how many backend servers each version of a service needs. */
import type {Move} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {isMoveEnded} from '../../folds/index.js';
import type {RetiredVersion} from './CapacityController.js';
import {getVersionShares} from '../moves/index.js';

/** Backend servers that a version needs to carry its part of the load. */
export interface VersionNeed {
  readonly service: string;
  readonly version: string;
  readonly replicas: number;
  /** Whether the loss of a failure domain has to leave that many. */
  readonly isSpared: boolean;
}

const WHOLE_PERCENT = 100;
/** Below this share the other version takes over what a lost failure domain carried. */
const LEAST_SPARED_PERCENT = 12;

/**
 * Returns what the versions of a service need. The old version of a move keeps all its backend servers until the move is
 * done, since only they make taking back safe.
 * @param service - The service as configured.
 * @param moves - Moves as the fleet stream gives them, newest first.
 * @param wantedSharePercent - Share that the move under way needs capacity for next.
 */
export function getVersionNeeds(
  service: Service,
  moves: readonly Move[],
  wantedSharePercent: number,
): readonly VersionNeed[] {
  const newest = moves.find(move => move.service === service.name);
  const running = newest && !isMoveEnded(newest) ? newest : undefined;
  const settledMoves = moves.filter(move => move !== running);
  const settledShares = getVersionShares(service, settledMoves);
  const shares = new Map(settledShares.map(({name, sharePercent}) => [name, sharePercent]));
  if (running) {
    const movable = shares.get(running.fromVersion) ?? 0;
    const known = shares.get(running.toVersion) ?? 0;
    shares.set(running.toVersion, known + (movable * wantedSharePercent) / WHOLE_PERCENT);
  }
  return [...shares]
    .filter(([, sharePercent]) => sharePercent > 0)
    .map(([version, sharePercent]) => ({
      service: service.name,
      version,
      replicas: Math.ceil((service.targetReplicas * sharePercent) / WHOLE_PERCENT),
      isSpared: sharePercent > LEAST_SPARED_PERCENT,
    }));
}

/**
 * Returns the versions that ended moves left without work.
 * @param moves - Moves as the fleet stream gives them.
 */
export function getRetiredVersions(moves: readonly Move[]): readonly RetiredVersion[] {
  return moves.filter(isMoveEnded).map(({service, phase, fromVersion, toVersion}) => ({
    service,
    version: phase === 'done' ? fromVersion : toVersion,
  }));
}
