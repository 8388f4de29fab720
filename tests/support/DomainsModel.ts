/** Simulates cloud, log and lease holders in virtual time, to test capacity during evacuations and spot reclaims. */
import type {Instance} from '../../src/blackboard/index.js';
import {decideFailureDomains} from '../../src/controllers/failureDomains/index.js';
import {CapacityRunner, type CapacityRunnerOptions} from '../../src/fleet/CapacityRunner.js';
import {FleetFold} from '../../src/folds/index.js';
import {createLogger} from '../../src/logging/index.js';
import {Metrics} from '../../src/metrics/index.js';
import type {StartInstanceRequest} from '../../src/infrastructure/index.js';
import type {LogBody} from '../../src/records/index.js';
import {CONFIGURATION, GUIDANCE} from './deployment.js';

/** Names of the simulated failure domains. */
export const DOMAINS = ['accra', 'kasoa', 'tema', 'tema-west'];
/** Servers that the load needs; a drain must never leave fewer. */
export const REPLICAS = 3;
/** Upper bound of live instances: twice the widest spread, which covers two failure domains (2 * REPLICAS). */
const MAX_LIVE_INSTANCES = 4 * REPLICAS;

/** An event that a test injects between rounds. */
export type DomainEvent =
  | {readonly kind: 'out' | 'return' | 'reclaim'; readonly domain: string}
  | {readonly kind: 'change-holder'}
  /** Log outage: the last lease holder may only start instances, and a newly started daemon may do so beside it. */
  | {readonly kind: 'log-outage'; readonly lengthMs: number};

interface ModelInstance extends Instance {
  readonly liveAtMs: number;
}

const ROUND_MS = 5_000;
const START_MS = 30_000;
const GRACE_MS = 20_000;
const PRICES = DOMAINS.map((failureDomain, index) => ({
  failureDomain,
  machineClass: 'a100',
  market: 'reclaimable' as const,
  priceUsdPerHour: 1 + index / 10,
}));
const LOGGER = createLogger({name: 'test', instanceId: 'fleet-1', level: 'error'});

/** Runs the production `CapacityRunner` against the simulated cloud and log, and collects invariant violations. */
export class DomainsModel {
  private readonly fold = new FleetFold();
  private readonly instances = new Map<string, ModelInstance>();
  private readonly startsByToken = new Map<string, string>();
  private readonly violations: string[] = [];
  private holders: readonly CapacityRunner[];
  private nowMs = 0;
  private offset = 0;
  private logOutageUntilMs = 0;

  constructor() {
    this.holders = [this.createHolder()];
    this.claimLease();
  }

  /** Applies an event at the current virtual time. */
  apply(event: DomainEvent): void {
    if (event.kind === 'reclaim') this.reclaimInstances(event.domain);
    if (event.kind === 'out' || event.kind === 'return')
      this.appendDomainOrder(event.kind, event.domain);
    if (event.kind === 'log-outage') this.logOutageUntilMs = this.nowMs + event.lengthMs;
    if (event.kind !== 'change-holder') return;
    // Without the log a new claim can't be read back, so the former holder keeps starting instances too.
    this.holders = this.hasLogOutage()
      ? [...this.holders.slice(-1), this.createHolder()]
      : [this.createHolder()];
    if (!this.hasLogOutage()) this.claimLease();
  }

  /** Runs rounds for a span of virtual time. */
  async run(lengthMs: number): Promise<void> {
    const endMs = this.nowMs + lengthMs;
    while (this.nowMs < endMs) await this.runRound();
  }

  /** Returns the number of servers that accept new requests, by failure domain. */
  countServingByDomain(): ReadonlyMap<string, number> {
    const serving = this.getServing();
    return new Map(
      DOMAINS.map(name => [name, serving.filter(server => server.failureDomain === name).length]),
    );
  }

  /** Returns the failure domains that are not evacuated. */
  getAvailableDomains(): readonly string[] {
    const out = this.getOutDomains();
    return DOMAINS.filter(name => !out.includes(name));
  }

  /** Returns the state of a failure domain in the fleet stream; `in` if no record names it. */
  getDomainState(domain: string): string {
    return this.fold.getFailureDomains().find(({name}) => name === domain)?.state ?? 'in';
  }

  /** Returns the number of instances ever started; repeats of a client token count once. */
  countStarts(): number {
    return this.startsByToken.size;
  }

  /** Returns a message for each violated invariant; empty if none was violated. */
  getViolations(): readonly string[] {
    return this.violations;
  }

  private async runRound(): Promise<void> {
    this.nowMs += ROUND_MS;
    this.updateInstances();
    if (!this.hasLogOutage()) {
      this.holders = this.holders.slice(-1);
      this.recordReturns();
    }
    await Promise.all(this.holders.map(holder => this.runHolderRound(holder)));
    this.checkInstanceCount();
  }

  private async runHolderRound(holder: CapacityRunner): Promise<void> {
    const services = [{...GUIDANCE, targetReplicas: REPLICAS}];
    const failureDomains = DOMAINS.map(name => ({name, region: 'ghana'}));
    const demand = {
      configuration: {...CONFIGURATION, services, failureDomains},
      revision: 1,
      getWantedSharePercent: () => 0,
      getPlannedService: (service: typeof GUIDANCE) => service,
      isReady: () => true,
    };
    await holder.run(demand, this.nowMs);
  }

