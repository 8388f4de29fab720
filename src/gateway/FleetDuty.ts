/** The duty of keeping the fleet at its required size: orders and returns backend servers. */
import type {Catalog, KnownServer, ReplicaBounds, Service} from '../catalog/index.js';
import {
  NeededServers,
  decideFleetSize,
  type DomainOrder,
  type ServerNeed,
  type ServiceLoad,
} from '../controllers/fleetSize/index.js';
import type {DutyClaim} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {DutyCalls, DutyResult, ServerOrder} from './ports.js';

/** Constructor options of `FleetDuty`. */
export interface FleetDutyOptions {
  readonly catalog: Catalog;
  readonly calls: DutyCalls;
  readonly events: EventLogger;
  /** All failure domains of the deployment. */
  readonly failureDomains: readonly string[];
  /** Returns the load of a service over all gateways. */
  readonly getLoad: (service: string, nowMs: number) => ServiceLoad;
  /** Returns whether a service is being moved to another version, with servers of both. */
  readonly isMoving: (service: string) => boolean;
}

/** The latest order of one service, failure domain and server type. */
interface LastOrder {
  readonly count: number;
  readonly sentAtMs: number;
  readonly isAccepted: boolean;
}

/** Delay before an accepted order that had no effect is repeated. */
const ACCEPTED_RETRY_MS = 5_000;
/** Delay before a rejected order is repeated. */
const REJECTED_RETRY_MS = 1_000;
/** Time after the end of its boot within which a server registers and this gateway learns of it. */
const REGISTRATION_DELAY_MS = 4_000;
/** Servers that one failure domain needs. */
interface DomainNeed extends DomainOrder {
  /** False while some of the provided servers may not have registered yet: an order could return those. */
  readonly mayReturnServers: boolean;
}

/** Time without servers of two versions after which a roll-out has left the number of servers that it will leave. */
const MOVED_SETTLING_MS = 6_000;
/** Surplus servers are returned only after the surplus has lasted this long. */
const SCALE_DOWN_DELAY_MS = 800;

/** Orders servers under one claim and remembers the orders sent, so that they are repeated only after a delay. */
export class FleetDuty {
  private readonly options: FleetDutyOptions;
  private readonly lastOrders = new Map<string, LastOrder>();
  /** When the platform last refused an order, by the order's key. */
  private readonly refusedAtMs = new Map<string, number>();
  private readonly surplusSinceMs = new Map<string, number>();
  private readonly needs = new Map<string, NeededServers>();
  /** When servers of two versions of a service were last seen. */
  private readonly movedAtMs = new Map<string, number>();

  constructor(options: FleetDutyOptions) {
    this.options = options;
  }

  /**
   * Orders missing servers and returns surplus ones, for every service with replica bounds.
   * @param claim - Claim sent with each order; the run stops at the first order refused because of a newer claim.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  async run(claim: DutyClaim, nowMs: number): Promise<DutyResult> {
    const services = this.options.catalog.routeTable?.configuration.services.values() ?? [];
    for (const service of services) {
      const result = await this.orderForService(service, claim, nowMs);
      if (result === 'superseded') return result;
    }
    return 'done';
  }

  private async orderForService(
    service: Service,
    claim: DutyClaim,
    nowMs: number,
  ): Promise<DutyResult> {
    const bounds = service.replicaBounds;
    if (!bounds) return 'done';
    const servers = this.getServers(service.name);
    const domains = this.options.failureDomains.map(failureDomain => ({
      failureDomain,
      onDemand: countServers(servers, failureDomain, false),
      reclaimable: countServers(servers, failureDomain, true),
      refusesReclaimable: this.refusesReclaimable(service.name, failureDomain, nowMs),
    }));
    const need = this.updateNeed(service, servers, nowMs);
    if (!this.hasOneVersion(service.name, nowMs)) return 'done';
    const {servers: neededServers, leastServers, loadServers, isKnown} = need;
    const view = {bounds, domains, neededServers, leastServers, loadServers};
    for (const order of decideFleetSize(view)) {
      const domainNeed: DomainNeed = {...order, mayReturnServers: isKnown};
      const result = await this.orderForDomain(service.name, domainNeed, servers, claim, nowMs);
      if (result === 'superseded') return result;
    }
    return 'done';
  }

  /** Returns how many servers a service needs, and whether that is more than a lower bound. */
  private updateNeed(
    {name, engine}: Service,
    servers: readonly KnownServer[],
    nowMs: number,
  ): ServerNeed & {readonly isKnown: boolean} {
    const need = this.needs.get(name) ?? new NeededServers();
    this.needs.set(name, need);
    const view = {
      load: this.options.getLoad(name, nowMs),
      slotsPerServer: engine?.slots ?? servers[0]?.entry.slots ?? 1,
      availableServers: servers.length,
      failureDomains: this.options.failureDomains.length,
      latencyTargetMs: this.getLatencyTargetMs(name),
    };
    return {...need.update(view, nowMs), isKnown: need.isKnown(nowMs)};
  }

