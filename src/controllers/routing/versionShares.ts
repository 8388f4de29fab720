/** Which part of a service's new work each version gets, by configuration, moves and evidence. */
import type {Incident, Move} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';

/** A version and its part of new work. */
export interface VersionShare {
  readonly version: string;
  readonly sharePercent: number;
}

const FULL_SHARE_PERCENT = 100;

/**
 * Returns the versions that may get new work, with their shares.
 *
 * A move splits what the configuration gives to its two versions together. A version with a `bad-version` incident that
 * still runs gets nothing.
 * @param service - The service with its configured versions.
 * @param moves - Moves under way and the last ended ones.
 * @param incidents - Evidence known here.
 * @param nowMs - Present time.
 */
export function getVersionShares(
  service: Service,
  moves: readonly Move[],
  incidents: readonly Incident[],
  nowMs: number,
): readonly VersionShare[] {
  const shares = new Map(service.versions.map(({name, sharePercent}) => [name, sharePercent]));
  const move = getNewestMove(service.name, moves);
  if (move) splitByMove(shares, move);
  return [...shares]
    .map(([version, sharePercent]) => ({version, sharePercent}))
    .filter(({sharePercent}) => sharePercent > 0)
    .filter(({version}) => !isBadVersion(service.name, version, incidents, nowMs));
}

/**
 * Returns whether evidence against a version stands.
 * @param service - Name of the service.
 * @param version - Name of the version.
 * @param incidents - Evidence known here.
 * @param nowMs - Present time.
 */
export function isBadVersion(
  service: string,
  version: string,
  incidents: readonly Incident[],
  nowMs: number,
): boolean {
  return incidents.some(
    incident =>
      incident.kind === 'bad-version' &&
      incident.service === service &&
      incident.subject === version &&
      incident.expiresAtMs > nowMs,
  );
}

function getNewestMove(service: string, moves: readonly Move[]): Move | undefined {
  return moves
    .filter(move => move.service === service)
    .reduce<Move | undefined>(
      (newest, move) => (newest && newest.startedAtMs >= move.startedAtMs ? newest : move),
      undefined,
    );
}

function splitByMove(shares: Map<string, number>, move: Move): void {
  const {fromVersion, toVersion} = move;
  const togetherPercent = (shares.get(fromVersion) ?? 0) + (shares.get(toVersion) ?? 0);
  const toPercent = (togetherPercent * getMovedPercent(move)) / FULL_SHARE_PERCENT;
  shares.set(fromVersion, togetherPercent - toPercent);
  shares.set(toVersion, toPercent);
}

function getMovedPercent({phase, sharePercent}: Move): number {
  switch (phase) {
    case 'running':
    case 'soaking':
      return sharePercent;
    case 'done':
      return FULL_SHARE_PERCENT;
    case 'taken-back':
    case 'aborted':
      return 0;
  }
}
