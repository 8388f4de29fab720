/** A model of cloud, log and holders in virtual time, for capacity while failure domains go out and are reclaimed. */
import type {Instance} from '../../src/blackboard/index.js';
import {decideFailureDomains} from '../../src/controllers/failureDomains/index.js';
import {CapacityRunner, type CapacityRunnerOptions} from '../../src/fleet/CapacityRunner.js';
import {FleetFold} from '../../src/folds/index.js';
import {createLogger} from '../../src/logging/index.js';
import {Metrics} from '../../src/metrics/index.js';
import type {StartOrder} from '../../src/infrastructure/index.js';
import type {LogBody} from '../../src/records/index.js';
import {CONFIGURATION, GUIDANCE} from './deployment.js';

/** Failure domains of the model. */
export const DOMAINS = ['accra', 'kasoa', 'tema', 'tema-west'];
/** Servers that the load needs. */
export const REPLICAS = 3;
/** Twice the widest spread, which is of two failure domains. */
const MOST_PAID = 4 * REPLICAS;

/** What happens at an instant. */
export type DomainEvent =
  | {readonly kind: 'out' | 'return' | 'reclaim'; readonly domain: string}
  | {readonly kind: 'change-holder'}
  /** The log is out: the last holder only starts, and a daemon that starts anew may do so beside it. */
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

/** Runs the real runner of capacity against it. */
export class DomainsModel {
  private readonly fold = new FleetFold();
  private readonly instances = new Map<string, ModelInstance>();
  private readonly startsByToken = new Map<string, string>();
  private readonly violations: string[] = [];
  private holders: readonly CapacityRunner[];
  private nowMs = 0;
  private offset = 0;
  private logOutUntilMs = 0;

  constructor() {
    this.holders = [this.createHolder()];
    this.claim();
  }

  /** Lets something happen. */
  apply(event: DomainEvent): void {
    if (event.kind === 'reclaim') this.reclaim(event.domain);
    if (event.kind === 'out' || event.kind === 'return') this.order(event.kind, event.domain);
    if (event.kind === 'log-outage') this.logOutUntilMs = this.nowMs + event.lengthMs;
    if (event.kind !== 'change-holder') return;
    // Without the log a new claim can't be read back, so the former holder goes on starting beside the new one.
    this.holders = this.isLogOut()
      ? [...this.holders.slice(-1), this.createHolder()]
      : [this.createHolder()];
    if (!this.isLogOut()) this.claim();
  }

  /** Runs for a time. */
  async run(lengthMs: number): Promise<void> {
    const endMs = this.nowMs + lengthMs;
    while (this.nowMs < endMs) await this.runRound();
  }

  /** Returns the servers that take new work, by failure domain. */
  countServing(): ReadonlyMap<string, number> {
    const serving = this.getServing();
    return new Map(
      DOMAINS.map(name => [name, serving.filter(one => one.failureDomain === name).length]),
    );
  }

  /** Returns the failure domains that aren't out. */
  getOpenDomains(): readonly string[] {
    const out = this.getOutDomains();
    return DOMAINS.filter(name => !out.includes(name));
  }

  /** Returns the state of a failure domain. */
  getDomainState(domain: string): string {
    return this.fold.getFailureDomains().find(({name}) => name === domain)?.state ?? 'in';
  }

  /** Returns the instances that were ever started. */
  countStarts(): number {
    return this.startsByToken.size;
  }

  /** Returns what broke. */
  getViolations(): readonly string[] {
    return this.violations;
  }

  private async runRound(): Promise<void> {
    this.nowMs += ROUND_MS;
    this.updateInstances();
    if (!this.isLogOut()) {
      this.holders = this.holders.slice(-1);
      this.writeReturned();
    }
    await Promise.all(this.holders.map(holder => this.runHolder(holder)));
    this.checkTotal();
  }