  private createHolder(): CapacityRunner {
    const parts = {
      logger: LOGGER,
      metrics: new Metrics({globalTags: {}}),
      cloud: {startInstance: async (order: StartInstanceRequest) => this.startInstance(order)},
      watcher: {
        getBackendServers: () => this.getListed(),
        getPrices: () => PRICES,
        getReclaims: () => [],
        getRefusedStarts: () => [],
        recordStartResult: () => undefined,
      },
      lease: {
        isLatestKnownHolder: () => true,
        getOrderPermission: () => (this.hasLogOutage() ? 'not-the-holder' : 'allowed'),
        getFencingToken: () => this.fold.getLease().fencingToken,
      },
      stream: {
        getFold: () => this.fold,
        propose: async (writer: string, body: LogBody) => this.propose(body),
      },
    };
    return new CapacityRunner(parts as unknown as CapacityRunnerOptions);
  }

  private startInstance(order: StartInstanceRequest): string {
    const startedId = this.startsByToken.get(order.clientToken);
    if (startedId !== undefined) return startedId;
    const {failureDomain} = order;
    if (this.getOutDomains().includes(failureDomain))
      this.violations.push('instance started in an evacuated failure domain');
    const instanceId = `i-${this.startsByToken.size + 1}`;
    this.startsByToken.set(order.clientToken, instanceId);
    const place = {role: 'backend' as const, address: '127.0.0.1', port: 1, ...order};
    const liveAtMs = this.nowMs + START_MS;
    this.instances.set(instanceId, {...place, instanceId, state: 'live', liveAtMs});
    return instanceId;
  }

  private propose(body: LogBody) {
    if (body.kind === 'instance-drain') this.checkDrain(body.instanceId);
    this.offset += 1;
    const record = {writer: 'model', sequence: this.offset, body};
    this.fold.applyRecord({offset: this.offset, record});
    return {verdict: this.fold.getLastResult(), offset: this.offset};
  }

  private claimLease(): void {
    const followsOffset = this.fold.getLease().newestOffset;
    const holder = `fleet-${this.offset}`;
    this.propose({kind: 'lease-claim', holder, termMs: 6_000, followsOffset});
  }

  private appendDomainOrder(kind: 'out' | 'return', failureDomain: string): void {
    const status = this.fold.getFailureDomains().find(({name}) => name === failureDomain);
    const isOut = status?.state === 'out';
    if (this.hasLogOutage() || isOut !== (kind === 'return')) return;
    const state = kind === 'out' ? ('out' as const) : ('returning' as const);
    const origin = {requestedBy: 'operator', requestedAtMs: this.nowMs};
    const replacesRevision = status?.revision ?? 0;
    this.propose({kind: 'domain-order', failureDomain, state, replacesRevision, ...origin});
  }

  private recordReturns(): void {
    const statuses = this.fold.getFailureDomains();
    for (const effect of decideFailureDomains({statuses}, this.nowMs).effects) {
      const {failureDomain, state, replacesRevision} = effect;
      const origin = {requestedBy: 'holder', requestedAtMs: this.nowMs};
      this.propose({kind: 'domain-order', failureDomain, state, replacesRevision, ...origin});
    }
  }

  private reclaimInstances(domain: string): void {
    for (const instance of this.instances.values()) {
      if (instance.failureDomain !== domain || instance.state !== 'live') continue;
      const leavingAtMs = this.nowMs + GRACE_MS;
      this.instances.set(instance.instanceId, {...instance, state: 'leaving', leavingAtMs});
    }
  }

  /** Marks instances as gone once their reclaim notice or their drain has ended. */
  private updateInstances(): void {
    const drains = new Map(this.fold.getDrains().map(drain => [drain.instanceId, drain.stopAtMs]));
    for (const server of this.instances.values()) {
      const endsAtMs = Math.min(
        server.leavingAtMs ?? Infinity,
        drains.get(server.instanceId) ?? Infinity,
      );
      if (endsAtMs <= this.nowMs) this.instances.set(server.instanceId, {...server, state: 'gone'});
    }
  }

  private getListed(): readonly ModelInstance[] {
    return [...this.instances.values()].filter(({liveAtMs}) => liveAtMs <= this.nowMs);
  }

  private getServing(): readonly ModelInstance[] {
    const drained = this.fold.getDrains().map(({instanceId}) => instanceId);
    return this.getListed().filter(
      ({state, instanceId}) => state === 'live' && !drained.includes(instanceId),
    );
  }

  private getOutDomains(): readonly string[] {
    const statuses = this.fold.getFailureDomains();
    return decideFailureDomains({statuses}, this.nowMs).changes.closedDomains;
  }

  private hasLogOutage(): boolean {
    return this.nowMs < this.logOutageUntilMs;
  }

  /** A drain must leave at least `REPLICAS` servers in failure domains that accept work. */
  private checkDrain(instanceId: string): void {
    const out = this.getOutDomains();
    const remaining = this.getServing().filter(
      server => server.instanceId !== instanceId && !out.includes(server.failureDomain),
    );
    if (remaining.length < REPLICAS) this.violations.push(`drain leaves ${remaining.length}`);
  }

  /** Live instances may not exceed those still running in evacuated failure domains plus those wanted in the others. */
  private checkInstanceCount(): void {
    const liveCount = [...this.instances.values()].filter(({state}) => state === 'live').length;
    if (liveCount > MAX_LIVE_INSTANCES) this.violations.push(`${liveCount} live instances`);
  }
}
