/** Ramps up the share of requests for a failure domain that operators have taken out and now bring back. */
import type {FailureDomainStatus} from '../../blackboard/index.js';

/** Input of `decideFailureDomains`. */
export interface FailureDomainView {
  readonly statuses: readonly FailureDomainStatus[];
}

/** A record for the log that ends the ramp of a returning failure domain. */
export interface DomainStatusEffect {
  readonly kind: 'propose-domain-order';
  readonly failureDomain: string;
  readonly state: 'in';
  /** Revision of the status that the record replaces; the log rejects the record if there is a newer one. */
  readonly replacesRevision: number;
}

/** Result of `decideFailureDomains`. */
export interface FailureDomainDecision {
  /** Names of the failure domains that operators have taken out and that receive no new requests. */
  readonly changes: {readonly closedDomains: readonly string[]};
  readonly effects: readonly DomainStatusEffect[];
}

/** Time in which a returning failure domain ramps up to its full share of requests. */
export const RETURN_RAMP_MS = 60_000;

/** Percentage of its usual requests with which a returning failure domain starts. */
const FIRST_RETURN_PERCENT = 10;
const WHOLE_PERCENT = 100;

/**
 * Returns the percentage, from 0 to 100, of its usual requests that a failure domain receives now. Entries apply it
 * when they route requests.
 * @param statuses - Failure domain statuses from the fleet stream; a domain without a status is in.
 * @param failureDomain - Name of the failure domain.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function getDomainPercent(
  statuses: readonly FailureDomainStatus[],
  failureDomain: string,
  nowMs: number,
): number {
  const status = statuses.find(({name}) => name === failureDomain);
  if (!status || status.state === 'in') return WHOLE_PERCENT;
  if (status.state === 'out') return 0;
  const rampFraction = Math.max(nowMs - status.changedAtMs, 0) / RETURN_RAMP_MS;
  const rampedPercent = (WHOLE_PERCENT - FIRST_RETURN_PERCENT) * rampFraction;
  return Math.min(FIRST_RETURN_PERCENT + rampedPercent, WHOLE_PERCENT);
}

/**
 * Decides which failure domains receive no new requests, and sets returning ones to `in` once their ramp is over.
 * @param view - Current status of each failure domain.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function decideFailureDomains(
  {statuses}: FailureDomainView,
  nowMs: number,
): FailureDomainDecision {
  const returned = statuses.filter(
    status => status.state === 'returning' && nowMs >= status.changedAtMs + RETURN_RAMP_MS,
  );
  const closedDomains = statuses.filter(({state}) => state === 'out').map(({name}) => name);
  return {
    changes: {closedDomains},
    effects: returned.map(({name, revision}) => ({
      kind: 'propose-domain-order',
      failureDomain: name,
      state: 'in',
      replacesRevision: revision,
    })),
  };
}
