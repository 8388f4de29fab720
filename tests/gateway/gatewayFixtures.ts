/** Settings of a gateway for tests. */
import type {GatewaySettings} from '../../src/gateway/index.js';

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
