/** Which versions of a service may get new work, by shares and evidence. */
import type {Incident, Move} from '../../blackboard/index.js';
import type {Service, ServiceVersion} from '../../configuration/index.js';
import {getVersionShares} from '../moves/index.js';

/**
 * Returns the versions that may get new work, with their shares. A version with a `bad-version` incident that still
 * stands gets nothing.
 * @param service - The service with its configured versions.
 * @param moves - Moves as the fleet stream gives them.
 * @param incidents - Evidence known here.
 * @param nowMs - Present time.
 */
export function getUsableVersions(
  service: Service,
  moves: readonly Move[],
  incidents: readonly Incident[],
  nowMs: number,
): readonly ServiceVersion[] {
  return getVersionShares(service, moves)
    .filter(({sharePercent}) => sharePercent > 0)
    .filter(({name}) => !isBadVersion(service.name, name, incidents, nowMs));
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
