/** Decides how many backend servers a service is to have: raised within seconds, lowered over many minutes. */
import type {ReplicaDemand} from './ReplicaDemand.js';

/** What one round saw. */
export interface ReplicaSample extends ReplicaDemand {
  readonly atMs: number;
  /** Most that the price limits allowed; undefined where no offer was known. */
  readonly limit: number | undefined;
}

/** What is kept from round to round. */
export interface ReplicaState {
  /** Backend servers that carry the load; spares for the loss of a failure domain come on top. */
  readonly replicas: number;
  /** Instant of the first round without a long pause since. */
  readonly startedAtMs: number;
  readonly raisedAtMs: number;
  readonly loweredAtMs: number;
  /** Rounds within the time that lowering looks back. */
  readonly samples: readonly ReplicaSample[];
}

/** What the decision reads. */
export interface ReplicaView {
  /** Undefined in the first round of a holder. */
  readonly state: ReplicaState | undefined;
  /** Backend servers that the operators ask for at least. */
  readonly floor: number;
  /** Most that the price limits allow now; undefined where no offer is known. */
  readonly limit: number | undefined;
  /** Backend servers that would be left after the loss of the fullest failure domain; a new holder starts with them. */
  readonly presentReplicas: number;
  readonly demand: ReplicaDemand;
  /** Whether servers may go; not while a move is under way. */
  readonly canLower: boolean;
}

/** What to keep; the servers themselves are started and drained by the decision about capacity. */
export interface ReplicaDecision {
  readonly changes: {readonly state: ReplicaState};
  readonly effects: readonly [];
}

/** A demand counts for a raise when it stood in all rounds of this time, three at least. */
const RAISE_AFTER_MS = 5_000;
const RAISE_AFTER_SAMPLES = 3;
/** Raises for slow first tokens and refusals wait until the servers of the last raise serve. */
const PRESSURE_RAISE_EVERY_MS = 120_000;
const PRESSURE_FACTOR = 1.25;
/** Servers go where nothing asked for them in all rounds of this time. */
export const LOWER_AFTER_MS = 600_000;
const LOWER_EVERY_MS = 60_000;
/** After a pause of this length between rounds the look back starts anew. */
const MAX_PAUSE_MS = 60_000;
/** Part of the servers that may go at a time, one at least. */
const LOWER_PART = 0.1;

/**
 * Decides the number of backend servers of a service.
 * @param view - Bounds and demand.
 * @param nowMs - Present time.
 */
export function decideReplicas(view: ReplicaView, nowMs: number): ReplicaDecision {
  const before = view.state ?? createState(view, nowMs);
  const sample = {...view.demand, atMs: nowMs, limit: view.limit};
  const lastAtMs = before.samples.at(-1)?.atMs ?? nowMs;
  const startedAtMs = nowMs > lastAtMs + MAX_PAUSE_MS ? nowMs : before.startedAtMs;
  const kept = before.samples.filter(({atMs}) => atMs > nowMs - LOWER_AFTER_MS);
  const state = {...before, startedAtMs, samples: [...kept, sample]};
  return {changes: {state: getNextState(view, state, nowMs)}, effects: []};
}

function createState({floor, limit, presentReplicas}: ReplicaView, nowMs: number): ReplicaState {
  const most = Math.max(limit ?? presentReplicas, floor);
  const replicas = Math.min(Math.max(presentReplicas, floor), most);
  const samples: readonly ReplicaSample[] = [];
  return {replicas, startedAtMs: nowMs, raisedAtMs: -Infinity, loweredAtMs: -Infinity, samples};
}

function getNextState(view: ReplicaView, state: ReplicaState, nowMs: number): ReplicaState {
  const {floor, limit, canLower} = view;
  const {replicas} = state;
  const allowed = Math.max(limit ?? replicas, floor);
  const raised = Math.max(Math.min(getRaised(state, nowMs), allowed), floor);
  if (raised > replicas) return {...state, replicas: raised, raisedAtMs: nowMs};
  const lowered = Math.max(getLowered(state, nowMs), floor);
  if (!canLower || lowered >= replicas) return state;
  const step = Math.max(Math.floor(replicas * LOWER_PART), 1);
  return {...state, replicas: Math.max(lowered, replicas - step), loweredAtMs: nowMs};
}

function getRaised({replicas, samples, raisedAtMs}: ReplicaState, nowMs: number): number {
  if (samples.length < RAISE_AFTER_SAMPLES) return replicas;
  const recent = samples.filter(
    ({atMs}, index) =>
      atMs > nowMs - RAISE_AFTER_MS || index >= samples.length - RAISE_AFTER_SAMPLES,
  );
  const asked = Math.min(...recent.map(({leastReplicas}) => leastReplicas));
  const isPressed = recent.every(({pressure}) => pressure === 'high');
  if (!isPressed || nowMs < raisedAtMs + PRESSURE_RAISE_EVERY_MS) return asked;
  return Math.max(asked, Math.ceil(replicas * PRESSURE_FACTOR));
}

/** Looks back over the whole time, so that neither noise nor a lost report nor a short rise of prices lets servers go. */
function getLowered(state: ReplicaState, nowMs: number): number {
  const {replicas, samples, startedAtMs, loweredAtMs} = state;
  if (nowMs < startedAtMs + LOWER_AFTER_MS || nowMs < loweredAtMs + LOWER_EVERY_MS) return replicas;
  const allowed = Math.max(...samples.map(({limit}) => limit ?? replicas));
  const isPressed = samples.some(({pressure}) => pressure !== 'none');
  const asked = isPressed ? replicas : Math.max(...samples.map(one => one.mostReplicas));
  return Math.min(asked, allowed);
}
