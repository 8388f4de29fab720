/** Encodes and decodes the gateways' datagrams. */
import {create, fromBinary, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import {
  GossipSchema,
  type Gossip,
  type Member,
  type MemberSchema,
} from '../peer/generated/buckthorn/gossip/v1/gossip_pb.js';
import type {GatewayMember, GossipState} from './GossipState.js';

/** Age that is told where nothing has been read yet. */
const MAX_AGE_MS = 0xffff_ffff;

/**
 * Encodes a state.
 * @param state - The state.
 */
export function encodeGossip(state: GossipState): Uint8Array {
  const message = create(GossipSchema, {
    sender: toMessage(state.sender),
    members: state.members.map(toMessage),
    workspaceUses: [...state.admitted].map(([workspace, admitted]) => ({workspace, admitted})),
    serverLoads: [...state.serverLoads].map(([serverId, load]) => ({
      serverId,
      openRequests: load.openRequests,
      pendingPromptTokens: Math.round(load.pendingPromptTokens),
    })),
    usageWindows: state.usage.map(({window, workspace, requests}) => ({
      number: BigInt(window),
      workspace,
      requests,
    })),
    dutyToken: BigInt(state.dutyClaim.token),
    dutyHolderId: state.dutyClaim.holderId,
    operatorOffset: BigInt(state.operatorOffset),
    operatorAgeMs: Math.min(MAX_AGE_MS, Math.max(0, Math.round(state.operatorAgeMs))),
    leavingServerIds: [...state.leavingServerIds],
  });
  return toBinary(GossipSchema, message);
}

/**
 * Decodes a datagram; returns undefined where it isn't one of ours.
 * @param bytes - The datagram.
 */
export function decodeGossip(bytes: Uint8Array): GossipState | undefined {
  const message = readMessage(bytes);
  if (!message?.sender || message.sender.id === '') return undefined;
  return {
    sender: fromMessage(message.sender),
    members: message.members.map(fromMessage),
    admitted: new Map(message.workspaceUses.map(({workspace, admitted}) => [workspace, admitted])),
    serverLoads: new Map(message.serverLoads.map(({serverId, ...load}) => [serverId, load])),
    usage: message.usageWindows.map(({number, workspace, requests}) => ({
      window: Number(number),
      workspace,
      requests,
    })),
    dutyClaim: {token: Number(message.dutyToken), holderId: message.dutyHolderId},
    operatorOffset: Number(message.operatorOffset),
    operatorAgeMs: message.operatorAgeMs,
    leavingServerIds: message.leavingServerIds,
  };
}

function readMessage(bytes: Uint8Array): Gossip | undefined {
  try {
    return fromBinary(GossipSchema, bytes);
  } catch {
    return undefined;
  }
}

function toMessage(member: GatewayMember): MessageInitShape<typeof MemberSchema> {
  return {...member, incarnation: BigInt(member.incarnation)};
}

function fromMessage(member: Member): GatewayMember {
  return {
    id: member.id,
    incarnation: Number(member.incarnation),
    gossipAddress: member.gossipAddress,
    trafficAddress: member.trafficAddress,
    failureDomain: member.failureDomain,
    isReady: member.isReady,
    isLeaving: member.isLeaving,
  };
}
