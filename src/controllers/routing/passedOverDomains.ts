/** Which failure domains a request passes over while others have a place for it. */
import type {FailureDomainStatus} from '../../blackboard/index.js';
import {getDomainPercent} from '../failureDomains/index.js';

const NONE: ReadonlySet<string> = new Set();
const PERCENT = 100;

/**
 * Returns the returning failure domains that a request is not offered to: each is offered to its percentage of all draws.
 * @param statuses - Orders as the fleet stream gives them.
 * @param draw - Number from 0 up to 1 of the request.
 * @param nowMs - Present time by the wall clock.
 */
export function getPassedOverDomains(
  statuses: readonly FailureDomainStatus[],
  draw: number,
  nowMs: number,
): ReadonlySet<string> {
  let passedOver: Set<string> | undefined;
  for (const {name, state} of statuses) {
    if (state !== 'returning') continue;
    if (draw * PERCENT < getDomainPercent(statuses, name, nowMs)) continue;
    passedOver ??= new Set();
    passedOver.add(name);
  }
  return passedOver ?? NONE;
}
