/** A gateway's copy of the deployment's state: configuration, backend servers, operators' orders, and its age. */
import {RouteTable} from './RouteTable.js';
import {ServerCatalog} from './ServerCatalog.js';
import type {ServingConfiguration} from './ServingConfiguration.js';

/** An operator's order to move a service's traffic gradually to another software version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** Monotonic time at which this process first read the order. */
  readonly learnedAtMs: number;
}

/** Time in which a gateway reads a configuration that another one has reported. */
const CONFIGURATION_READ_MS = 1_500;

/** Replicated state of the deployment, as read from the operators' records and the registrations. */
export class Catalog {
  readonly servers = new ServerCatalog();
  private currentRouteTable: RouteTable | undefined;
  private readonly evacuatedDomainNames = new Set<string>();
  private readonly endedEvacuations = new Set<string>();
  private readonly rolloutOrders = new Map<string, RolloutOrder>();
  /** Highest version of the configuration that another gateway has in force, and when it was first reported. */
  private reportedVersion = 0;
  private reportedAtMs = -Infinity;
  /** Version of the first configuration that this process has read. */
  private firstVersion: number | undefined;
  private operatorRecordsCurrentAtMs = -Infinity;
  private registrationsCurrentAtMs = -Infinity;

  /** Lookup table of the newest configuration; undefined before a configuration has been read. */
  get routeTable(): RouteTable | undefined {
    return this.currentRouteTable;
  }

  /** Failure domains that operators have evacuated; their backend servers get no requests. */
  get evacuatedDomains(): ReadonlySet<string> {
    return this.evacuatedDomainNames;
  }

  /** Roll-out orders in force, by service. */
  get rollouts(): ReadonlyMap<string, RolloutOrder> {
    return this.rolloutOrders;
  }

  /**
   * Puts a configuration into force; returns false if it is ignored.
   * @param configuration - Ignored unless its version is higher than that in force.
   */
  applyConfiguration(configuration: ServingConfiguration): boolean {
    const known = this.currentRouteTable?.configuration.version ?? -Infinity;
    if (configuration.version <= known) return false;
    this.currentRouteTable = new RouteTable(configuration);
    this.firstVersion ??= configuration.version;
    return true;
  }

  /**
   * Records the version of the configuration that another gateway has in force.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyReportedVersion(version: number, nowMs: number): void {
    if (version <= this.reportedVersion) return;
    this.reportedVersion = version;
    this.reportedAtMs = nowMs;
  }

  /**
   * Returns whether another gateway has a newer configuration in force that this process should have read by now. A process
   * that has just started may have read an old one from a store that was restored from a copy.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  isConfigurationOutdated(nowMs: number): boolean {
    const version = this.currentRouteTable?.configuration.version ?? -Infinity;
    if (version >= this.reportedVersion) return false;
    return version === this.firstVersion || nowMs - this.reportedAtMs >= CONFIGURATION_READ_MS;
  }

  /**
   * Sets whether a failure domain is evacuated.
   * @param failureDomain - Name of the failure domain.
   * @param isEvacuated - Whether its backend servers get no requests.
   */
  setEvacuated(failureDomain: string, isEvacuated: boolean): void {
    if (isEvacuated) {
      this.evacuatedDomainNames.add(failureDomain);
      this.endedEvacuations.delete(failureDomain);
    } else if (this.evacuatedDomainNames.delete(failureDomain)) {
      this.endedEvacuations.add(failureDomain);
    }
  }

  /** Returns whether a failure domain was evacuated and its evacuation has ended. */
  hasEndedEvacuation(failureDomain: string): boolean {
    return this.endedEvacuations.has(failureDomain);
  }

  /**
   * Sets or removes the roll-out order of a service; returns false if it is the known one.
   * @param service - Name of the service.
   * @param order - Replaces an order for another version or time; undefined if the order was withdrawn.
   */
  setRollout(service: string, order: RolloutOrder | undefined): boolean {
    const known = this.rolloutOrders.get(service);
    if (known?.targetVersion === order?.targetVersion && known?.durationMs === order?.durationMs) {
      return false;
    }
    if (order) this.rolloutOrders.set(service, order);
    else this.rolloutOrders.delete(service);
    return true;
  }

  /**
   * Sets the time up to which the operators' records are completely known.
   * @param atMs - Monotonic time in milliseconds; earlier than the present one if a read turned out to be older.
   */
  setOperatorRecordsCurrent(atMs: number): void {
    this.operatorRecordsCurrentAtMs = atMs;
  }

  /**
   * Marks the registrations as completely known up to a time.
   * @param atMs - Monotonic time in milliseconds; ignored if earlier than the recorded one.
   */
  markRegistrationsCurrent(atMs: number): void {
    this.registrationsCurrentAtMs = Math.max(this.registrationsCurrentAtMs, atMs);
  }

  /**
   * Returns the time since the operators' records were last known to be complete; infinite before the first read.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getOperatorRecordsAgeMs(nowMs: number): number {
    return nowMs - this.operatorRecordsCurrentAtMs;
  }

  /**
   * Returns the time since the registrations were last known to be complete; infinite before the first read.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getRegistrationsAgeMs(nowMs: number): number {
    return nowMs - this.registrationsCurrentAtMs;
  }
}
