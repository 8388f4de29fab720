/** Keeps how many backend servers each service is to have, from what the load asks for. */
import type {Instance, Move, VersionEvidence} from '../blackboard/index.js';
import type {Configuration, Service} from '../configuration/index.js';
import {
  decideReplicas,
  getPresentReplicas,
  getReplicaDemand,
  getReplicaLimit,
  type Offer,
  type ReplicaState,
} from '../controllers/capacity/index.js';
import {isMoveEnded} from '../folds/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LoadCollector} from './LoadCollector.js';

/** Options of a `ReplicaKeeper`. */
export interface ReplicaKeeperOptions {
  readonly loads: LoadCollector;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What a round reads beside the reports. */
export interface ReplicaRound {
  readonly configuration: Configuration;
  /** Live backend servers that aren't drained. */
  readonly servers: readonly Instance[];
  readonly evidence: readonly VersionEvidence[];
  readonly moves: readonly Move[];
  readonly offers: readonly Offer[];
  readonly openDomains: readonly string[];
}

/** Holds one state for each service; a new holder starts from the servers that it finds. */
export class ReplicaKeeper {
  private readonly options: ReplicaKeeperOptions;
  private readonly states = new Map<string, ReplicaState>();

  constructor(options: ReplicaKeeperOptions) {
    this.options = options;
  }

  /**
   * Decides for all services.
   * @param round - What is known.
   * @param nowMs - Present time by the wall clock.
   */
  update(round: ReplicaRound, nowMs: number): void {
    for (const service of round.configuration.services) this.updateService(round, service, nowMs);
  }

  /**
   * Returns a service with the number of backend servers that it is to have now.
   * @param service - The service as configured.
   */
  getPlannedService(service: Service): Service {
    const targetReplicas = this.states.get(service.name)?.replicas ?? service.targetReplicas;
    return {...service, targetReplicas};
  }

  /** Forgets all, as at a change of the holder. */
  reset(): void {
    this.states.clear();
  }

  private updateService(round: ReplicaRound, service: Service, nowMs: number): void {
    const {moves, openDomains, offers, configuration} = round;
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
          openDomains,
          priceLimits: configuration.priceLimits,
        }),
        presentReplicas: getPresentReplicas({service, moves, servers, openDomains}),
        demand: this.getDemand(round, service, servers, move?.toVersion, nowMs),
        canLower: move === undefined,
      },
      nowMs,
    );
    this.noteState(service.name, changes.state);
  }

  private getDemand(
    {configuration, evidence}: ReplicaRound,
    service: Service,
    servers: readonly Instance[],
    triedVersion: string | undefined,
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
        triedVersion,
      },
      nowMs,
    );
  }

  private noteState(service: string, state: ReplicaState): void {
    const before = this.states.get(service)?.replicas;
    this.states.set(service, state);
    const {replicas} = state;
    if (before === undefined || before === replicas) return;
    const result = replicas > before ? 'raised' : 'lowered';
    this.options.metrics.addCount('capacity.replicas', {service, result});
    this.options.logger.info({service, before, replicas}, `replicas ${result}`);
  }
}
