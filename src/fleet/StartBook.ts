/** Keeps which instance was started for which vacancy until the cloud lists it. */
import type {Instance} from '../blackboard/index.js';
import type {PendingInstance, Vacancy} from '../controllers/capacity/index.js';

interface StartedInstance extends PendingInstance {
  readonly slot: string;
  readonly generation: number;
  readonly startedAtMs: number;
}

/** Time after which an instance that the cloud doesn't list never comes. */
const NEVER_COMES_AFTER_MS = 120_000;

/** Remembers starts of this holder; another holder finds them again through the client tokens. */
export class StartBook {
  private readonly started = new Map<string, StartedInstance>();
  private readonly filledSlots = new Set<string>();
  private readonly generations = new Map<string, number>();

  /**
   * Notes a start.
   * @param vacancy - What it was for.
   * @param failureDomain - Where it was asked for.
   * @param instanceId - The instance that the cloud gave.
   * @param nowMs - Present time by the wall clock.
   */
  addStart(vacancy: Vacancy, failureDomain: string, instanceId: string, nowMs: number): void {
    const {service, version, slot, generation} = vacancy;
    const started = {instanceId, service, version, failureDomain, slot, generation};
    this.started.set(slot, {...started, startedAtMs: nowMs});
  }

  /**
   * Compares the starts with the cloud's instances.
   * @param instances - Instances as the cloud lists them.
   * @param nowMs - Present time by the wall clock.
   */
  update(instances: readonly Instance[], nowMs: number): void {
    const listed = new Set(instances.map(({instanceId}) => instanceId));
    for (const {slot, instanceId, generation, startedAtMs} of this.started.values()) {
      if (listed.has(instanceId)) {
        this.filledSlots.add(slot);
        this.started.delete(slot);
      } else if (nowMs > startedAtMs + NEVER_COMES_AFTER_MS) {
        this.generations.set(slot, generation + 1);
        this.started.delete(slot);
      }
    }
  }

  /** Returns the instances that were started and aren't listed yet. */
  getPendingInstances(): readonly PendingInstance[] {
    return [...this.started.values()];
  }

  /** Returns the slots that must not be asked for again, those whose instance is awaited among them. */
  getFilledSlots(): readonly string[] {
    return [...this.filledSlots, ...this.started.keys()];
  }

  /** Returns the generation of each slot whose instance never came. */
  getGenerations(): ReadonlyMap<string, number> {
    return this.generations;
  }
}
