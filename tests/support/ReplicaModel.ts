/** Simulates one service under load in virtual time, for property tests of the replica controller. */
import {
  decideReplicas,
  getReplicaDemand,
  type ReplicaState,
} from '../../src/controllers/capacity/index.js';
import {createService} from './fleetFixtures.js';
import {createRandom} from './random.js';

/** A load that stays constant, apart from noise, for a given time. */
export interface LoadStep {
  /** Concurrent requests offered, summed over all servers. */
  readonly openRequests: number;
  /** Largest relative deviation of a round's load from `openRequests`, 0 to 1. */
  readonly noiseRatio: number;
  /** Probability that a server's load report is lost in a round, 0 to 1. */
  readonly reportLossProbability: number;
  readonly durationMs: number;
}

/** Replica counts and their changes during one load step. */
export interface LoadStepResult {
  /** Target replica count after each round. */
  readonly replicas: readonly number[];
  /** How often the direction of change flipped between raising and lowering. */
  readonly directionChanges: number;
  /** Number of raises in the second half of the step. */
  readonly lateRaises: number;
  /** Largest reduction in one round, as a multiple of the allowed reduction (10%, at least one server). */
  readonly largestReductionFactor: number;
  /** Longest continuous time in which the target was below the servers that the load needs, capped by the limit. */
  readonly longestShortfallMs: number;
}

/** Options of a `ReplicaModel`. */
export interface ReplicaModelOptions {
  /** Smallest allowed replica count. */
  readonly floor: number;
  /** Largest allowed replica count. */
  readonly limit: number;
  readonly seed: number;
}

const ROUND_MS = 5_000;
/** Time in milliseconds from the scaling decision until the new server takes requests. */
export const START_MS = 60_000;
const SERVER_CAPACITY = 10;
/** A server accepts up to this multiple of its capacity; requests beyond it are refused. */
const OVERLOAD_FACTOR = 1.2;
const MAX_LOWERING_RATIO = 0.1;

/** Runs the replica decision against servers that start with a delay, noisy or lost load reports, and refused requests. */
export class ReplicaModel {
  private readonly options: ReplicaModelOptions;
  private readonly random: () => number;
  private readonly service = createService({maxConcurrentRequests: SERVER_CAPACITY});
  private nowMs = 0;
  private state: ReplicaState | undefined;
  private servers: ReadonlyArray<{readonly instanceId: string; readonly liveAtMs: number}> = [];
  private startedServers = 0;
  private raises = 0;
  private lowerings = 0;

  constructor(options: ReplicaModelOptions) {
    this.options = options;
    this.random = createRandom(options.seed);
  }

  /** Runs rounds under one load; the state carries over to the next call. */
  run(step: LoadStep): LoadStepResult {
    const replicas: number[] = [];
    let missedMs = 0;
    let longestShortfallMs = 0;
    const endMs = this.nowMs + step.durationMs;
    while (this.nowMs < endMs) {
      this.runRound(step);
      replicas.push(this.getTargetReplicas());
      const needed = Math.min(Math.ceil(step.openRequests / SERVER_CAPACITY), this.options.limit);
      missedMs = this.getTargetReplicas() < needed ? missedMs + ROUND_MS : 0;
      longestShortfallMs = Math.max(longestShortfallMs, missedMs);
    }
    return {replicas, longestShortfallMs, ...this.summarize(replicas)};
  }

  /** Advances the clock without running a round. */
  pause(durationMs: number): void {
    this.nowMs += durationMs;
  }

  /** Drops the controller's state, as when a new lease holder knows only the running servers. */
  replaceLeaseHolder(): void {
    this.state = undefined;
  }

  /** Returns the current target replica count; 0 before the first decision. */
  getTargetReplicas(): number {
    return this.state?.replicas ?? 0;
  }

  /** Returns how often the target was raised since construction. */
  getRaises(): number {
    return this.raises;
  }

  /** Returns how often the target was lowered since construction. */
  getLowerings(): number {
    return this.lowerings;
  }

  private runRound(step: LoadStep): void {
    this.nowMs += ROUND_MS;
    const live = this.servers.filter(({liveAtMs}) => liveAtMs <= this.nowMs);
    const noise = 1 + step.noiseRatio * (2 * this.random() - 1);
    const offered = step.openRequests * noise;
    const taken = Math.min(offered, live.length * SERVER_CAPACITY * OVERLOAD_FACTOR);
    const loads = live
      .filter(() => this.random() >= step.reportLossProbability)
      .map(({instanceId}) => ({
        instanceId,
        openRequests: taken / live.length,
        readAtMs: this.nowMs,
      }));
    const view = {
      service: this.service,
      requestClasses: [],
      serverIds: live.map(({instanceId}) => instanceId),
      loads,
      evidence: [],
      refusedRequests: offered > taken ? 1 : 0,
      candidateVersion: undefined,
    };
    const demand = getReplicaDemand(view, this.nowMs);
    this.decide(demand);
    this.reconcileServers();
  }

  private decide(demand: ReturnType<typeof getReplicaDemand>): void {
    const {floor, limit} = this.options;
    const survivingReplicas = Math.floor((this.servers.length * 2) / 3);
    const bounds = {floor, limit, survivingReplicas, canScaleDown: true};
    const before = this.state?.replicas;
    const {changes} = decideReplicas({state: this.state, demand, ...bounds}, this.nowMs);
    this.state = changes.state;
    if (before === undefined) return;
    if (changes.state.replicas > before) this.raises += 1;
    if (changes.state.replicas < before) this.lowerings += 1;
  }

  /** With three failure domains, half as many servers again run as spares. */
  private reconcileServers(): void {
    const wanted = this.getTargetReplicas() + Math.ceil(this.getTargetReplicas() / 2);
    const kept = this.servers.slice(0, wanted);
    const added = Array.from({length: wanted - kept.length}, () => ({
      instanceId: `i-${++this.startedServers}`,
      liveAtMs: this.nowMs + START_MS,
    }));
    this.servers = [...kept, ...added];
  }

  private summarize(replicas: readonly number[]) {
    const changes = replicas.slice(1).map((count, index) => count - replicas[index]);
    const moved = changes.filter(change => change !== 0);
    const directionChanges = moved
      .slice(1)
      .filter((change, index) => change > 0 !== moved[index] > 0).length;
    const lateRaises = changes.slice(changes.length / 2).filter(change => change > 0).length;
    const largestReductionFactor = Math.max(
      0,
      ...changes.map(
        (change, index) => -change / Math.max(Math.floor(replicas[index] * MAX_LOWERING_RATIO), 1),
      ),
    );
    return {directionChanges, lateRaises, largestReductionFactor};
  }
}
