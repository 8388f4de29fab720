/** Tracks instances that were started for a vacancy and that the cloud doesn't list yet. */
import type {Instance} from '../blackboard/index.js';
import type {PendingInstance, Vacancy} from '../controllers/capacity/index.js';

interface StartedInstance extends PendingInstance {
  readonly slot: string;
  readonly generation: number;
  readonly startedAtMs: number;
}

/** An instance that the cloud doesn't list within this time after its start is assumed never to appear. */
const LISTING_TIMEOUT_MS = 120_000;

/**
 * Remembers in memory the instances that this lease holder started and the cloud doesn't list yet. A successor may
 * repeat such starts: through their idempotent client tokens it gets the same instances.
 */
export class PendingStartTracker {
  private readonly started = new Map<string, StartedInstance>();
  private readonly filledSlots = new Set<string>();
  private readonly generations = new Map<string, number>();

  /**
   * Adds an instance that the cloud has just started.
   * @param vacancy - The vacancy that the instance fills.
   * @param failureDomain - Failure domain in which it was started.
   * @param instanceId - Id from the response of the cloud API.
   * @param nowMs - Current Unix time in milliseconds.
   */
  addStart(vacancy: Vacancy, failureDomain: string, instanceId: string, nowMs: number): void {
    const {service, version, slot, generation} = vacancy;
    const started = {instanceId, service, version, failureDomain, slot, generation};
    this.started.set(slot, {...started, startedAtMs: nowMs});
  }

  /**
   * Removes starts whose instances are now listed, and gives up those that weren't listed in time.
   * @param instances - Backend servers from the cloud API's list.
   * @param nowMs - Current Unix time in milliseconds.
   */
  reconcile(instances: readonly Instance[], nowMs: number): void {
    const listed = new Set(instances.map(({instanceId}) => instanceId));
    for (const {slot, instanceId, generation, startedAtMs} of this.started.values()) {
      if (listed.has(instanceId)) {
        this.filledSlots.add(slot);
        this.started.delete(slot);
      } else if (nowMs > startedAtMs + LISTING_TIMEOUT_MS) {
        this.generations.set(slot, generation + 1);
        this.started.delete(slot);
      }
    }
  }

  /** Returns the started instances that aren't listed yet. */
  getPendingInstances(): readonly PendingInstance[] {
    return [...this.started.values()];
  }

  /** Returns the slots that must not be filled again, including those whose instance isn't listed yet. */
  getOccupiedSlots(): readonly string[] {
    return [...this.filledSlots, ...this.started.keys()];
  }

  /** Returns the next generation of each slot whose instance never appeared; it makes client tokens unique. */
  getGenerations(): ReadonlyMap<string, number> {
    return this.generations;
  }
}
