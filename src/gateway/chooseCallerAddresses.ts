/** Chooses the gateway addresses that the directory returns to a caller. */
import type {GatewayMember} from '../gossip/index.js';
import {rankByRendezvous} from '../utils/index.js';

/** Addresses that a caller gets if there are as many, so that it finds a running gateway when several fail at once. */
const MIN_ADDRESSES = 6;
const MAX_ADDRESSES = 64;

/**
 * Returns addresses for a caller: the ready gateways of its failure domain, supplemented up to the minimum by others of
 * its region. Gateways of other regions are included only if its own region has none.
 * @param members - Ready gateways.
 * @param callerDomain - The caller's failure domain; undefined if the caller didn't name it.
 * @param getRegion - Returns the region of a failure domain; undefined for an unknown one.
 */
export function chooseCallerAddresses(
  members: readonly GatewayMember[],
  callerDomain: string | undefined,
  getRegion: (failureDomain: string) => string | undefined,
): readonly string[] {
  const region = callerDomain === undefined ? undefined : getRegion(callerDomain);
  const inRegion = members.filter(({failureDomain}) => getRegion(failureDomain) === region);
  const candidates = inRegion.length > 0 ? inRegion : members;
  const sameDomain = candidates.filter(({failureDomain}) => failureDomain === callerDomain);
  const otherDomains = candidates.filter(({failureDomain}) => failureDomain !== callerDomain);
  const missing = Math.max(0, MIN_ADDRESSES - sameDomain.length);
  const supplement = rankByRendezvous(callerDomain ?? '', otherDomains, ({id}) => id).slice(
    0,
    missing,
  );
  return [...sameDomain, ...supplement]
    .slice(0, MAX_ADDRESSES)
    .map(({trafficAddress}) => trafficAddress);
}
