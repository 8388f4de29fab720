/** The failure domains that a request uses only if no other has capacity for it. */
import type {FailureDomainStatus} from '../../blackboard/index.js';
import {getDomainPercent} from '../failureDomains/index.js';

/** The properties of a request that restrict its failure domains. */
export interface DomainConstraints {
  /** Random number in [0, 1) that is compared with a returning domain's percentage; undefined is 0. */
  readonly domainDraw?: number;
  /** Failure domains to avoid whatever their state. */
  readonly avoidedDomains?: ReadonlySet<string>;
}

const NONE: ReadonlySet<string> = new Set();
const PERCENT = 100;

/**
 * Returns the failure domains to avoid for a request: those that it names, and each returning domain whose current
 * percentage of new work doesn't exceed the request's `domainDraw`.
 * @param statuses - States of the failure domains, from the fleet stream.
 * @param nowMs - Unix time in milliseconds.
 */
export function getAvoidedDomains(
  statuses: readonly FailureDomainStatus[],
  {domainDraw = 0, avoidedDomains}: DomainConstraints,
  nowMs: number,
): ReadonlySet<string> {
  let avoided: Set<string> | undefined;
  for (const {name, state} of statuses) {
    if (state !== 'returning') continue;
    if (domainDraw * PERCENT < getDomainPercent(statuses, name, nowMs)) continue;
    avoided ??= new Set(avoidedDomains);
    avoided.add(name);
  }
  return avoided ?? avoidedDomains ?? NONE;
}
