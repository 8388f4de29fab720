/** Backend servers that the lease's holder takes out of use before it stops them. */
import {z} from 'zod';
import type {Instance} from '../blackboard/index.js';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, type FleetVerdict} from './FleetVerdict.js';

/** Schema of a drain within a snapshot. */
export const instanceDrainSchema = z.strictObject({
  instanceId: z.string(),
  service: z.string(),
  decidedAtMs: z.number(),
  stopAtMs: z.number(),
});

/** A backend server that gets no new work and is stopped. */
export type InstanceDrain = Readonly<z.infer<typeof instanceDrainSchema>>;

/** Time after its stop for which a drain is kept, so that a lagging list doesn't bring the instance back into use. */
const KEPT_AFTER_STOP_MS = 3_600_000;

/** Keeps the drains of the last hour. */
export class DrainFold {
  private readonly drains = new Map<string, InstanceDrain>();

  /** Returns the drains. */
  getDrains(): readonly InstanceDrain[] {
    return [...this.drains.values()];
  }

  /**
   * Takes over the drains of a snapshot.
   * @param drains - The drains.
   */
  restore(drains: readonly InstanceDrain[]): void {
    this.drains.clear();
    for (const drain of drains) this.drains.set(drain.instanceId, drain);
  }

  /**
   * Applies a drain of the lease's holder; its fencing token has been checked.
   * @param body - The drain.
   */
  applyDrain(body: LogBodyOf<'instance-drain'>): FleetVerdict {
    const {instanceId, service, decidedAtMs, stopAtMs} = body;
    for (const [known, drain] of this.drains) {
      if (drain.stopAtMs + KEPT_AFTER_STOP_MS < decidedAtMs) this.drains.delete(known);
    }
    if (!this.drains.has(instanceId)) {
      this.drains.set(instanceId, {instanceId, service, decidedAtMs, stopAtMs});
    }
    return ACCEPTED;
  }
}

/**
 * Returns the instances with those that are being drained marked as leaving.
 * @param instances - Instances as the platform lists them.
 * @param drains - Drains as the fleet stream gives them.
 */
export function markDrainingInstances(
  instances: readonly Instance[],
  drains: readonly InstanceDrain[],
): readonly Instance[] {
  const stopTimes = new Map(drains.map(({instanceId, stopAtMs}) => [instanceId, stopAtMs]));
  return instances.map(instance => {
    const stopAtMs = stopTimes.get(instance.instanceId);
    if (stopAtMs === undefined || instance.state !== 'live') return instance;
    return {...instance, state: 'leaving', leavingAtMs: stopAtMs};
  });
}
