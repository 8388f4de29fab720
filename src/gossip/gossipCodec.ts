/** Converts gossip states to and from protobuf datagrams. */
import {create, fromBinary, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import {
  GossipSchema,
  type Gossip,
  type Member,
  type MemberSchema,
  type Registration,
  type RegistrationSchema,
  type ServerStart as ServerStartMessage,
  type ServerStartSchema,
} from '../peer/generated/buckthorn/gossip/v1/gossip_pb.js';
import type {ServerEntry, ServerStart} from '../catalog/index.js';
import type {GatewayMember, GossipState} from './GossipState.js';

/** Largest age that the uint32 field can hold; sent if nothing has been read yet. */
const MAX_AGE_MS = 0xffff_ffff;

/**
 * Encodes a state as a protobuf message.
 * @param state - Ages are rounded and limited to the range of uint32.
 */
export function encodeGossip(state: GossipState): Uint8Array {
  const message = create(GossipSchema, {
    sender: toMemberMessage(state.sender),
    members: state.members.map(toMemberMessage),
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
    operatorAgeMs: toAge(state.operatorAgeMs),
    registrationsOffset: BigInt(state.registrations.offset),
    registrationsAgeMs: toAge(state.registrations.ageMs),
    registrationsDigest: state.registrations.digest,
    registrations: state.registrations.changed.map(toRegistration),
    drainingServers: state.registrations.draining.map(toServerStart),
    removedServers: state.registrations.removed.map(toServerStart),
    wallMs: BigInt(Math.round(state.wallMs)),
  });
  return toBinary(GossipSchema, message);
}

/**
 * Decodes a datagram; returns undefined if it isn't a gossip message with a sender.
 * @param bytes - Payload of the datagram.
 */
export function decodeGossip(bytes: Uint8Array): GossipState | undefined {
  const message = parseMessage(bytes);
  if (!message?.sender || message.sender.id === '') return undefined;
  return {
    sender: fromMemberMessage(message.sender),
    members: message.members.map(fromMemberMessage),
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
    registrations: {
      offset: Number(message.registrationsOffset),
      ageMs: message.registrationsAgeMs,
      digest: message.registrationsDigest,
      changed: message.registrations.map(fromRegistration),
      draining: message.drainingServers.map(fromServerStart),
      removed: message.removedServers.map(fromServerStart),
    },
    wallMs: Number(message.wallMs),
  };
}

function toAge(ageMs: number): number {
  return Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs)));
}

function toServerStart({id, startedAtMs}: ServerStart): MessageInitShape<typeof ServerStartSchema> {
  return {id, startedAtMs: BigInt(startedAtMs ?? 0)};
}

function fromServerStart({id, startedAtMs}: ServerStartMessage): ServerStart {
  return {id, startedAtMs: startedAtMs === 0n ? undefined : Number(startedAtMs)};
}

function toRegistration(entry: ServerEntry): MessageInitShape<typeof RegistrationSchema> {
  const {service, address, failureDomain, softwareVersion, slots, isDraining, isReclaimable} =
    entry;
  return {
    server: toServerStart(entry),
    service,
    address,
    failureDomain,
    softwareVersion,
    slots,
    isDraining,
    isReclaimable,
    coldMs: toAge(entry.coldMs),
  };
}

function fromRegistration({server, ...registration}: Registration): ServerEntry {
  const {service, address, failureDomain, softwareVersion, slots} = registration;
  return {
    ...(server ? fromServerStart(server) : {id: '', startedAtMs: undefined}),
    service,
    address,
    failureDomain,
    softwareVersion,
    slots,
    isDraining: registration.isDraining,
    isReclaimable: registration.isReclaimable,
    coldMs: registration.coldMs,
  };
}

function parseMessage(bytes: Uint8Array): Gossip | undefined {
  try {
    return fromBinary(GossipSchema, bytes);
  } catch {
    return undefined;
  }
}

function toMemberMessage(member: GatewayMember): MessageInitShape<typeof MemberSchema> {
  return {...member, incarnation: BigInt(member.incarnation)};
}

function fromMemberMessage(member: Member): GatewayMember {
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
