/**
 * State of the membership protocol between entries, a SWIM-style failure detector: random probes, indirect probes
 * through other members, and suspicions that the suspect can refute. The protocol does no I/O; its adapter executes the
 * effects.
 */
import type {Member, MemberState} from '../../blackboard/index.js';

/** Timeouts and limits of the protocol. */
export interface MembershipOptions {
  /** Time between two probes by one daemon. The cost per daemon doesn't depend on the number of members. */
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  /** Time within which a suspect can refute the suspicion before it is declared dead. */
  readonly suspicionTimeoutMs: number;
  /** Number of members that are asked for an indirect probe when a direct probe fails. */
  readonly indirectProbes: number;
  /** Membership updates piggybacked on one message. */
  readonly maxUpdatesPerMessage: number;
  /** Minimum time for which a dead member stays in the member list. */
  readonly deadRetentionMs: number;
}

/** Options that detect a dead member within seconds in deployments of three or more entries. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probeIntervalMs: 300,
  probeTimeoutMs: 500,
  suspicionTimeoutMs: 1_500,
  indirectProbes: 3,
  maxUpdatesPerMessage: 8,
  deadRetentionMs: 60_000,
};

/** Network addresses of a member. */
export type MemberAddress = Pick<
  Member,
  'instanceId' | 'address' | 'peerPort' | 'callersPort' | 'failureDomain'
>;

/** Membership update: the state of one member as one daemon reports it to another. */
export interface MembershipUpdate extends MemberAddress {
  readonly state: MemberState;
  readonly incarnation: number;
}

/** State of another member at this daemon. */
export interface KnownMember extends Member {
  /** Time at which the member is declared dead unless the suspicion is refuted; undefined if it isn't suspected. */
  readonly suspicionEndsAtMs?: number;
  /** Number of messages on which the newest update about this member is still to be piggybacked. */
  readonly remainingTransmissions: number;
}

/** State of the protocol at one daemon. All times are by the clock that the adapter passes as `nowMs`. */
export interface MembershipState {
  readonly options: MembershipOptions;
  readonly self: KnownMember;
  /** The other members by instance id. */
  readonly others: ReadonlyMap<string, KnownMember>;
  /** Instance ids still to be probed in this round, in random order. */
  readonly probeOrder: readonly string[];
  /**
   * Local health score: 0 is healthy; grows when own probes fail and shrinks when they succeed. Its timeouts grow with
   * it, so that a slow daemon doesn't suspect healthy members.
   */
  readonly healthScore: number;
  readonly lastTickAtMs: number;
}

/** Request to the adapter to probe a member. */
export interface ProbeEffect {
  readonly kind: 'probe';
  readonly target: KnownMember;
  readonly timeoutMs: number;
}

/** Request to the adapter to ask other members to probe one. */
export interface IndirectProbeEffect {
  readonly kind: 'indirect-probe';
  readonly target: KnownMember;
  /** Members that are asked to probe the target. */
  readonly via: readonly KnownMember[];
  readonly timeoutMs: number;
}

/** I/O that the adapter executes; it reports the outcome back to the protocol. */
export type MembershipEffect = ProbeEffect | IndirectProbeEffect;

/** Result of a protocol step: the new state and the I/O to execute. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly effects: readonly MembershipEffect[];
}

/** Upper limit of the health score; at this score, timeouts are nine times their configured length. */
export const MAX_HEALTH_SCORE = 8;

/**
 * Returns the initial state of a daemon that knows no other members yet.
 * @param self - Addresses of this daemon.
 * @param incarnation - First incarnation; must be higher than that of any earlier process of the instance.
 * @param nowMs - Current time in milliseconds.
 * @param options - Timeouts and limits.
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
    self: {...self, ...alive, configurationRevision: 0, remainingTransmissions: 0},
    others: new Map(),
    probeOrder: [],
    healthScore: 0,
    lastTickAtMs: nowMs,
  };
}

/** Returns the state with one member added or replaced. */
export function putMember(state: MembershipState, member: KnownMember): MembershipState {
  const others = new Map(state.others);
  others.set(member.instanceId, member);
  return {...state, others};
}

/** Returns the state with its health score changed, clamped to 0 and `MAX_HEALTH_SCORE`. */
export function adjustHealthScore(state: MembershipState, change: number): MembershipState {
  const healthScore = Math.min(Math.max(state.healthScore + change, 0), MAX_HEALTH_SCORE);
  return {...state, healthScore};
}

/** Returns how often a daemon transmits each membership update; grows with the logarithm of the number of members. */
export function getTransmissionLimit(state: MembershipState): number {
  return TRANSMISSION_MULTIPLIER * Math.ceil(Math.log2(state.others.size + 2));
}

const TRANSMISSION_MULTIPLIER = 3;
