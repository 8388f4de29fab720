/** A model of a service under load in virtual time, for properties of the number of its backend servers. */
import {
  decideReplicas,
  getReplicaDemand,
  type ReplicaState,
} from '../../src/controllers/capacity/index.js';
import {createService} from './fleetFixtures.js';
import {createRandom} from './random.js';

/** A load that stands for a while. */
export interface LoadStep {
  /** Requests that are open at a time over all servers. */
  readonly openRequests: number;
  /** Largest part by which a round's load differs. */
  readonly noisePart: number;
  /** Part of the reports that don't come. */
  readonly lostReportsPart: number;
  readonly lengthMs: number;
}

/** What was seen under one load. */
export interface LoadStepResult {
  readonly replicas: readonly number[];
  /** Changes between raising and lowering. */
  readonly turns: number;
  /** Raises in the second half of the time. */
  readonly lateRaises: number;
  /** Largest lowering as a multiple of what may go at a time. */
  readonly steepest: number;
  /** Longest time in which fewer servers were asked for than the load fills, though the limit allowed them. */
  readonly demandMissedMs: number;
}

/** Options of a `ReplicaModel`. */
export interface ReplicaModelOptions {
  readonly floor: number;
  readonly limit: number;
  readonly seed: number;
}

const ROUND_MS = 5_000;
/** Time from the decision until a server serves. */
export const START_MS = 60_000;
const PLACES = 10;
/** A server takes this multiple of its places; what is above is refused. */
const FULL_FACTOR = 1.2;
const LOWER_PART = 0.1;

/** Servers start with a delay; reports are noisy and get lost; what no server takes is refused. */
export class ReplicaModel {
  private readonly options: ReplicaModelOptions;
  private readonly random: () => number;
  private readonly service = createService({maxConcurrentRequests: PLACES});
  private nowMs = 0;
  private state: ReplicaState | undefined;
  private servers: ReadonlyArray<{readonly instanceId: string; readonly liveAtMs: number}> = [];
  private started = 0;
  private raises = 0;
  private lowerings = 0;

  constructor(options: ReplicaModelOptions) {
    this.options = options;
    this.random = createRandom(options.seed);
  }

  /** Runs one load. */
  run(step: LoadStep): LoadStepResult {
    const replicas: number[] = [];
    let missedMs = 0;
    let demandMissedMs = 0;
    const endMs = this.nowMs + step.lengthMs;
    while (this.nowMs < endMs) {
      this.runRound(step);
      replicas.push(this.getReplicas());
      const needed = Math.min(Math.ceil(step.openRequests / PLACES), this.options.limit);
      missedMs = this.getReplicas() < needed ? missedMs + ROUND_MS : 0;
      demandMissedMs = Math.max(demandMissedMs, missedMs);
    }
    return {replicas, demandMissedMs, ...this.summarize(replicas)};
  }

  /** Lets time pass without a round. */
  pause(lengthMs: number): void {
    this.nowMs += lengthMs;
  }

  /** Gives the service to a holder that knows nothing but its servers. */
  changeHolder(): void {
    this.state = undefined;
  }

  /** Returns the number that stands. */
  getReplicas(): number {
    return this.state?.replicas ?? 0;
  }

  /** Returns how often the number was raised. */
  getRaises(): number {
    return this.raises;
  }

  /** Returns how often it was lowered. */
  getLowerings(): number {
    return this.lowerings;
  }

  private runRound(step: LoadStep): void {
    this.nowMs += ROUND_MS;
    const live = this.servers.filter(({liveAtMs}) => liveAtMs <= this.nowMs);
    const noise = 1 + step.noisePart * (2 * this.random() - 1);
    const offered = step.openRequests * noise;
    const taken = Math.min(offered, live.length * PLACES * FULL_FACTOR);
    const loads = live
      .filter(() => this.random() >= step.lostReportsPart)
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
      triedVersion: undefined,
    };
    const demand = getReplicaDemand(view, this.nowMs);
    this.decide(demand);
    this.fitServers();
  }

  private decide(demand: ReturnType<typeof getReplicaDemand>): void {
    const {floor, limit} = this.options;
    const presentReplicas = Math.floor((this.servers.length * 2) / 3);
    const bounds = {floor, limit, presentReplicas, canLower: true};
    const before = this.state?.replicas;
    const {changes} = decideReplicas({state: this.state, demand, ...bounds}, this.nowMs);
    this.state = changes.state;
    if (before === undefined) return;
    if (changes.state.replicas > before) this.raises += 1;
    if (changes.state.replicas < before) this.lowerings += 1;
  }

  /** Three failure domains: half as many again are spares. */
  private fitServers(): void {
    const wanted = this.getReplicas() + Math.ceil(this.getReplicas() / 2);
    const kept = this.servers.slice(0, wanted);
    const added = Array.from({length: wanted - kept.length}, () => ({
      instanceId: `i-${++this.started}`,
      liveAtMs: this.nowMs + START_MS,
    }));
    this.servers = [...kept, ...added];
  }

  private summarize(replicas: readonly number[]) {
    const changes = replicas.slice(1).map((count, index) => count - replicas[index]);
    const moved = changes.filter(change => change !== 0);
    const turns = moved.slice(1).filter((change, index) => change > 0 !== moved[index] > 0).length;
    const lateRaises = changes.slice(changes.length / 2).filter(change => change > 0).length;
    const steepest = Math.max(
      0,
      ...changes.map(
        (change, index) => -change / Math.max(Math.floor(replicas[index] * LOWER_PART), 1),
      ),
    );
    return {turns, lateRaises, steepest};
  }
}