  /** Returns the longest target of the service's routes: the longest prompts make up most of the tokens that wait. */
  private getLatencyTargetMs(service: string): number {
    const routes = this.options.catalog.routeTable?.configuration.routes ?? [];
    const targets = routes
      .filter(({shares}) => shares.some(share => share.service === service))
      .map(({latencyTargetMs}) => latencyTargetMs);
    return Math.max(0, ...targets);
  }

  /**
   * Returns whether a service's servers have had a single version for some time. The platform carries out an order without
   * regard to versions, so one that is sent before may take away the servers that are to stay.
   */
  private hasOneVersion(service: string, nowMs: number): boolean {
    if (this.options.isMoving(service)) this.movedAtMs.set(service, nowMs);
    return nowMs - (this.movedAtMs.get(service) ?? -Infinity) >= MOVED_SETTLING_MS;
  }

  private async orderForDomain(
    service: string,
    order: DomainNeed,
    servers: readonly KnownServer[],
    claim: DutyClaim,
    nowMs: number,
  ): Promise<DutyResult> {
    const {failureDomain} = order;
    for (const isReclaimable of [true, false]) {
      const desiredCount = isReclaimable ? order.reclaimable : order.onDemand;
      const present = countServers(servers, failureDomain, isReclaimable);
      const serverOrder = {service, failureDomain, count: desiredCount, isReclaimable};
      const isAddition = isReclaimable && desiredCount > present;
      if (!order.mayReturnServers && !isAddition) continue;
      if (!this.isDue(serverOrder, present, nowMs)) continue;
      const result = await this.sendOrder(serverOrder, present, claim, nowMs);
      if (result === 'superseded') return result;
    }
    return 'done';
  }

  /** Returns whether to send an order now; `present` is the number of servers that are registered and not draining. */
  private isDue(order: ServerOrder, present: number, nowMs: number): boolean {
    const key = getOrderKey(order);
    const last = this.lastOrders.get(key);
    if (order.count >= present) this.surplusSinceMs.delete(key);
    else if (!this.surplusSinceMs.has(key)) this.surplusSinceMs.set(key, nowMs);
    if (order.count === present && (!last || last.count === order.count)) return false;
    const surplusSinceMs = this.surplusSinceMs.get(key);
    if (surplusSinceMs !== undefined && nowMs - surplusSinceMs < SCALE_DOWN_DELAY_MS) return false;
    if (!last || last.count !== order.count) return true;
    return nowMs - last.sentAtMs >= (last.isAccepted ? ACCEPTED_RETRY_MS : REJECTED_RETRY_MS);
  }

  private async sendOrder(
    order: ServerOrder,
    present: number,
    claim: DutyClaim,
    nowMs: number,
  ): Promise<DutyResult> {
    const result = await this.options.calls.orderServers(order, claim);
    if (result === 'rejected') this.refusedAtMs.set(getOrderKey(order), nowMs);
    this.lastOrders.set(getOrderKey(order), {
      count: order.count,
      sentAtMs: nowMs,
      isAccepted: result === 'done',
    });
    this.options.events.log('server order', {...order, present, result, token: claim.token});
    return result;
  }

  /** Returns whether reclaimable servers were refused so lately that none can have been started since. */
  private refusesReclaimable(service: string, failureDomain: string, nowMs: number): boolean {
    const key = getOrderKey({service, failureDomain, isReclaimable: true});
    const bootMs = this.getBounds(service)?.bootMs ?? 0;
    const refusedAtMs = this.refusedAtMs.get(key) ?? -Infinity;
    return nowMs - refusedAtMs <= bootMs + REGISTRATION_DELAY_MS;
  }

  private getBounds(service: string): ReplicaBounds | undefined {
    return this.options.catalog.routeTable?.configuration.services.get(service)?.replicaBounds;
  }

  private getServers(service: string): readonly KnownServer[] {
    return this.options.catalog.servers.getAvailableServers(service, new Set());
  }
}

function countServers(
  servers: readonly KnownServer[],
  failureDomain: string,
  isReclaimable: boolean,
): number {
  return servers.filter(
    ({entry}) => entry.failureDomain === failureDomain && entry.isReclaimable === isReclaimable,
  ).length;
}

function getOrderKey({service, failureDomain, isReclaimable}: Omit<ServerOrder, 'count'>): string {
  return `${service} ${failureDomain} ${isReclaimable ? 'reclaimable' : 'on-demand'}`;
}
