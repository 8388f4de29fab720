/** Decides whom to probe, and what an answer or its absence means. */
import {applyRumours, getSuspicionEndMs} from './applyRumours.js';
import {
  addHealthScore,
  getRumourBudget,
  putMember,
  type KnownMember,
  type MembershipState,
  type MembershipStep,
  type Rumour,
} from './MembershipState.js';

/** Answer to a probe. */
export interface ProbeAnswer {
  readonly instanceId: string;
  readonly configurationRevision: number;
  readonly rumours: readonly Rumour[];
}

/** Share of probes that go to a member that is held dead, so that a healed cut is noticed. */
const DEAD_PROBE_SHARE = 0.1;
/** A tick that is late by this many intervals means that this process was paused. */
const PAUSE_INTERVALS = 4;

/**
 * Passes time: ends suspicions that weren't refuted and chooses the next member to probe.
 * @param state - State before.
 * @param nowMs - Present time.
 * @param random - Returns a number from 0 up to 1.
 */
export function tickMembership(
  state: MembershipState,
  nowMs: number,
  random: () => number,
): MembershipStep {
  const resumed = excuseOwnPause(state, nowMs);
  const settled = endSuspicions(resumed, nowMs);
  const {state: next, target} = chooseTarget({...settled, lastTickAtMs: nowMs}, random);
  if (!target) return {state: next, effects: []};
  const timeoutMs = next.options.probeTimeoutMs * (1 + next.healthScore);
  return {state: next, effects: [{kind: 'probe', target, timeoutMs}]};
}

/**
 * Takes in the answer to a probe.
 * @param state - State before.
 * @param answer - The answer.
 * @param nowMs - Present time.
 */
export function applyProbeAnswer(
  state: MembershipState,
  {instanceId, configurationRevision, rumours}: ProbeAnswer,
  nowMs: number,
): MembershipState {
  const heard = applyRumours(addHealthScore(state, -1), rumours, nowMs);
  const member = heard.others.get(instanceId);
  if (!member) return heard;
  const deadAtMs = member.state === 'leaving' ? undefined : member.deadAtMs;
  return putMember(heard, {...member, configurationRevision, deadAtMs});
}

/**
 * Reacts to a probe without an answer: others are asked to probe the member.
 * @param state - State before.
 * @param instanceId - The member that didn't answer.
 * @param nowMs - Present time.
 * @param random - Returns a number from 0 up to 1.
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
 * Reacts to the end of indirect probes.
 * @param state - State before.
 * @param instanceId - The member that was probed.
 * @param isReached - Whether a helper reached it.
 * @param nowMs - Present time.
 */
export function applyIndirectProbe(
  state: MembershipState,
  instanceId: string,
  isReached: boolean,
  nowMs: number,
): MembershipState {
  if (isReached) return state;
  return suspectMember(addHealthScore(state, 1), instanceId, nowMs);
}

/**
 * Chooses the rumours for a message and takes them off their budgets.
 * @param state - State before.
 * @param receiverId - Who gets the message; always told what is said of it, so that it may refute.
 */
export function takeRumours(
  state: MembershipState,
  receiverId: string,
): {readonly state: MembershipState; readonly rumours: readonly Rumour[]} {
  const receiver = state.others.get(receiverId);
  const fresh = [...state.others.values()]
    .filter(member => member.rumourBudget > 0 && member !== receiver)
    .sort((a, b) => b.rumourBudget - a.rumourBudget)
    .slice(0, state.options.maxRumoursPerMessage);
  const others = new Map(state.others);
  for (const member of fresh) {
    others.set(member.instanceId, {...member, rumourBudget: member.rumourBudget - 1});
  }
  const about = receiver && receiver.state !== 'alive' ? [receiver] : [];
  return {state: {...state, others}, rumours: [state.self, ...about, ...fresh].map(toRumour)};
}

/** Suspicions are put off by the time for which this process was paused, since it heard no refutation meanwhile. */
function excuseOwnPause(state: MembershipState, nowMs: number): MembershipState {
  const pausedMs = nowMs - state.lastTickAtMs;
  if (pausedMs <= PAUSE_INTERVALS * state.options.probeIntervalMs) return state;
  const others = new Map<string, KnownMember>();
  for (const [id, member] of state.others) {
    const deadAtMs = member.deadAtMs === undefined ? undefined : member.deadAtMs + pausedMs;
    others.set(id, {...member, deadAtMs});
  }
  return addHealthScore({...state, others}, 1);
}

function endSuspicions(state: MembershipState, nowMs: number): MembershipState {
  let next = state;
  for (const member of state.others.values()) {
    if (member.deadAtMs !== undefined && member.deadAtMs <= nowMs) {
      next = putMember(next, markDead(state, member, nowMs));
    }
  }
  return next;
}

function markDead(state: MembershipState, member: KnownMember, nowMs: number): KnownMember {
  const rumourBudget = getRumourBudget(state);
  return {...member, state: 'dead', changedAtMs: nowMs, deadAtMs: undefined, rumourBudget};
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
  const probed = members.filter(member => member.state !== 'dead').map(member => member.instanceId);
  const probedIds = new Set(probed);
  const rest = state.probeOrder.filter(id => probedIds.has(id));
  const [first, ...probeOrder] = rest.length > 0 ? rest : shuffle(probed, random);
  if (first === undefined) return {state: {...state, probeOrder: []}};
  return {state: {...state, probeOrder}, target: state.others.get(first)};
}

function suspectMember(state: MembershipState, instanceId: string, nowMs: number): MembershipState {
  const member = state.others.get(instanceId);
  if (!member || member.state === 'dead' || member.deadAtMs !== undefined) return state;
  const deadAtMs = getSuspicionEndMs(state, nowMs);
  if (member.state === 'leaving') return putMember(state, {...member, deadAtMs});
  const rumourBudget = getRumourBudget(state);
  const suspect = {...member, state: 'suspect', changedAtMs: nowMs} as const;
  return putMember(state, {...suspect, deadAtMs, rumourBudget});
}

function shuffle<Item>(items: readonly Item[], random: () => number): readonly Item[] {
  return items
    .map(item => ({item, order: random()}))
    .sort((a, b) => a.order - b.order)
    .map(({item}) => item);
}

function toRumour(member: KnownMember): Rumour {
  const {instanceId, state, incarnation, address, peerPort, callersPort, failureDomain} = member;
  return {instanceId, state, incarnation, address, peerPort, callersPort, failureDomain};
}
