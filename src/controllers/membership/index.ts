export {applyInstanceList, applyRumours, beginLeaving} from './applyRumours.js';
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
  type Rumour,
} from './MembershipState.js';
export {
  applyIndirectProbe,
  applyProbeAnswer,
  applyProbeFailure,
  takeRumours,
  tickMembership,
  type ProbeAck,
} from './probeMembers.js';
