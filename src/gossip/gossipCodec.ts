/** Converts gossip states to and from protobuf datagrams. */
import {create, fromBinary, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import {
  GossipSchema,
  MemberStatus as MemberStatusMessage,
  type Gossip,
  type Member,
  type MemberSchema,
  type PromptRate,
  type PromptRateSchema,
  type Registration,
  type RegistrationSchema,
  type Summary,
  type SummarySchema,
  type UsageWindow,
  type UsageWindowSchema,
  type ServerLoads as ServerLoadsMessage,
  type ServerLoadsSchema,
  type ServerStart as ServerStartMessage,
  type ServerStartSchema,
} from '../peer/generated/buckthorn/gossip/v1/gossip_pb.js';
import type {RecordedDeparture, RecordedEntry} from '../catalog/index.js';
import type {ServerLoad} from '../controllers/placement/index.js';
import {getTextKey} from '../utils/index.js';
import {fromCrash, fromSurvival, toCrash, toSurvival} from './findingsCodec.js';
import {
  fromRolloutResults,
  fromRolloutStep,
  toRolloutResults,
  toRolloutStep,
} from './rolloutCodec.js';
import {fromServerLimit, toServerLimit} from './serverLimitCodec.js';
import type {GatewayMember, GossipState, UsageCount} from './GossipState.js';
import type {MemberStatus, StateSummary} from './StateSummary.js';

/** Largest age that the uint32 field can hold; sent if nothing has been read yet. */
const MAX_AGE_MS = 0xffff_ffff;
const STATUS_MESSAGES: Readonly<Record<MemberStatus['status'], MemberStatusMessage>> = {
  ready: MemberStatusMessage.READY,
  'not-ready': MemberStatusMessage.NOT_READY,
  leaving: MemberStatusMessage.LEAVING,
  'cut-off': MemberStatusMessage.CUT_OFF,
};

/**
 * Encodes a state as a protobuf message.
 * @param state - Ages are rounded and limited to the range of uint32.
 */
export function encodeGossip(state: GossipState): Uint8Array {
  const message = create(GossipSchema, {
    sender: toMemberMessage(state.sender),
    members: state.members.map(toMemberMessage),
    workspaceUses: [...state.admitted].map(([workspace, admitted]) => ({workspace, admitted})),
    loads: toLoads(state.serverLoads),
    promptRates: toPromptRates(state.promptRates),
    usageWindows: state.usage.map(toUsageWindow),
    groupLevel: state.level,
    isAnnouncement: state.isAnnouncement,
    requestsMembers: state.requestsMembers,
    hasAllWorkspaces: state.hasAllWorkspaces,
    summary: state.summary && toSummary(state.summary),
    rest: state.rest && toSummary(state.rest),
    dutyToken: BigInt(state.dutyClaim.token),
    dutyHolderId: state.dutyClaim.holderId,
    reportedUsageWindow: BigInt(state.reportedUsageWindow),
    configurationVersion: BigInt(state.configurationVersion),
    operatorOffset: BigInt(state.operatorPosition.offset),
    operatorEra: state.operatorPosition.era,
    operatorAgeMs: toAge(state.operatorRead.ageMs),
    operatorReaderKey: state.operatorRead.readerKey,
    operatorReadNumber: state.operatorRead.readNumber,
    operatorProofAgeMs: toAge(state.operatorProofAgeMs),
    stampMs: toStamp(state.stampMs),
    returnedStampKeys: [...state.returnedStamps.keys()],
    returnedStampsMs: [...state.returnedStamps.values()].map(toStamp),
    registrationsOffset: BigInt(state.registrations.position.offset),
    registrationsEra: state.registrations.position.era,
    registrationsAgeMs: toAge(state.registrations.ageMs),
    registrationsDigest: state.registrations.digest,
    registrations: state.registrations.changed.map(toRegistration),
    drainingServers: state.registrations.draining.map(toServerStart),
    removedServers: state.registrations.removed.map(toServerStart),
    crashes: state.findings.crashes.map(toCrash),
    survivals: state.findings.survivals.map(toSurvival),
    serverLimits: state.serverLimits.map(toServerLimit),
    rolloutSteps: state.rolloutSteps.map(toRolloutStep),
    rolloutResults: state.rolloutResults.map(toRolloutResults),
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
    serverLoads: message.loads
      ? fromLoads(message.loads)
      : new Map(message.serverLoads.map(({serverId, ...load}) => [getTextKey(serverId), load])),
    promptRates: fromPromptRates(message.promptRates),
    usage: message.usageWindows.map(fromUsageWindow),
    level: message.groupLevel,
    isAnnouncement: message.isAnnouncement,
    requestsMembers: message.requestsMembers,
    hasAllWorkspaces: message.hasAllWorkspaces,
    summary: message.summary && fromSummary(message.summary),
    rest: message.rest && fromSummary(message.rest),
    dutyClaim: {token: Number(message.dutyToken), holderId: message.dutyHolderId},
    reportedUsageWindow: Number(message.reportedUsageWindow),
    configurationVersion: Number(message.configurationVersion),
    operatorPosition: {era: message.operatorEra, offset: Number(message.operatorOffset)},
    operatorRead: {
      readerKey: message.operatorReaderKey,
      readNumber: message.operatorReadNumber,
      ageMs: message.operatorAgeMs,
    },
    // A sender of an older version has no proof to tell.
    operatorProofAgeMs: message.stampMs === 0n ? Infinity : message.operatorProofAgeMs,
    stampMs: Number(message.stampMs),
    returnedStamps: new Map(
      message.returnedStampKeys.map((key, index) => [
        key,
        Number(message.returnedStampsMs[index] ?? 0n),
      ]),
    ),
    registrations: {
      position: {
        era: message.registrationsEra,
        offset: Number(message.registrationsOffset),
      },
      ageMs: message.registrationsAgeMs,
      digest: message.registrationsDigest,
      changed: message.registrations.map(fromRegistration),
      draining: message.drainingServers.map(fromServerStart),
      removed: message.removedServers.map(fromServerStart),
    },
    findings: {
      crashes: message.crashes.map(fromCrash),
      survivals: message.survivals.map(fromSurvival),
    },
    serverLimits: message.serverLimits.map(fromServerLimit),
    rolloutSteps: message.rolloutSteps.flatMap(step => fromRolloutStep(step) ?? []),
    rolloutResults: message.rolloutResults.map(fromRolloutResults),
    wallMs: Number(message.wallMs),
  };
}

function toSummary(summary: StateSummary): MessageInitShape<typeof SummarySchema> {
  return {
    gateways: summary.gateways,
    composition: summary.composition,
    ageMs: toAge(summary.ageMs),
    workspaceKeys: [...summary.admitted.keys()],
    admitted: [...summary.admitted.values()].map(amount => BigInt(Math.max(0, Math.round(amount)))),
    loads: toLoads(summary.serverLoads),
    promptRates: toPromptRates(summary.promptRates),
    usageWindows: summary.usage.map(toUsageWindow),
    rolloutResults: summary.rolloutResults.map(toRolloutResults),
    memberKeys: summary.members.map(({key}) => key),
    memberStatuses: summary.members.map(({status}) => STATUS_MESSAGES[status]),
  };
}

function fromSummary(message: Summary): StateSummary {
  const {memberKeys, memberStatuses} = message;
  return {
    gateways: message.gateways,
    composition: message.composition,
    ageMs: message.ageMs,
    admitted: new Map(
      message.workspaceKeys.map((key, index) => [key, Number(message.admitted[index] ?? 0n)]),
    ),
    serverLoads: message.loads ? fromLoads(message.loads) : new Map(),
    promptRates: fromPromptRates(message.promptRates),
    usage: message.usageWindows.map(fromUsageWindow),
    rolloutResults: message.rolloutResults.map(fromRolloutResults),
    members: memberKeys.map((key, index) => ({key, status: fromStatus(memberStatuses[index])})),
  };
}

function toLoads(
  loads: ReadonlyMap<number, ServerLoad>,
): MessageInitShape<typeof ServerLoadsSchema> {
  const values = [...loads.values()];
  return {
    serverKeys: [...loads.keys()],
    openRequests: values.map(({openRequests}) => openRequests),
    pendingPromptTokens: values.map(({pendingPromptTokens}) => Math.round(pendingPromptTokens)),
  };
}

function fromLoads(message: ServerLoadsMessage): ReadonlyMap<number, ServerLoad> {
  const {serverKeys, openRequests, pendingPromptTokens} = message;
  return new Map(
    serverKeys.map((key, index) => {
      const load = {
        openRequests: openRequests[index] ?? 0,
        pendingPromptTokens: pendingPromptTokens[index] ?? 0,
      };
      return [key, load];
    }),
  );
}

function toPromptRates(
  rates: ReadonlyMap<string, number>,
): MessageInitShape<typeof PromptRateSchema>[] {
  return [...rates].map(([service, rate]) => ({service, tokensPerSecond: Math.round(rate)}));
}

function fromPromptRates(rates: readonly PromptRate[]): ReadonlyMap<string, number> {
  return new Map(rates.map(({service, tokensPerSecond}) => [service, tokensPerSecond]));
}

function fromStatus(status: MemberStatusMessage | undefined): MemberStatus['status'] {
  if (status === MemberStatusMessage.LEAVING) return 'leaving';
  if (status === MemberStatusMessage.CUT_OFF) return 'cut-off';
  return status === MemberStatusMessage.READY ? 'ready' : 'not-ready';
}

function toUsageWindow(count: UsageCount): MessageInitShape<typeof UsageWindowSchema> {
  return {...count, number: BigInt(count.window)};
}

function fromUsageWindow({number, workspace, requests}: UsageWindow): UsageCount {
  return {window: Number(number), workspace, requests};
}

function toAge(ageMs: number): number {
  return Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs)));
}

