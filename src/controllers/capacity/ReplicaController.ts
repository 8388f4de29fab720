/**
 * Autoscaler: decides how many backend servers a service should have. It scales up within seconds and scales down over
 * many minutes.
 */
import type {ReplicaDemand} from './ReplicaDemand.js';

/** Demand and price limit of a service in one decision round. */
export interface ReplicaSample extends ReplicaDemand {
  readonly atMs: number;
  /** Largest number of servers within the price limits; undefined if no offer was known. */
  readonly limit: number | undefined;
}

/** State that is carried over from one round to the next. */
export interface ReplicaState {
  /** Backend servers needed for the load, without the spares for the loss of a failure domain. */
  readonly replicas: number;
  /** Time from which rounds have run without a long pause. */
  readonly startedAtMs: number;
  /** Time of the last scale-up; -Infinity before the first. */
  readonly scaledUpAtMs: number;
  /** Time of the last scale-down; -Infinity before the first. */
  readonly scaledDownAtMs: number;
  /** Samples within the look-back window of a scale-down. */
  readonly samples: readonly ReplicaSample[];
}

/** Input of `decideReplicas`. */
export interface ReplicaView {
  /** State after the previous round; undefined in the first round of a lease holder. */
  readonly state: ReplicaState | undefined;
  /** Minimum number of backend servers that the operators have configured. */
  readonly floor: number;
  /** Largest number of servers within the price limits now; undefined if no offer is known. */
  readonly limit: number | undefined;
  /**
   * Backend servers that remain after the loss of the largest failure domain; a new lease holder starts from this
   * number.
   */
  readonly survivingReplicas: number;
  readonly demand: ReplicaDemand;
  /** Whether scaling down is allowed; false while a move is in progress. */
  readonly canScaleDown: boolean;
}

/** Result of `decideReplicas`. It has no effects: `decideCapacity` starts and drains the servers. */
export interface ReplicaDecision {
  readonly changes: {readonly state: ReplicaState};
  readonly effects: readonly [];
}

/** A scale-up requires the higher demand in all samples of this time, and in at least the last three samples. */
const SCALE_UP_DELAY_MS = 5_000;
const MIN_SCALE_UP_SAMPLES = 3;
/**
 * Time after a scale-up in which slow first tokens and refused requests cause no further one, since the new servers
 * aren't serving yet.
 */
const PRESSURE_SCALE_UP_INTERVAL_MS = 120_000;
/** Growth of the number of servers by a scale-up for slow first tokens or refused requests. */
const PRESSURE_FACTOR = 1.25;
/** A scale-down requires the lower demand in all samples of this time. */
export const SCALE_DOWN_DELAY_MS = 600_000;
/** Minimum time between two scale-downs. */
const SCALE_DOWN_INTERVAL_MS = 60_000;
/** After a longer pause between two rounds, the look-back window of a scale-down starts anew. */
const MAX_PAUSE_MS = 60_000;
/** Fraction of the servers that one scale-down may remove; at least one server. */
const MAX_SCALE_DOWN_FRACTION = 0.1;

/**
 * Decides the number of backend servers of a service.
 * @param view - Limits, demand and previous state.
 * @param nowMs - Current time in milliseconds.
 */
export function decideReplicas(view: ReplicaView, nowMs: number): ReplicaDecision {
  const previous = view.state ?? createState(view, nowMs);
  const sample = {...view.demand, atMs: nowMs, limit: view.limit};
  const lastSampleAtMs = previous.samples.at(-1)?.atMs ?? nowMs;
  const startedAtMs = nowMs > lastSampleAtMs + MAX_PAUSE_MS ? nowMs : previous.startedAtMs;
  const recentSamples = previous.samples.filter(({atMs}) => atMs > nowMs - SCALE_DOWN_DELAY_MS);
  const state = {...previous, startedAtMs, samples: [...recentSamples, sample]};
  return {changes: {state: getNextState(view, state, nowMs)}, effects: []};
}

function createState({floor, limit, survivingReplicas}: ReplicaView, nowMs: number): ReplicaState {
  const maxReplicas = Math.max(limit ?? survivingReplicas, floor);
  const replicas = Math.min(Math.max(survivingReplicas, floor), maxReplicas);
  const samples: readonly ReplicaSample[] = [];
  return {
    replicas,
    startedAtMs: nowMs,
    scaledUpAtMs: -Infinity,
    scaledDownAtMs: -Infinity,
    samples,
  };
}

function getNextState(view: ReplicaView, state: ReplicaState, nowMs: number): ReplicaState {
  const {floor, limit, canScaleDown} = view;
  const {replicas} = state;
  const maxReplicas = Math.max(limit ?? replicas, floor);
  const scaledUp = Math.max(Math.min(getScaledUp(state, nowMs), maxReplicas), floor);
  if (scaledUp > replicas) return {...state, replicas: scaledUp, scaledUpAtMs: nowMs};
  const scaledDown = Math.max(getScaledDown(state, nowMs), floor);
  if (!canScaleDown || scaledDown >= replicas) return state;
  const maxRemoved = Math.max(Math.floor(replicas * MAX_SCALE_DOWN_FRACTION), 1);
  return {...state, replicas: Math.max(scaledDown, replicas - maxRemoved), scaledDownAtMs: nowMs};
}

function getScaledUp({replicas, samples, scaledUpAtMs}: ReplicaState, nowMs: number): number {
  if (samples.length < MIN_SCALE_UP_SAMPLES) return replicas;
  const recent = samples.filter(
    ({atMs}, index) =>
      atMs > nowMs - SCALE_UP_DELAY_MS || index >= samples.length - MIN_SCALE_UP_SAMPLES,
  );
  const demanded = Math.min(...recent.map(({lowerEstimate}) => lowerEstimate));
  const isUnderPressure = recent.every(({pressure}) => pressure === 'high');
  if (!isUnderPressure || nowMs < scaledUpAtMs + PRESSURE_SCALE_UP_INTERVAL_MS) return demanded;
  return Math.max(demanded, Math.ceil(replicas * PRESSURE_FACTOR));
}

/**
 * Takes the maximum over the look-back window, so that noise, a lost report or a short price rise removes no servers.
 */
function getScaledDown(state: ReplicaState, nowMs: number): number {
  const {replicas, samples, startedAtMs, scaledDownAtMs} = state;
  if (nowMs < startedAtMs + SCALE_DOWN_DELAY_MS || nowMs < scaledDownAtMs + SCALE_DOWN_INTERVAL_MS)
    return replicas;
  const maxReplicas = Math.max(...samples.map(({limit}) => limit ?? replicas));
  const isUnderPressure = samples.some(({pressure}) => pressure !== 'none');
  const demanded = isUnderPressure ? replicas : Math.max(...samples.map(one => one.upperEstimate));
  return Math.min(demanded, maxReplicas);
}
