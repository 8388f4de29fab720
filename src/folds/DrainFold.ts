/** Drains: backend servers that the lease holder takes out of service before it stops them. */
import {z} from 'zod';
import type {Instance} from '../blackboard/index.js';
import type {LogBodyOf} from '../records/index.js';
import {ACCEPTED, type FleetRecordResult} from './FleetRecordResult.js';

/** Schema of a drain within a snapshot. */
export const instanceDrainSchema = z.strictObject({
  instanceId: z.string(),
  service: z.string(),
  decidedAtMs: z.number(),
  stopAtMs: z.number(),
});

/** A backend server that gets no new requests and is stopped by `stopAtMs`. */
export type InstanceDrain = Readonly<z.infer<typeof instanceDrainSchema>>;

/**
 * How long a drain is kept after its stop time, because the platform's lagging list of instances may still show the
 * instance as live.
 */
const RETENTION_AFTER_STOP_MS = 3_600_000;

/** Keeps each drain until an hour after its stop time. */
export class DrainFold {
  private readonly drains = new Map<string, InstanceDrain>();

  /** Returns the kept drains, oldest order first. */
  getDrains(): readonly InstanceDrain[] {
    return [...this.drains.values()];
  }

  /** Replaces the drains by those of a snapshot. */
  restore(drains: readonly InstanceDrain[]): void {
    this.drains.clear();
    for (const drain of drains) this.drains.set(drain.instanceId, drain);
  }

  /** Applies a drain ordered by the lease holder; the caller has checked its fencing token. */
  applyDrain(body: LogBodyOf<'instance-drain'>): FleetRecordResult {
    const {instanceId, service, decidedAtMs, stopAtMs} = body;
    for (const [drainedId, drain] of this.drains) {
      if (drain.stopAtMs + RETENTION_AFTER_STOP_MS < decidedAtMs) this.drains.delete(drainedId);
    }
    if (!this.drains.has(instanceId)) {
      this.drains.set(instanceId, {instanceId, service, decidedAtMs, stopAtMs});
    }
    return ACCEPTED;
  }
}

/**
 * Returns the instances with the live ones that are being drained marked as leaving.
 * @param instances - Instances as the platform lists them.
 * @param drains - Drains computed from the fleet stream.
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
