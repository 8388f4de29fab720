/** Filter of the versions of a service that may get new requests. */
import type {Incident, Move} from '../../blackboard/index.js';
import type {Service, ServiceVersion} from '../../configuration/index.js';
import {getVersionShares} from '../moves/index.js';

/**
 * Returns the versions that may get new requests, with their shares in percent. Versions without a share and those with
 * an unexpired `bad-version` incident are left out; the remaining shares are not scaled up.
 * @param moves - Moves between versions, from the fleet stream.
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

/** Returns whether an unexpired `bad-version` incident names the version. */
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
