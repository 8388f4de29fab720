/** Builders of settings, members and gossip states for gateway tests. */
import {NO_FINDINGS} from '../../src/controllers/quarantine/index.js';
import {Catalog} from '../../src/catalog/index.js';
import {RequestForwarder} from '../../src/gateway/RequestForwarder.js';
import {ServerReachability} from '../../src/gateway/ServerReachability.js';
import {ServerLimits} from '../../src/gateway/ServerLimits.js';
import {RequestQuarantine} from '../../src/gateway/RequestQuarantine.js';
import {silentEvents} from '../../src/logging/index.js';
import type {GatewaySettings} from '../../src/gateway/index.js';
import type {LogPosition, RelayedRead} from '../../src/controllers/reading/index.js';
import {
  MemberTable,
  type GatewayMember,
  type GossipState,
  type RegistrationsUpdate,
} from '../../src/gossip/index.js';

/**
 * Returns settings of a gateway.
 * @param fields - Overrides of the defaults.
 */
export function createSettings(fields: Partial<GatewaySettings> = {}): GatewaySettings {
  return {
    id: 'g1',
    incarnation: 1,
    ip: '127.0.0.1',
    failureDomain: 'a',
    trafficAddress: '127.0.0.1:1',
    gossipPort: 2,
    gossipSeeds: [],
    isFirstStart: false,
    regionByDomain: new Map([['a', 'north']]),
    revocationMs: 5_000,
    leaseMs: 3_000,
    retryWindowMs: 10_000,
    retryShare: 0.2,
    retrySlack: 50,
    rolloutExposure: {share: 0.1, slack: 50},
    quotaToleratedShare: 0.1,
    usageWindowSeconds: 5,
    usageDueMs: 10_000,
    stopGraceMs: 8_000,
    directoryTtlMs: 5_000,
    maxBufferedBytes: 1_000_000,
    duties: {reportsUsage: true, ordersServers: true},
    ...fields,
  };
}

/**
 * Returns a ready gateway in a failure domain of its own.
 * @param id - Used as id, failure domain and traffic address.
 * @param fields - Overrides of the defaults.
 */
export function createMember(id: string, fields: Partial<GatewayMember> = {}): GatewayMember {
  return {
    id,
    incarnation: 1,
    gossipAddress: '',
    trafficAddress: id,
    failureDomain: id,
    isReady: true,
    isLeaving: false,
    isCutOff: false,
    ...fields,
  };
}

/**
 * Returns the gossip state of a gateway without requests.
 * @param sender - Member record of the gateway.
 * @param registrations - Its update on the registrations.
 * @param operator - Its position in the operators' records, and the newest read of them.
 */
export function createGossipState(
  sender: GatewayMember,
  registrations: RegistrationsUpdate,
  operator: {readonly position: LogPosition; readonly read: RelayedRead},
): GossipState {
  return {
    sender,
    members: [],
    level: 0,
    isAnnouncement: false,
    requestsMembers: false,
    hasAllWorkspaces: true,
    summary: undefined,
    rest: undefined,
    admitted: new Map(),
    serverLoads: new Map(),
    promptRates: new Map(),
    usage: [],
    dutyClaim: {token: 0, holderId: ''},
    reportedUsageWindow: 0,
    configurationVersion: 0,
    operatorPosition: operator.position,
    operatorRead: operator.read,
    registrations,
    findings: NO_FINDINGS,
    serverLimits: [],
    operatorProofAgeMs: Infinity,
    stampMs: 0,
    returnedStamps: new Map(),
    rolloutSteps: [],
    rolloutResults: [],
    wallMs: 0,
  };
}

/**
 * Returns the quarantine of a gateway that is alone.
 * @param ownId - Id of the gateway.
 */
export function createQuarantine(ownId: string): RequestQuarantine {
  return new RequestQuarantine({
    ownId,
    events: silentEvents,
    hasStopped: async () => true,
    isExpectedToServe: () => true,
    getGatewayIds: () => [ownId],
    isFleetKnown: () => true,
    getNowMs: () => 0,
    getWallMs: () => 0,
  });
}

/** Returns what passes requests on, of a gateway that is alone. */
export function createForwarder(): RequestForwarder {
  return new RequestForwarder({
    settings: createSettings(),
    transport: {
      send: () => {
        throw new Error('there is no other gateway');
      },
    },
    members: new MemberTable('g1', {unresponsiveAfterMs: 900, removedAfterMs: 8_000}),
    metrics: {addForwarded: () => undefined},
    events: silentEvents,
    getNowMs: () => 0,
    random: () => 0,
  });
}

/** Returns what watches the links of a gateway that has no servers. */
export function createReachability(): ServerReachability {
  return new ServerReachability({
    catalog: new Catalog(),
    transport: {canConnect: async () => true, closeIdleConnections: () => undefined},
    events: silentEvents,
    getCutOffPeerCount: () => 0,
    onChange: () => undefined,
    getNowMs: () => 0,
    random: () => 0,
  });
}

/**
 * Returns the servers' limits of a gateway that is alone.
 * @param ownId - Id of the gateway.
 */
export function createServerLimits(ownId: string): ServerLimits {
  return new ServerLimits({
    ownId,
    events: silentEvents,
    getGatewayIds: () => [ownId],
    isFleetKnown: () => true,
    getWallMs: () => 0,
  });
}
