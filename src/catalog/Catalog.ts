/** What a gateway believes about the deployment: configuration, backend servers, evacuations, and how current that is. */
import {RouteTable} from './RouteTable.js';
import {ServerCatalog} from './ServerCatalog.js';
import type {ServingConfiguration} from './ServingConfiguration.js';

/** An operator's order to move a service's traffic to another software version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** Instant at which this process learned of it, monotonic. */
  readonly learnedAtMs: number;
}

/** State of the deployment as one process has read it. */
export class Catalog {
  readonly servers = new ServerCatalog();
  private currentTable: RouteTable | undefined;
  private readonly evacuated = new Set<string>();
  private readonly rolloutOrders = new Map<string, RolloutOrder>();
  private operatorCurrentAtMs = -Infinity;
  private serversCurrentAtMs = -Infinity;

  /** The newest configuration; undefined before the first. */
  get table(): RouteTable | undefined {
    return this.currentTable;
  }

  /** Failure domains that operators have evacuated. */
  get evacuatedDomains(): ReadonlySet<string> {
    return this.evacuated;
  }

  /** Roll-outs that are ordered, by service. */
  get rollouts(): ReadonlyMap<string, RolloutOrder> {
    return this.rolloutOrders;
  }

  /**
   * Takes a configuration unless a newer one is known; returns whether it was taken.
   * @param configuration - The configuration.
   */
  applyConfiguration(configuration: ServingConfiguration): boolean {
    const known = this.currentTable?.configuration.version ?? -Infinity;
    if (configuration.version <= known) return false;
    this.currentTable = new RouteTable(configuration);
    return true;
  }

  /**
   * Sets whether a failure domain is evacuated.
   * @param failureDomain - The failure domain.
   * @param isEvacuated - Whether it gets no requests.
   */
  setEvacuated(failureDomain: string, isEvacuated: boolean): void {
    if (isEvacuated) this.evacuated.add(failureDomain);
    else this.evacuated.delete(failureDomain);
  }

  /**
   * Sets or ends a roll-out order.
   * @param service - The service.
   * @param order - The order; undefined when it was withdrawn.
   */
  setRollout(service: string, order: RolloutOrder | undefined): void {
    if (order) this.rolloutOrders.set(service, order);
    else this.rolloutOrders.delete(service);
  }

  /**
   * Notes that all operators' records up to an instant are known.
   * @param atMs - The instant, monotonic.
   */
  markOperatorCurrent(atMs: number): void {
    this.operatorCurrentAtMs = Math.max(this.operatorCurrentAtMs, atMs);
  }

  /**
   * Notes that all registrations up to an instant are known.
   * @param atMs - The instant, monotonic.
   */
  markServersCurrent(atMs: number): void {
    this.serversCurrentAtMs = Math.max(this.serversCurrentAtMs, atMs);
  }

  /**
   * Returns the age of what is known of the operators' records.
   * @param nowMs - Present time, monotonic.
   */
  getOperatorAgeMs(nowMs: number): number {
    return nowMs - this.operatorCurrentAtMs;
  }

  /**
   * Returns the age of what is known of the registrations.
   * @param nowMs - Present time, monotonic.
   */
  getServersAgeMs(nowMs: number): number {
    return nowMs - this.serversCurrentAtMs;
  }
}
