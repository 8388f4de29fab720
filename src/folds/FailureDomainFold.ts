/** Operators' orders to take failure domains out of service or back in, each a compare-and-set on a revision. */
import {z} from 'zod';
import type {FailureDomainStatus} from '../blackboard/index.js';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, reject, type FleetRecordResult} from './FleetRecordResult.js';

/** Schema of a failure domain's status within a snapshot. */
export const failureDomainStatusSchema = z.strictObject({
  name: z.string(),
  state: z.enum(['in', 'out', 'returning']),
  revision: z.number().int(),
  changedAtMs: z.number(),
});

/** Keeps the newest accepted order of each failure domain. */
export class FailureDomainFold {
  private readonly statuses = new Map<string, FailureDomainStatus>();

  /** Returns the failure domains that have ever had an order; all others are in service, at revision 0. */
  getStatuses(): readonly FailureDomainStatus[] {
    return [...this.statuses.values()];
  }

  /** Replaces the statuses by those of a snapshot. */
  restore(statuses: readonly FailureDomainStatus[]): void {
    this.statuses.clear();
    for (const status of statuses) this.statuses.set(status.name, status);
  }

  /** Applies an order, or rejects it if `replacesRevision` isn't the domain's current revision. */
  applyOrder(body: LogBodyOf<'domain-order'>): FleetRecordResult {
    const {failureDomain: name, state, replacesRevision, requestedAtMs} = body;
    const revision = this.statuses.get(name)?.revision ?? 0;
    if (replacesRevision !== revision) return reject('not-newest-revision');
    this.statuses.set(name, {name, state, revision: revision + 1, changedAtMs: requestedAtMs});
    return ACCEPTED;
  }
}
