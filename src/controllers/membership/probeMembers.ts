/** Chooses the member to probe next and applies the result of each probe. */
import {applyMembershipUpdates, getSuspicionEndMs} from './applyMembershipUpdates.js';
import {
  adjustHealthScore,
  getTransmissionLimit,
  putMember,
  type KnownMember,
  type MembershipState,
  type MembershipStep,
  type MembershipUpdate,
} from './MembershipState.js';

/** Response of a member to a probe. */
export interface ProbeAck {
  readonly instanceId: string;
  readonly configurationRevision: number;
  readonly updates: readonly MembershipUpdate[];
}

/** Fraction of probes sent to members considered dead, so that the end of a network partition is noticed. */
const DEAD_PROBE_SHARE = 0.1;
/** If more than this many probe intervals pass between two ticks, this process is assumed to have been paused. */
const PAUSE_INTERVALS = 4;

/**
 * Advances the protocol by one probe interval: declares suspects dead whose suspicion has expired, and chooses the next
 * member to probe.
 * @param state - State before the tick.
 * @param nowMs - Current time in milliseconds.
 * @param random - Returns a number in [0, 1).
 */
export function tickMembership(
  state: MembershipState,
  nowMs: number,
  random: () => number,
): MembershipStep {
  const extended = extendSuspicionsAfterPause(state, nowMs);
  const expired = expireSuspicions(extended, nowMs);
  const {state: next, target} = chooseTarget({...expired, lastTickAtMs: nowMs}, random);
  if (!target) return {state: next, effects: []};
  const timeoutMs = next.options.probeTimeoutMs * (1 + next.healthScore);
  return {state: next, effects: [{kind: 'probe', target, timeoutMs}]};
}

/**
 * Applies the response to a direct probe: improves the health score and applies the piggybacked updates. It also
 * cancels the suspicion of a leaving member; any other suspect has to refute the suspicion itself.
 * @param state - State before the response.
 * @param response - Response of the probed member.
 * @param nowMs - Current time in milliseconds.
 */
export function applyProbeAck(
  state: MembershipState,
  {instanceId, configurationRevision, updates}: ProbeAck,
  nowMs: number,
): MembershipState {
  const updated = applyMembershipUpdates(adjustHealthScore(state, -1), updates, nowMs);
  const member = updated.others.get(instanceId);
  if (!member) return updated;
  const suspicionEndsAtMs = member.state === 'leaving' ? undefined : member.suspicionEndsAtMs;
  return putMember(updated, {...member, configurationRevision, suspicionEndsAtMs});
}

/**
 * Handles a failed direct probe: asks other members for indirect probes, or suspects the member at once if there are
 * none.
 * @param state - State before the failure.
 * @param instanceId - Member that didn't respond.
 * @param nowMs - Current time in milliseconds.
 * @param random - Returns a number in [0, 1).
 */
export function applyProbeFailure(
  state: MembershipState,
  instanceId: string,
  nowMs: number,
  random: () => number,
): MembershipStep {
  const target = state.others.get(instanceId);
  if (!target || target.state === 'dead') return {state, effects: []};
  const helpers = [...state.others.values()].filter(
    member => member.state === 'alive' && member.instanceId !== instanceId,
  );
  const via = shuffle(helpers, random).slice(0, state.options.indirectProbes);
  if (via.length === 0) return {state: suspectMember(state, instanceId, nowMs), effects: []};
  const timeoutMs = state.options.probeTimeoutMs * (1 + state.healthScore);
  return {state, effects: [{kind: 'indirect-probe', target, via, timeoutMs}]};
}

/**
 * Applies the result of the indirect probes of one member: suspects it if no helper reached it.
 * @param state - State before the result.
 * @param instanceId - Member that was probed.
 * @param isReached - Whether at least one helper reached it.
 * @param nowMs - Current time in milliseconds.
 */
export function applyIndirectProbeResult(
  state: MembershipState,
  instanceId: string,
  isReached: boolean,
  nowMs: number,
): MembershipState {
  if (isReached) return state;
  return suspectMember(adjustHealthScore(state, 1), instanceId, nowMs);
}

/**
 * Chooses the membership updates to piggyback on a message, least transmitted first, and counts their transmission.
 * @param state - State before the message.
 * @param receiverId - Receiver of the message. An update that calls it anything but alive is always included, so that
 * it can refute it.
 */
