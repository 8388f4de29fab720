/** Orders backend servers as the holder of the duties. */
import type {Catalog, KnownServer, Service} from '../catalog/index.js';
import {decideFleetSize, type DomainOrder} from '../controllers/fleetSize/index.js';
import type {DutyClaim} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {DutyCalls, DutyResult, ServerOrder} from './ports.js';

/** Options of a `FleetDuty`. */
export interface FleetDutyOptions {
  readonly catalog: Catalog;
  readonly calls: DutyCalls;
  readonly events: EventLogger;
  readonly failureDomains: readonly string[];
}

interface LastOrder {
  readonly count: number;
  readonly atMs: number;
  readonly isDone: boolean;
}

/** Servers that the load needs, for each failure domain that there is. */
const NEEDED_SERVERS_PER_DOMAIN = 1.25;
/** An order that has no effect is repeated after this time. */
const REPEAT_ORDER_MS = 5_000;
/** An order that was turned down is repeated after this time. */
const REPEAT_REJECTED_MS = 1_000;
/** Servers are given back only after the fleet was large enough for this long. */
const GIVE_BACK_AFTER_MS = 800;

/** Orders of one claim. */
export class FleetDuty {
  private readonly options: FleetDutyOptions;
  private readonly lastOrders = new Map<string, LastOrder>();
  private readonly surplusSinceMs = new Map<string, number>();

  constructor(options: FleetDutyOptions) {
    this.options = options;
  }

  /**
   * Orders what the fleet lacks and gives back what it doesn't need.
   * @param claim - The claim under which it acts.
   * @param nowMs - Present time, monotonic.
   */
  async run(claim: DutyClaim, nowMs: number): Promise<DutyResult> {
    const services = this.options.catalog.table?.configuration.services.values() ?? [];
    for (const service of services) {
      const result = await this.runService(service, claim, nowMs);
      if (result === 'superseded') return result;
    }
    return 'done';
  }

  private async runService(service: Service, claim: DutyClaim, nowMs: number): Promise<DutyResult> {
    const bounds = service.replicaBounds;
    if (!bounds) return 'done';
    const servers = this.getServers(service.name);
    const domains = this.options.failureDomains.map(failureDomain => ({
      failureDomain,
      onDemand: count(servers, failureDomain, false),
      reclaimable: count(servers, failureDomain, true),
    }));
    const neededServers = Math.ceil(domains.length * NEEDED_SERVERS_PER_DOMAIN);
    for (const order of decideFleetSize({bounds, domains, neededServers})) {
      const result = await this.orderDomain(service.name, order, servers, claim, nowMs);
      if (result === 'superseded') return result;
    }
    return 'done';
  }

  private async orderDomain(
    service: string,
    order: DomainOrder,
    servers: readonly KnownServer[],
    claim: DutyClaim,
    nowMs: number,
  ): Promise<DutyResult> {
    const {failureDomain} = order;
    for (const isReclaimable of [true, false]) {
      const wanted = isReclaimable ? order.reclaimable : order.onDemand;
      const present = count(servers, failureDomain, isReclaimable);
      const next = {service, failureDomain, count: wanted, isReclaimable};
      if (!this.isDue(next, present, nowMs)) continue;
      const result = await this.send(next, present, claim, nowMs);
      if (result === 'superseded') return result;
    }
    return 'done';
  }

  private isDue(order: ServerOrder, present: number, nowMs: number): boolean {
    const key = getKey(order);
    const last = this.lastOrders.get(key);
    if (order.count >= present) this.surplusSinceMs.delete(key);
    else if (!this.surplusSinceMs.has(key)) this.surplusSinceMs.set(key, nowMs);
    if (order.count === present && (!last || last.count === order.count)) return false;
    const surplusSinceMs = this.surplusSinceMs.get(key);
    if (surplusSinceMs !== undefined && nowMs - surplusSinceMs < GIVE_BACK_AFTER_MS) return false;
    if (!last || last.count !== order.count) return true;
    return nowMs - last.atMs >= (last.isDone ? REPEAT_ORDER_MS : REPEAT_REJECTED_MS);
  }

  private async send(
    order: ServerOrder,
    present: number,
    claim: DutyClaim,
    nowMs: number,
  ): Promise<DutyResult> {
    const result = await this.options.calls.orderServers(order, claim);
    this.lastOrders.set(getKey(order), {
      count: order.count,
      atMs: nowMs,
      isDone: result === 'done',
    });
    this.options.events.log('server order', {...order, present, result, token: claim.token});
    return result;
  }

  private getServers(service: string): readonly KnownServer[] {
    return this.options.catalog.servers.getOpenServers(service, new Set());
  }
}

function count(
  servers: readonly KnownServer[],
  failureDomain: string,
  isReclaimable: boolean,
): number {
  return servers.filter(
    ({entry}) => entry.failureDomain === failureDomain && entry.isReclaimable === isReclaimable,
  ).length;
}

function getKey({service, failureDomain, isReclaimable}: ServerOrder): string {
  return `${service} ${failureDomain} ${isReclaimable ? 'reclaimable' : 'on-demand'}`;
}
