/** Computes how many backend servers each version of a service needs, from its target and the state of its moves. */
import type {Move} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import {isMoveEnded} from '../../folds/index.js';
import type {RetiredVersion} from './CapacityController.js';
import {getVersionShares} from '../moves/index.js';

/** Number of backend servers that a version needs for its share of the load. */
export interface VersionNeed {
  readonly service: string;
  readonly version: string;
  readonly replicas: number;
  /** Whether that many must remain after the loss of a failure domain, which takes spare servers. */
  readonly needsSpare: boolean;
}

const WHOLE_PERCENT = 100;
/** Up to this share a version gets no spare servers: the other version takes over the load of a lost failure domain. */
const MAX_PERCENT_WITHOUT_SPARE = 12;

/**
 * Returns the servers that each version of a service needs. The old version of a move keeps all its backend servers
 * until the move is done, so that the move can be rolled back at any time without a lack of capacity.
 * @param service - The service; `targetReplicas` is the number of servers over all versions.
 * @param moves - Moves from the fleet stream, newest first.
 * @param wantedSharePercent - Share of the new version for which the move in progress needs capacity next.
 */
export function getVersionNeeds(
  service: Service,
  moves: readonly Move[],
  wantedSharePercent: number,
): readonly VersionNeed[] {
  const newest = moves.find(move => move.service === service.name);
  const running = newest && !isMoveEnded(newest) ? newest : undefined;
  const endedMoves = moves.filter(move => move !== running);
  const sharesBefore = getVersionShares(service, endedMoves);
  const shares = new Map(sharesBefore.map(({name, sharePercent}) => [name, sharePercent]));
  if (running) {
    const oldPercent = shares.get(running.fromVersion) ?? 0;
    const newPercent = shares.get(running.toVersion) ?? 0;
    shares.set(running.toVersion, newPercent + (oldPercent * wantedSharePercent) / WHOLE_PERCENT);
  }
  return [...shares]
    .filter(([, sharePercent]) => sharePercent > 0)
    .map(([version, sharePercent]) => ({
      service: service.name,
      version,
      replicas: Math.ceil((service.targetReplicas * sharePercent) / WHOLE_PERCENT),
      needsSpare: sharePercent > MAX_PERCENT_WITHOUT_SPARE,
    }));
}

/** Returns the versions that receive no requests since their move has ended; their servers can be drained. */
export function getRetiredVersions(moves: readonly Move[]): readonly RetiredVersion[] {
  return moves.filter(isMoveEnded).map(({service, phase, fromVersion, toVersion}) => ({
    service,
    version: phase === 'done' ? fromVersion : toVersion,
  }));
}