export function takeMembershipUpdates(
  state: MembershipState,
  receiverId: string,
): {readonly state: MembershipState; readonly updates: readonly MembershipUpdate[]} {
  const receiver = state.others.get(receiverId);
  const fresh = [...state.others.values()]
    .filter(member => member.remainingTransmissions > 0 && member !== receiver)
    .sort((a, b) => b.remainingTransmissions - a.remainingTransmissions)
    .slice(0, state.options.maxUpdatesPerMessage);
  const others = new Map(state.others);
  for (const member of fresh) {
    others.set(member.instanceId, {
      ...member,
      remainingTransmissions: member.remainingTransmissions - 1,
    });
  }
  const aboutReceiver = receiver && receiver.state !== 'alive' ? [receiver] : [];
  return {
    state: {...state, others},
    updates: [state.self, ...aboutReceiver, ...fresh].map(toUpdate),
  };
}

/**
 * Extends suspicions by the time for which this process was paused, since it couldn't receive refutations meanwhile.
 */
function extendSuspicionsAfterPause(state: MembershipState, nowMs: number): MembershipState {
  const pausedMs = nowMs - state.lastTickAtMs;
  if (pausedMs <= PAUSE_INTERVALS * state.options.probeIntervalMs) return state;
  const others = new Map<string, KnownMember>();
  for (const [id, member] of state.others) {
    const suspicionEndsAtMs =
      member.suspicionEndsAtMs === undefined ? undefined : member.suspicionEndsAtMs + pausedMs;
    others.set(id, {...member, suspicionEndsAtMs});
  }
  return adjustHealthScore({...state, others}, 1);
}

function expireSuspicions(state: MembershipState, nowMs: number): MembershipState {
  let next = state;
  for (const member of state.others.values()) {
    if (member.suspicionEndsAtMs !== undefined && member.suspicionEndsAtMs <= nowMs) {
      next = putMember(next, markDead(state, member, nowMs));
    }
  }
  return next;
}

function markDead(state: MembershipState, member: KnownMember, nowMs: number): KnownMember {
  const remainingTransmissions = getTransmissionLimit(state);
  return {
    ...member,
    state: 'dead',
    changedAtMs: nowMs,
    suspicionEndsAtMs: undefined,
    remainingTransmissions,
  };
}

function chooseTarget(
  state: MembershipState,
  random: () => number,
): {readonly state: MembershipState; readonly target?: KnownMember} {
  const members = [...state.others.values()];
  const dead = members.filter(member => member.state === 'dead');
  if (dead.length > 0 && random() < DEAD_PROBE_SHARE) {
    return {state, target: dead[Math.floor(random() * dead.length)]};
  }
  const liveIds = members
    .filter(member => member.state !== 'dead')
    .map(member => member.instanceId);
  const liveIdSet = new Set(liveIds);
  const remainingIds = state.probeOrder.filter(id => liveIdSet.has(id));
  const [targetId, ...probeOrder] =
    remainingIds.length > 0 ? remainingIds : shuffle(liveIds, random);
  if (targetId === undefined) return {state: {...state, probeOrder: []}};
  return {state: {...state, probeOrder}, target: state.others.get(targetId)};
}

function suspectMember(state: MembershipState, instanceId: string, nowMs: number): MembershipState {
  const member = state.others.get(instanceId);
  if (!member || member.state === 'dead' || member.suspicionEndsAtMs !== undefined) return state;
  const suspicionEndsAtMs = getSuspicionEndMs(state, nowMs);
  if (member.state === 'leaving') return putMember(state, {...member, suspicionEndsAtMs});
  const remainingTransmissions = getTransmissionLimit(state);
  const suspect = {...member, state: 'suspect', changedAtMs: nowMs} as const;
  return putMember(state, {...suspect, suspicionEndsAtMs, remainingTransmissions});
}

function shuffle<Item>(items: readonly Item[], random: () => number): readonly Item[] {
  return items
    .map(item => ({item, order: random()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}

function toUpdate(member: KnownMember): MembershipUpdate {
  const {instanceId, state, incarnation, address, peerPort, callersPort, failureDomain} = member;
  return {instanceId, state, incarnation, address, peerPort, callersPort, failureDomain};
}
