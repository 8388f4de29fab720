/** Current and past states of all instances, shared by the cloud API and the instance list. */
import {z} from 'zod';
import type {Instance} from '../../src/blackboard/index.js';

/** Schema of the body of `POST /standin/instances`, with which an instance registers itself. */
export const instanceSchema = z.strictObject({
  instanceId: z.string().min(1),
  role: z.enum(['entry', 'fleet', 'backend']),
  address: z.string(),
  port: z.number().int(),
  peerPort: z.number().int().optional(),
  failureDomain: z.string(),
  machineClass: z.string().default('standard'),
  market: z.enum(['reclaimable', 'on-demand']).default('reclaimable'),
  state: z.enum(['live', 'leaving', 'gone']).default('live'),
  leavingAtMs: z.number().optional(),
  service: z.string().optional(),
  version: z.string().optional(),
});

/** Notice that an instance will be reclaimed at `leavingAtMs` (Unix time in milliseconds). */
export interface ReclaimNotice {
  readonly sequence: number;
  readonly instanceId: string;
  readonly leavingAtMs: number;
}

interface Change {
  readonly atMs: number;
  readonly instance: Instance;
}

const HISTORY_PER_INSTANCE = 16;

/** Keeps the last states of each instance, and all reclaim notices. */
export class InstanceRegistry {
  private readonly changes = new Map<string, Change[]>();
  private readonly notices: ReclaimNotice[] = [];
  private readonly waiters = new Set<() => void>();

  /** Adds an instance or replaces its current state; keeps the earlier states. */
  putInstance(instance: Instance, nowMs: number): void {
    const history = this.changes.get(instance.instanceId) ?? [];
    history.push({atMs: nowMs, instance});
    this.changes.set(instance.instanceId, history.slice(-HISTORY_PER_INSTANCE));
  }

  /** Returns the current state of an instance; undefined if it never registered. */
  getInstance(instanceId: string): Instance | undefined {
    return this.changes.get(instanceId)?.at(-1)?.instance;
  }

  /**
   * Returns all instances as of a time; leaves out those that had not registered by then.
   * @param atMs - Unix time in milliseconds.
   */
  getInstances(atMs: number): readonly Instance[] {
    return [...this.changes.values()].flatMap(history => {
      const change = history.findLast(item => item.atMs <= atMs);
      return change ? [change.instance] : [];
    });
  }

  /**
   * Marks an instance as leaving and publishes a reclaim notice.
   * @param leavingAtMs - Unix time in milliseconds at which the instance is reclaimed.
   * @throws Error if the instance is not registered.
   */
  addNotice(instanceId: string, leavingAtMs: number, nowMs: number): void {
    const instance = this.getInstance(instanceId);
    if (!instance) throw new Error(`unknown instance ${instanceId}`);
    this.putInstance({...instance, state: 'leaving', leavingAtMs}, nowMs);
    this.notices.push({sequence: this.notices.length, instanceId, leavingAtMs});
    for (const notifyWaiter of [...this.waiters]) notifyWaiter();
  }

  /** Marks an instance as gone; does nothing if it is unknown. */
  removeInstance(instanceId: string, nowMs: number): void {
    const instance = this.getInstance(instanceId);
    if (instance && instance.state !== 'gone') {
      this.putInstance({...instance, state: 'gone'}, nowMs);
    }
  }

  /** Returns the notices with at least the given sequence number. */
  getNotices(from: number): readonly ReclaimNotice[] {
    return this.notices.slice(from);
  }

  /** Waits until there is a notice with at least the given sequence number, or until `waitMs` have passed. */
  async waitForNotice(from: number, waitMs: number): Promise<void> {
    if (this.notices.length > from || waitMs <= 0) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.add(finish);
    });
  }
}
