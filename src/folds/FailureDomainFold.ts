/** Operators' orders about failure domains, each a compare-and-set on the domain's revision. */
import {z} from 'zod';
import type {FailureDomainStatus} from '../blackboard/index.js';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, reject, type FleetVerdict} from './FleetVerdict.js';

/** Schema of a failure domain's status within a snapshot. */
export const failureDomainStatusSchema = z.strictObject({
  name: z.string(),
  state: z.enum(['in', 'out', 'returning']),
  revision: z.number().int(),
  changedAtMs: z.number(),
});

/** Keeps the newest order of each failure domain. */
export class FailureDomainFold {
  private readonly statuses = new Map<string, FailureDomainStatus>();

  /** Returns the failure domains that ever had an order; others are in service at revision 0. */
  getStatuses(): readonly FailureDomainStatus[] {
    return [...this.statuses.values()];
  }

  /**
   * Takes over the statuses of a snapshot.
   * @param statuses - The statuses.
   */
  restore(statuses: readonly FailureDomainStatus[]): void {
    this.statuses.clear();
    for (const status of statuses) this.statuses.set(status.name, status);
  }

  /**
   * Applies an order.
   * @param body - The order.
   */
  applyOrder(body: LogBodyOf<'domain-order'>): FleetVerdict {
    const {failureDomain: name, state, replacesRevision, requestedAtMs} = body;
    const revision = this.statuses.get(name)?.revision ?? 0;
    if (replacesRevision !== revision) return reject('not-newest-revision');
    this.statuses.set(name, {name, state, revision: revision + 1, changedAtMs: requestedAtMs});
    return ACCEPTED;
  }
}
