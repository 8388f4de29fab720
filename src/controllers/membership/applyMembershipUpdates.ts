/** Applies membership updates from other daemons and from the platform's instance list. */
import type {Instance} from '../../blackboard/index.js';
import {
  adjustHealthScore,
  getTransmissionLimit,
  putMember,
  type KnownMember,
  type MembershipState,
  type MembershipUpdate,
} from './MembershipState.js';

/** Precedence of states within one incarnation: an update with a higher state overrides a lower one. */
const STATE_PRECEDENCE = {alive: 0, suspect: 1, leaving: 2, dead: 3} as const;

/**
 * Applies the membership updates of a received message; outdated ones are ignored.
 * @param state - State before the message.
 * @param updates - Updates in the order of the message.
 * @param nowMs - Current time in milliseconds.
 */
export function applyMembershipUpdates(
  state: MembershipState,
  updates: readonly MembershipUpdate[],
  nowMs: number,
): MembershipState {
  return updates.reduce((before, update) => applyUpdate(before, update, nowMs), state);
}

/**
 * Applies the platform's instance list: adds members that are still unknown here, and marks listed members that are
 * leaving or have stopped.
 * @param state - State before the list.
 * @param instances - The list; it lags behind the actual state of the instances.
 * @param nowMs - Current time in milliseconds.
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
  return instances.length === 0 ? applied : removeDeadMembers(applied, entries, nowMs);
}

/** Marks this daemon as leaving, under a new incarnation, so that the other members send it no new work. */
export function beginLeaving(state: MembershipState, nowMs: number): MembershipState {
  const {self} = state;
  if (self.state === 'leaving') return state;
  const incarnation = self.incarnation + 1;
  return {...state, self: {...self, state: 'leaving', incarnation, changedAtMs: nowMs}};
}

function applyUpdate(
  state: MembershipState,
  update: MembershipUpdate,
  nowMs: number,
): MembershipState {
  if (update.instanceId === state.self.instanceId) return refute(state, update, nowMs);
  const known = state.others.get(update.instanceId);
  if (!known && update.state === 'dead') return state;
  if (known && !isNewer(update, known)) return state;
  const member: KnownMember = {
    ...known,
    ...update,
    configurationRevision: known?.configurationRevision ?? 0,
    changedAtMs: known?.state === update.state ? known.changedAtMs : nowMs,
    suspicionEndsAtMs: update.state === 'suspect' ? getSuspicionEndMs(state, nowMs) : undefined,
    remainingTransmissions: getTransmissionLimit(state),
  };
  return putMember(state, member);
}

/**
 * Handles an update about this daemon itself. A suspicion or a death is refuted with a higher incarnation. `leaving` is
 * accepted, as it means that the platform has given notice of this instance's stop.
 */
function refute(state: MembershipState, update: MembershipUpdate, nowMs: number): MembershipState {
  const {self} = state;
  if (update.state === 'leaving' && update.incarnation >= self.incarnation) {
    return beginLeaving(state, nowMs);
  }
  const isAgreed = update.state === self.state || update.incarnation < self.incarnation;
  if (isAgreed && update.incarnation <= self.incarnation) return state;
  const incarnation = Math.max(self.incarnation, update.incarnation) + 1;
  const refuted = {...state, self: {...self, incarnation}};
  return update.state === 'suspect' ? adjustHealthScore(refuted, 1) : refuted;
}

/** Returns the time in milliseconds at which a suspicion that starts now expires. */
export function getSuspicionEndMs(state: MembershipState, nowMs: number): number {
  const sizeFactor = Math.max(1, Math.log10(state.others.size + 1));
  return nowMs + state.options.suspicionTimeoutMs * sizeFactor * (1 + state.healthScore);
}

function isNewer(update: MembershipUpdate, known: KnownMember): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
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
      remainingTransmissions: 0,
    });
  }
  if (instance.state === 'live' || known.state === 'dead') return state;
  const {incarnation} = known;
  const listedState = instance.state === 'gone' ? 'dead' : 'leaving';
  return applyUpdate(state, {...toAddress(known), state: listedState, incarnation}, nowMs);
}

/**
 * Removes dead members after `deadRetentionMs`, but only once the platform no longer lists them. Otherwise an entry
 * that is partitioned from the others would conclude that it is the only one.
 */
function removeDeadMembers(
  state: MembershipState,
  entries: readonly Instance[],
  nowMs: number,
): MembershipState {
  const listed = new Set(
    entries.filter(entry => entry.state !== 'gone').map(({instanceId}) => instanceId),
  );
  const others = new Map(state.others);
  for (const member of state.others.values()) {
    const isOld = nowMs - member.changedAtMs > state.options.deadRetentionMs;
    if (member.state === 'dead' && isOld && !listed.has(member.instanceId)) {
      others.delete(member.instanceId);
    }
  }
  return {...state, others};
}

function toAddress(member: KnownMember): Omit<MembershipUpdate, 'state' | 'incarnation'> {
  const {instanceId, address, peerPort, callersPort, failureDomain} = member;
  return {instanceId, address, peerPort, callersPort, failureDomain};
}