  private async runHolder(holder: CapacityRunner): Promise<void> {
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
      cloud: {startInstance: async (order: StartOrder) => this.startInstance(order)},
      watch: {
        getBackendServers: () => this.getListed(),
        getPrices: () => PRICES,
        getReclaims: () => [],
        getRefusedStarts: () => [],
        noteStart: () => undefined,
      },
      lease: {
        isLastHolder: () => true,
        getOrderPermission: () => (this.isLogOut() ? 'not-the-holder' : 'allowed'),
        getFencingToken: () => this.fold.getLease().fencingToken,
      },
      stream: {
        getFold: () => this.fold,
        propose: async (writer: string, body: LogBody) => this.propose(body),
      },
    };
    return new CapacityRunner(parts as unknown as CapacityRunnerOptions);
  }

  private startInstance(order: StartOrder): string {
    const known = this.startsByToken.get(order.clientToken);
    if (known !== undefined) return known;
    const {failureDomain} = order;
    if (this.getOutDomains().includes(failureDomain)) this.violations.push('start where it is out');
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
    return {verdict: this.fold.getLastVerdict(), offset: this.offset};
  }

  private claim(): void {
    const followsOffset = this.fold.getLease().newestOffset;
    const holder = `fleet-${this.offset}`;
    this.propose({kind: 'lease-claim', holder, termMs: 6_000, followsOffset});
  }

  private order(kind: 'out' | 'return', failureDomain: string): void {
    const status = this.fold.getFailureDomains().find(({name}) => name === failureDomain);
    const isOut = status?.state === 'out';
    if (this.isLogOut() || isOut !== (kind === 'return')) return;
    const state = kind === 'out' ? ('out' as const) : ('returning' as const);
    const by = {requestedBy: 'operator', requestedAtMs: this.nowMs};
    const replacesRevision = status?.revision ?? 0;
    this.propose({kind: 'domain-order', failureDomain, state, replacesRevision, ...by});
  }

  private writeReturned(): void {
    const statuses = this.fold.getFailureDomains();
    for (const effect of decideFailureDomains({statuses}, this.nowMs).effects) {
      const {failureDomain, state, replacesRevision} = effect;
      const by = {requestedBy: 'holder', requestedAtMs: this.nowMs};
      this.propose({kind: 'domain-order', failureDomain, state, replacesRevision, ...by});
    }
  }

  private reclaim(domain: string): void {
    for (const one of this.instances.values()) {
      if (one.failureDomain !== domain || one.state !== 'live') continue;
      const leavingAtMs = this.nowMs + GRACE_MS;
      this.instances.set(one.instanceId, {...one, state: 'leaving', leavingAtMs});
    }
  }

  /** Instances go when their notice is over, or their drain. */
  private updateInstances(): void {
    const drains = new Map(this.fold.getDrains().map(one => [one.instanceId, one.stopAtMs]));
    for (const one of this.instances.values()) {
      const endsAtMs = Math.min(
        one.leavingAtMs ?? Infinity,
        drains.get(one.instanceId) ?? Infinity,
      );
      if (endsAtMs <= this.nowMs) this.instances.set(one.instanceId, {...one, state: 'gone'});
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

  private isLogOut(): boolean {
    return this.nowMs < this.logOutUntilMs;
  }

  /** A drain must leave what the load needs, in the failure domains that take work. */
  private checkDrain(instanceId: string): void {
    const out = this.getOutDomains();
    const left = this.getServing().filter(
      one => one.instanceId !== instanceId && !out.includes(one.failureDomain),
    );
    if (left.length < REPLICAS) this.violations.push(`drain leaves ${left.length}`);
  }

  /** What is left behind in failure domains that are out, and what is wanted in the others, is the most there may be. */
  private checkTotal(): void {
    const paid = [...this.instances.values()].filter(({state}) => state === 'live').length;
    if (paid > MOST_PAID) this.violations.push(`${paid} instances are paid at a time`);
  }
}
