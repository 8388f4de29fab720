export {
  GossipSocket,
  type GossipChannel,
  type GossipSocketOptions,
  type GossipTraffic,
} from './GossipSocket.js';
export type {
  DutyClaim,
  GatewayMember,
  GossipState,
  RegistrationsUpdate,
  UsageCount,
} from './GossipState.js';
export {MemberTable, type MemberRecord, type MemberTimeouts} from './MemberTable.js';
export {
  getComposition,
  getMemberKey,
  getMemberStatus,
  mergeSummaries,
  type AgedSummary,
  type MemberStatus,
  type StateSummary,
} from './StateSummary.js';
export {decodeGossip, encodeGossip} from './gossipCodec.js';
