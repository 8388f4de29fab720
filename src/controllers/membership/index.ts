export {applyInstanceList, applyMembershipUpdates, beginLeaving} from './applyMembershipUpdates.js';
export {
  DEFAULT_MEMBERSHIP_OPTIONS,
  createMembershipState,
  type IndirectProbeEffect,
  type KnownMember,
  type MemberAddress,
  type MembershipEffect,
  type MembershipOptions,
  type MembershipState,
  type MembershipStep,
  type ProbeEffect,
  type MembershipUpdate,
} from './MembershipState.js';
export {
  applyIndirectProbeResult,
  applyProbeAck,
  applyProbeFailure,
  takeMembershipUpdates,
  tickMembership,
  type ProbeAck,
} from './probeMembers.js';
