/** The instances as the cloud knows them now, and as they were a while ago. */
import {z} from 'zod';
import type {Instance} from '../../src/blackboard/index.js';

/** Schema of an instance as it registers itself. */
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

/** A notice that an instance is reclaimed. */
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

/** Keeps each instance with its last changes, and the notices. */
export class InstanceRegistry {
  private readonly changes = new Map<string, Change[]>();
  private readonly notices: ReclaimNotice[] = [];
  private readonly waiters = new Set<() => void>();

  /** Adds an instance, or replaces what is known of it. */
  putInstance(instance: Instance, nowMs: number): void {
    const history = this.changes.get(instance.instanceId) ?? [];
    history.push({atMs: nowMs, instance});
    this.changes.set(instance.instanceId, history.slice(-HISTORY_PER_INSTANCE));
  }

  /** Returns an instance as it is now. */
  getInstance(instanceId: string): Instance | undefined {
    return this.changes.get(instanceId)?.at(-1)?.instance;
  }

  /** Returns all instances as they were at an instant. */
  getInstances(atMs: number): readonly Instance[] {
    return [...this.changes.values()].flatMap(history => {
      const change = history.findLast(item => item.atMs <= atMs);
      return change ? [change.instance] : [];
    });
  }

  /** Announces that an instance is taken away at an instant. */
  addNotice(instanceId: string, leavingAtMs: number, nowMs: number): void {
    const instance = this.getInstance(instanceId);
    if (!instance) throw new Error(`unknown instance ${instanceId}`);
    this.putInstance({...instance, state: 'leaving', leavingAtMs}, nowMs);
    this.notices.push({sequence: this.notices.length, instanceId, leavingAtMs});
    for (const wake of [...this.waiters]) wake();
  }

  /** Marks an instance as gone. */
  removeInstance(instanceId: string, nowMs: number): void {
    const instance = this.getInstance(instanceId);
    if (instance && instance.state !== 'gone') {
      this.putInstance({...instance, state: 'gone'}, nowMs);
    }
  }

  /** Returns the notices from a sequence number on. */
  getNotices(from: number): readonly ReclaimNotice[] {
    return this.notices.slice(from);
  }

  /** Waits for a notice from a sequence number on. */
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