/** Rounds down, so that a returned stamp is never later than its sending. */
function toStamp(stampMs: number): bigint {
  return BigInt(Math.max(0, Math.floor(stampMs)));
}

function toServerStart({
  id,
  startedAtMs,
  recordPosition,
}: RecordedDeparture): MessageInitShape<typeof ServerStartSchema> {
  return {
    id,
    startedAtMs: BigInt(startedAtMs ?? 0),
    recordEra: recordPosition?.era ?? 0,
    recordOffset: BigInt(recordPosition?.offset ?? 0),
  };
}

function fromServerStart(message: ServerStartMessage): RecordedDeparture {
  const {id, startedAtMs, recordEra: era, recordOffset} = message;
  return {
    id,
    startedAtMs: startedAtMs === 0n ? undefined : Number(startedAtMs),
    // A sender of an older version tells no position.
    recordPosition: recordOffset === 0n ? undefined : {era, offset: Number(recordOffset)},
  };
}

function toRegistration(entry: RecordedEntry): MessageInitShape<typeof RegistrationSchema> {
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

function fromRegistration({server, ...registration}: Registration): RecordedEntry {
  const {service, address, failureDomain, softwareVersion, slots} = registration;
  return {
    ...(server
      ? fromServerStart(server)
      : {id: '', startedAtMs: undefined, recordPosition: undefined}),
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
    isCutOff: member.isCutOff,
  };
}
