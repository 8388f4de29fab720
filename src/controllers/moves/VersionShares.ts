/** Computes the share of new requests that each version of a service receives, from the configuration and the moves. */
import type {Move} from '../../blackboard/index.js';
import type {Service, ServiceVersion} from '../../configuration/index.js';

const WHOLE_PERCENT = 100;

/**
 * Returns the versions of a service with their shares of new requests. A move in progress splits the old version's
 * share between both versions; a completed move gives all of it to the new version, also while later moves are in
 * progress.
 * @param service - The service with its configured shares.
 * @param moves - Moves of all services from the fleet stream, newest first.
 */
export function getVersionShares(
  service: Service,
  moves: readonly Move[],
): readonly ServiceVersion[] {
  const shares = new Map(service.versions.map(({name, sharePercent}) => [name, sharePercent]));
  const oldestFirst = moves.filter(move => move.service === service.name).reverse();
  for (const move of oldestFirst) applyMove(shares, move);
  return [...shares].map(([name, sharePercent]) => ({name, sharePercent}));
}

function applyMove(shares: Map<string, number>, move: Move): void {
  const {fromVersion, toVersion} = move;
  const oldPercent = shares.get(fromVersion) ?? 0;
  const movedPercent = (oldPercent * getMovedPercent(move)) / WHOLE_PERCENT;
  if (oldPercent === 0) return;
  shares.set(fromVersion, oldPercent - movedPercent);
  shares.set(toVersion, (shares.get(toVersion) ?? 0) + movedPercent);
}

function getMovedPercent({phase, sharePercent}: Move): number {
  if (phase === 'done') return WHOLE_PERCENT;
  return phase === 'running' || phase === 'soaking' ? sharePercent : 0;
}
