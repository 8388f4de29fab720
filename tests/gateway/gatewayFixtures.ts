/** Settings and members for tests of gateways. */
import type {GatewaySettings} from '../../src/gateway/index.js';
import type {GatewayMember, GossipState, RegistrationsReading} from '../../src/gossip/index.js';

/**
 * Returns settings of a gateway.
 * @param fields - What differs from the defaults.
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
    allotmentToleratedShare: 0.1,
    usageWindowSeconds: 5,
    usageDueMs: 10_000,
    stopGraceMs: 8_000,
    directoryTtlMs: 5_000,
    duties: {reportsUsage: true, ordersServers: true},
    ...fields,
  };
}

/**
 * Returns a ready gateway in a failure domain of its own.
 * @param id - Its id, which stands for its failure domain and its traffic address too.
 * @param fields - What differs from that.
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
    ...fields,
  };
}

/**
 * Returns the state that a gateway without requests tells.
 * @param sender - The gateway.
 * @param registrations - What it has read of the registrations.
 * @param operator - Next offset and age of the operators' records.
 */
export function createGossipState(
  sender: GatewayMember,
  registrations: RegistrationsReading,
  operator: {readonly offset: number; readonly ageMs: number},
): GossipState {
  return {
    sender,
    members: [],
    admitted: new Map(),
    serverLoads: new Map(),
    usage: [],
    dutyClaim: {token: 0, holderId: ''},
    operatorOffset: operator.offset,
    operatorAgeMs: operator.ageMs,
    registrations,
    wallMs: 0,
  };
}
