/** Which failure domains a request passes over while others have a place for it. */
import type {FailureDomainStatus} from '../../blackboard/index.js';
import {getDomainPercent} from '../failureDomains/index.js';

/** What a request says of the failure domains that it passes over. */
export interface PassingRequest {
  /** Number from 0 up to 1; absent for 0. */
  readonly domainDraw?: number;
  /** Failure domains that it avoids. */
  readonly avoidedDomains?: ReadonlySet<string>;
}

const NONE: ReadonlySet<string> = new Set();
const PERCENT = 100;

/**
 * Returns the failure domains that a request is not offered to: those that it avoids, and returning ones, which are
 * offered to their percentage of all draws.
 * @param statuses - Orders as the fleet stream gives them.
 * @param request - The request.
 * @param nowMs - Present time by the wall clock.
 */
export function getPassedOverDomains(
  statuses: readonly FailureDomainStatus[],
  {domainDraw = 0, avoidedDomains}: PassingRequest,
  nowMs: number,
): ReadonlySet<string> {
  let passedOver: Set<string> | undefined;
  for (const {name, state} of statuses) {
    if (state !== 'returning') continue;
    if (domainDraw * PERCENT < getDomainPercent(statuses, name, nowMs)) continue;
    passedOver ??= new Set(avoidedDomains);
    passedOver.add(name);
  }
  return passedOver ?? avoidedDomains ?? NONE;
}
