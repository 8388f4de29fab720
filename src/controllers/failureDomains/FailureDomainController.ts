/** Decides how a failure domain that operators bring back takes up its work again. */
import type {FailureDomainStatus} from '../../blackboard/index.js';

/** What the decision about failure domains reads. */
export interface FailureDomainView {
  readonly statuses: readonly FailureDomainStatus[];
}

/** An order to write to the log. */
export interface DomainOrderEffect {
  readonly kind: 'propose-domain-order';
  readonly failureDomain: string;
  readonly state: 'in';
  readonly replacesRevision: number;
}

/** What to do about failure domains. */
export interface FailureDomainDecision {
  /** Failure domains that take no new work. */
  readonly changes: {readonly closedDomains: readonly string[]};
  readonly effects: readonly DomainOrderEffect[];
}

/** Time over which a returning failure domain takes up its whole part of the work. */
export const RETURN_RAMP_MS = 60_000;

const FIRST_RETURN_PERCENT = 10;
const WHOLE_PERCENT = 100;

/**
 * Returns the part of its usual work that a failure domain takes, from 0 to 100. Entries apply it to their choice.
 * @param statuses - Orders as the fleet stream gives them.
 * @param failureDomain - The failure domain.
 * @param nowMs - Present time by the wall clock.
 */
export function getDomainPercent(
  statuses: readonly FailureDomainStatus[],
  failureDomain: string,
  nowMs: number,
): number {
  const status = statuses.find(({name}) => name === failureDomain);
  if (!status || status.state === 'in') return WHOLE_PERCENT;
  if (status.state === 'out') return 0;
  const rampedPart = Math.max(nowMs - status.changedAtMs, 0) / RETURN_RAMP_MS;
  const rampedPercent = (WHOLE_PERCENT - FIRST_RETURN_PERCENT) * rampedPart;
  return Math.min(FIRST_RETURN_PERCENT + rampedPercent, WHOLE_PERCENT);
}

/**
 * Decides what to write about failure domains: a return ends once its ramp is over.
 * @param view - The orders that stand.
 * @param nowMs - Present time by the wall clock.
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
