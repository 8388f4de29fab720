/** Takes in what other daemons say about members. */
import type {Instance} from '../../blackboard/index.js';
import {
  addHealthScore,
  getRumourBudget,
  putMember,
  type KnownMember,
  type MembershipState,
  type Rumour,
} from './MembershipState.js';

/** Rank of states within one incarnation: the higher one holds. */
const STATE_RANKS = {alive: 0, suspect: 1, leaving: 2, dead: 3} as const;

/**
 * Applies rumours from a message.
 * @param state - State before.
 * @param rumours - What the message says.
 * @param nowMs - Present time.
 */
export function applyRumours(
  state: MembershipState,
  rumours: readonly Rumour[],
  nowMs: number,
): MembershipState {
  return rumours.reduce((before, rumour) => applyRumour(before, rumour, nowMs), state);
}

/**
 * Takes in the platform's list: members that nobody has spoken of yet, and those that it says are leaving or gone.
 * @param state - State before.
 * @param instances - The list; it lags.
 * @param nowMs - Present time.
 */
export function applyInstanceList(
  state: MembershipState,
  instances: readonly Instance[],
  nowMs: number,
): MembershipState {
  const entries = instances.filter(
    ({role, instanceId}) => role === 'entry' && instanceId !== state.self.instanceId,
  );
  const applied = entries.reduce(
    (before, instance) => applyInstance(before, instance, nowMs),
    state,
  );
  return instances.length === 0 ? applied : forgetDead(applied, entries, nowMs);
}

/**
 * Marks this daemon as leaving, so that nobody sends it new work.
 * @param state - State before.
 * @param nowMs - Present time.
 */
export function beginLeaving(state: MembershipState, nowMs: number): MembershipState {
  const {self} = state;
  if (self.state === 'leaving') return state;
  const incarnation = self.incarnation + 1;
  return {...state, self: {...self, state: 'leaving', incarnation, changedAtMs: nowMs}};
}

function applyRumour(state: MembershipState, rumour: Rumour, nowMs: number): MembershipState {
  if (rumour.instanceId === state.self.instanceId) return refute(state, rumour, nowMs);
  const known = state.others.get(rumour.instanceId);
  if (!known && rumour.state === 'dead') return state;
  if (known && !isNewer(rumour, known)) return state;
  const member: KnownMember = {
    ...known,
    ...rumour,
    configurationRevision: known?.configurationRevision ?? 0,
    changedAtMs: known?.state === rumour.state ? known.changedAtMs : nowMs,
    deadAtMs: rumour.state === 'suspect' ? getSuspicionEndMs(state, nowMs) : undefined,
    rumourBudget: getRumourBudget(state),
  };
  return putMember(state, member);
}

/**
 * A daemon that hears of its own suspicion or death answers with a higher incarnation. One that hears that it is leaving
 * learns so of the platform's notice.
 */
function refute(state: MembershipState, rumour: Rumour, nowMs: number): MembershipState {
  const {self} = state;
  if (rumour.state === 'leaving' && rumour.incarnation >= self.incarnation) {
    return beginLeaving(state, nowMs);
  }
  const isAgreed = rumour.state === self.state || rumour.incarnation < self.incarnation;
  if (isAgreed && rumour.incarnation <= self.incarnation) return state;
  const incarnation = Math.max(self.incarnation, rumour.incarnation) + 1;
  const refuted = {...state, self: {...self, incarnation}};
  return rumour.state === 'suspect' ? addHealthScore(refuted, 1) : refuted;
}

/** Returns the instant at which a suspicion that starts now ends. */
export function getSuspicionEndMs(state: MembershipState, nowMs: number): number {
  const sizeFactor = Math.max(1, Math.log10(state.others.size + 1));
  return nowMs + state.options.suspicionTimeoutMs * sizeFactor * (1 + state.healthScore);
}

function isNewer(rumour: Rumour, known: KnownMember): boolean {
  if (rumour.incarnation !== known.incarnation) return rumour.incarnation > known.incarnation;
  return STATE_RANKS[rumour.state] > STATE_RANKS[known.state];
}

function applyInstance(state: MembershipState, instance: Instance, nowMs: number): MembershipState {
  const {instanceId, address, port, peerPort, failureDomain} = instance;
  const known = state.others.get(instanceId);
  if (!known) {
    if (instance.state === 'gone' || peerPort === undefined) return state;
    return putMember(state, {
      instanceId,
      address,
      peerPort,
      callersPort: port,
      failureDomain,
      state: instance.state === 'leaving' ? 'leaving' : 'alive',
      incarnation: 0,
      configurationRevision: 0,
      changedAtMs: nowMs,
      rumourBudget: 0,
    });
  }
  if (instance.state === 'live' || known.state === 'dead') return state;
  const {incarnation} = known;
  const listedState = instance.state === 'gone' ? 'dead' : 'leaving';
  return applyRumour(state, {...toAddress(known), state: listedState, incarnation}, nowMs);
}

/** A dead member is remembered until the list drops it, so that an entry that is cut off doesn't think itself alone. */
function forgetDead(
  state: MembershipState,
  entries: readonly Instance[],
  nowMs: number,
): MembershipState {
  const listed = new Set(
    entries.filter(entry => entry.state !== 'gone').map(({instanceId}) => instanceId),
  );
  const others = new Map(state.others);
  for (const member of state.others.values()) {
    const isOld = nowMs - member.changedAtMs > state.options.deadKeepMs;
    if (member.state === 'dead' && isOld && !listed.has(member.instanceId)) {
      others.delete(member.instanceId);
    }
  }
  return {...state, others};
}

function toAddress(member: KnownMember): Omit<Rumour, 'state' | 'incarnation'> {
  const {instanceId, address, peerPort, callersPort, failureDomain} = member;
  return {instanceId, address, peerPort, callersPort, failureDomain};
}
