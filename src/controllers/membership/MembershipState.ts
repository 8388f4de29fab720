/** State of the membership protocol between entries, and what it asks its adapter to do. */
import type {Member, MemberState} from '../../blackboard/index.js';

/** Timing and bounds of the protocol. */
export interface MembershipOptions {
  /** Time between two probes by one daemon; the cost per daemon doesn't depend on the number of members. */
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  /** Time that a suspect has to refute the suspicion. */
  readonly suspicionTimeoutMs: number;
  /** Members that probe for a daemon whose own probe got no answer. */
  readonly indirectProbes: number;
  /** Rumours passed on with one message. */
  readonly maxRumoursPerMessage: number;
  /** Time for which a dead member is remembered. */
  readonly deadKeepMs: number;
}

/** Options with which a dead member is found within seconds among three and more. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probeIntervalMs: 300,
  probeTimeoutMs: 500,
  suspicionTimeoutMs: 1_500,
  indirectProbes: 3,
  maxRumoursPerMessage: 8,
  deadKeepMs: 60_000,
};

/** Where a member listens. */
export type MemberAddress = Pick<
  Member,
  'instanceId' | 'address' | 'peerPort' | 'callersPort' | 'failureDomain'
>;

/** What one daemon tells another about a member. */
export interface Rumour extends MemberAddress {
  readonly state: MemberState;
  readonly incarnation: number;
}

/** A member as this daemon knows it. */
export interface KnownMember extends Member {
  /** Instant at which a suspicion that isn't refuted makes the member dead. */
  readonly deadAtMs?: number;
  /** Messages with which the newest rumour about the member is still to be passed on. */
  readonly rumourBudget: number;
}

/** State of the protocol at one daemon. */
export interface MembershipState {
  readonly options: MembershipOptions;
  readonly self: KnownMember;
  /** The other members by instance. */
  readonly others: ReadonlyMap<string, KnownMember>;
  /** Members still to be probed in this round, in random order. */
  readonly probeOrder: readonly string[];
  /** Grows with failed probes and shrinks with answered ones; a slow prober waits longer before it blames others. */
  readonly healthScore: number;
  readonly lastTickAtMs: number;
}

/** Asks the adapter to probe a member. */
export interface ProbeEffect {
  readonly kind: 'probe';
  readonly target: KnownMember;
  readonly timeoutMs: number;
}

/** Asks the adapter to let other members probe one. */
export interface IndirectProbeEffect {
  readonly kind: 'indirect-probe';
  readonly target: KnownMember;
  readonly via: readonly KnownMember[];
  readonly timeoutMs: number;
}

/** What the protocol asks its adapter to do. */
export type MembershipEffect = ProbeEffect | IndirectProbeEffect;

/** A step of the protocol: the state after it, and what is to be done. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

/** Highest health score: waits grow to nine times their length. */
export const MAX_HEALTH_SCORE = 8;

/**
 * Returns the state of a daemon that knows only itself.
 * @param self - Where it listens.
 * @param incarnation - First incarnation; higher than that of any earlier process of the instance.
 * @param nowMs - Present time.
 * @param options - Timing and bounds.
 */
export function createMembershipState(
  self: MemberAddress,
  incarnation: number,
  nowMs: number,
  options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS,
): MembershipState {
  const alive = {state: 'alive', incarnation, changedAtMs: nowMs} as const;
  return {
    options,
    self: {...self, ...alive, configurationRevision: 0, rumourBudget: 0},
    others: new Map(),
    probeOrder: [],
    healthScore: 0,
    lastTickAtMs: nowMs,
  };
}

/** Returns the state with one member replaced. */
export function putMember(state: MembershipState, member: KnownMember): MembershipState {
  const others = new Map(state.others);
  others.set(member.instanceId, member);
  return {...state, others};
}

/** Returns the state with its health score moved within its bounds. */
export function addHealthScore(state: MembershipState, change: number): MembershipState {
  const healthScore = Math.min(Math.max(state.healthScore + change, 0), MAX_HEALTH_SCORE);
  return {...state, healthScore};
}

/** Returns how often a rumour is passed on: it grows with the logarithm of the number of members. */
export function getRumourBudget(state: MembershipState): number {
  return RUMOUR_REPEATS * Math.ceil(Math.log2(state.others.size + 2));
}

const RUMOUR_REPEATS = 3;
