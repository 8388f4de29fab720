/** Plans the number of backend servers of each service from its load. */
import type {Instance, Move, VersionEvidence} from '../blackboard/index.js';
import type {Configuration, Service} from '../configuration/index.js';
import {
  decideReplicas,
  getSurvivingReplicas,
  getReplicaDemand,
  getReplicaLimit,
  type Offer,
  type ReplicaState,
} from '../controllers/capacity/index.js';
import {isMoveEnded} from '../folds/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {ServerLoadCollector} from './ServerLoadCollector.js';

/** Collaborators of a `ReplicaPlanner`. */
export interface ReplicaPlannerOptions {
  readonly loads: ServerLoadCollector;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Inputs of a planning round, besides the load reports. */
export interface ReplicaPlanInput {
  readonly configuration: Configuration;
  /** Live backend servers that aren't draining. */
  readonly servers: readonly Instance[];
  readonly evidence: readonly VersionEvidence[];
  readonly moves: readonly Move[];
  readonly offers: readonly Offer[];
  /** Names of the failure domains in which instances may be started. */
  readonly availableDomains: readonly string[];
}

/** Keeps one planning state per service. A new lease holder starts from the backend servers that exist. */
export class ReplicaPlanner {
  private readonly options: ReplicaPlannerOptions;
  private readonly states = new Map<string, ReplicaState>();

  constructor(options: ReplicaPlannerOptions) {
    this.options = options;
  }

  /**
   * Updates the planned number of backend servers of all configured services.
   * @param round - Observed state of the deployment.
   * @param nowMs - Current Unix time in milliseconds.
   */
  update(round: ReplicaPlanInput, nowMs: number): void {
    for (const service of round.configuration.services) this.updateService(round, service, nowMs);
  }

  /**
   * Returns a copy of a service whose `targetReplicas` is the currently planned number of backend servers.
   * @param service - The service as configured.
   */
  getPlannedService(service: Service): Service {
    const targetReplicas = this.states.get(service.name)?.replicas ?? service.targetReplicas;
    return {...service, targetReplicas};
  }

  /** Discards all planning states; called at a change of the lease holder. */
  reset(): void {
    this.states.clear();
  }

  private updateService(round: ReplicaPlanInput, service: Service, nowMs: number): void {
    const {moves, availableDomains, offers, configuration} = round;
    const servers = round.servers.filter(one => one.service === service.name);
    const move = moves.find(one => one.service === service.name && !isMoveEnded(one));
    const {targetReplicas: floor} = service;
    const {changes} = decideReplicas(
      {
        state: this.states.get(service.name),
        floor,
        limit: getReplicaLimit({
          floor,
          offers,
          availableDomains,
          priceLimits: configuration.priceLimits,
        }),
        survivingReplicas: getSurvivingReplicas({service, moves, servers, availableDomains}),
        demand: this.getDemand(round, service, servers, move?.toVersion, nowMs),
        canScaleDown: move === undefined,
      },
      nowMs,
    );
    this.recordState(service.name, changes.state);
  }

  private getDemand(
    {configuration, evidence}: ReplicaPlanInput,
    service: Service,
    servers: readonly Instance[],
    candidateVersion: string | undefined,
    nowMs: number,
  ) {
    const {loads} = this.options;
    return getReplicaDemand(
      {
        service,
        requestClasses: configuration.requestClasses,
        serverIds: servers.map(({instanceId}) => instanceId),
        loads: loads.getLoads(nowMs),
        evidence,
        refusedRequests: loads.countRefused(service.name, nowMs),
        candidateVersion,
      },
      nowMs,
    );
  }

  private recordState(service: string, state: ReplicaState): void {
    const before = this.states.get(service)?.replicas;
    this.states.set(service, state);
    const {replicas} = state;
    if (before === undefined || before === replicas) return;
    const result = replicas > before ? 'raised' : 'lowered';
    this.options.metrics.addCount('capacity.replicas', {service, result});
    this.options.logger.info({service, before, replicas}, `replicas ${result}`);
  }
}
