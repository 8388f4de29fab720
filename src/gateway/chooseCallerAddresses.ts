/** Chooses the addresses that a caller is given. */
import type {GatewayMember} from '../gossip/index.js';
import {rankByRendezvous} from '../utils/index.js';

/** Gateways that a caller should be able to choose from. */
const MIN_ADDRESSES = 2;
const MAX_ADDRESSES = 64;

/**
 * Returns addresses for a caller: the ready gateways of its failure domain, filled up with others where there are few.
 * @param members - Ready gateways.
 * @param callerDomain - The caller's failure domain; undefined where it doesn't say.
 */
export function chooseCallerAddresses(
  members: readonly GatewayMember[],
  callerDomain: string | undefined,
): readonly string[] {
  const near = members.filter(({failureDomain}) => failureDomain === callerDomain);
  const far = members.filter(({failureDomain}) => failureDomain !== callerDomain);
  const missing = Math.max(0, MIN_ADDRESSES - near.length);
  const filling = rankByRendezvous(callerDomain ?? '', far, ({id}) => id).slice(0, missing);
  const chosen = callerDomain === undefined ? members : [...near, ...filling];
  return chosen.slice(0, MAX_ADDRESSES).map(({trafficAddress}) => trafficAddress);
}
