/** Gives each version's part of new work, from the configuration and the moves. */
import type {Move} from '../../blackboard/index.js';
import type {Service, ServiceVersion} from '../../configuration/index.js';

const WHOLE_PERCENT = 100;

/**
 * Returns the versions of a service with their part of new work. A move that is under way divides the old version's part;
 * a move that is done gives the whole of it to the new version, also while later moves are under way.
 * @param service - The service as configured.
 * @param moves - Moves as the fleet stream gives them, newest first.
 */
export function getVersionShares(
  service: Service,
  moves: readonly Move[],
): readonly ServiceVersion[] {
  const shares = new Map(service.versions.map(({name, sharePercent}) => [name, sharePercent]));
  const oldestFirst = moves.filter(move => move.service === service.name).reverse();
  for (const move of oldestFirst) moveShare(shares, move);
  return [...shares].map(([name, sharePercent]) => ({name, sharePercent}));
}

function moveShare(shares: Map<string, number>, move: Move): void {
  const {fromVersion, toVersion} = move;
  const movablePercent = shares.get(fromVersion) ?? 0;
  const movedPercent = (movablePercent * getMovedPercent(move)) / WHOLE_PERCENT;
  if (movablePercent === 0) return;
  shares.set(fromVersion, movablePercent - movedPercent);
  shares.set(toVersion, (shares.get(toVersion) ?? 0) + movedPercent);
}

function getMovedPercent({phase, sharePercent}: Move): number {
  if (phase === 'done') return WHOLE_PERCENT;
  return phase === 'running' || phase === 'soaking' ? sharePercent : 0;
}
