/** Chooses the addresses that a caller is given. */
import type {GatewayMember} from '../gossip/index.js';
import {rankByRendezvous} from '../utils/index.js';

/** Gateways that a caller should be able to choose from, so that it finds a running one when several are lost at once. */
const MIN_ADDRESSES = 6;
const MAX_ADDRESSES = 64;

/**
 * Returns addresses for a caller: the ready gateways of its failure domain, filled up with others of its region. Gateways
 * of other regions are named only where its own has none.
 * @param members - Ready gateways.
 * @param callerDomain - The caller's failure domain; undefined where it doesn't say.
 * @param getRegion - Returns the region of a failure domain.
 */
export function chooseCallerAddresses(
  members: readonly GatewayMember[],
  callerDomain: string | undefined,
  getRegion: (failureDomain: string) => string | undefined,
): readonly string[] {
  const region = callerDomain === undefined ? undefined : getRegion(callerDomain);
  const inRegion = members.filter(({failureDomain}) => getRegion(failureDomain) === region);
  const candidates = inRegion.length > 0 ? inRegion : members;
  const near = candidates.filter(({failureDomain}) => failureDomain === callerDomain);
  const far = candidates.filter(({failureDomain}) => failureDomain !== callerDomain);
  const missing = Math.max(0, MIN_ADDRESSES - near.length);
  const filling = rankByRendezvous(callerDomain ?? '', far, ({id}) => id).slice(0, missing);
  return [...near, ...filling].slice(0, MAX_ADDRESSES).map(({trafficAddress}) => trafficAddress);
}
