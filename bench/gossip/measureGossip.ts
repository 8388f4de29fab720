/** Measures in virtual time what gossip costs a gateway, by the size of the fleet. */
import {GossipFleet, type GossipGateway} from '../../tests/support/GossipFleet.js';

/** Cost of gossip in a fleet of one size. */
export interface GossipMeasurement {
  readonly gateways: number;
  /** Datagrams and bytes that the median gateway sends in a second. */
  readonly datagramsPerSecond: number;
  readonly bytesPerSecond: number;
  /** The same of the gateway that sends most: the head of several groups. */
  readonly maxDatagramsPerSecond: number;
  readonly maxBytesPerSecond: number;
  /** Processor time of a gateway for all that it sends and receives in a second, mean of all; after compilation. */
  readonly processorMsPerSecond: number;
}

const FAILURE_DOMAINS = 6;
const SERVERS = 75;
const LOSS_SHARE = 0.01;
/** Time until all gateways know each other. */
const SETTLING_MS = 6_000;
const MEASURED_SECONDS = 4;
const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;

/**
 * Plays a fleet in virtual time.
 * @param gateways - Number of gateways.
 */
export function measureGossip(gateways: number): GossipMeasurement {
  const fleet = new GossipFleet({
    gatewayCount: gateways,
    failureDomains: FAILURE_DOMAINS,
    serverCount: SERVERS,
    seed: 1,
    lossShare: LOSS_SHARE,
  });
  fleet.run(SETTLING_MS);
  fleet.resetTraffic();
  const before = process.cpuUsage();
  fleet.run(MEASURED_SECONDS * MS_PER_SECOND);
  const {user, system} = process.cpuUsage(before);
  const datagrams = getRates(fleet, ({sentDatagrams}) => sentDatagrams);
  const bytes = getRates(fleet, ({sentBytes}) => sentBytes);
  return {
    gateways,
    datagramsPerSecond: getMedian(datagrams),
    bytesPerSecond: getMedian(bytes),
    maxDatagramsPerSecond: datagrams[datagrams.length - 1],
    maxBytesPerSecond: bytes[bytes.length - 1],
    processorMsPerSecond: (user + system) / MICROS_PER_MS / gateways / MEASURED_SECONDS,
  };
}

/** Returns a quantity of all gateways per second, in ascending order. */
function getRates(
  {gateways}: GossipFleet,
  getCount: (gateway: GossipGateway) => number,
): readonly number[] {
  return gateways.map(gateway => getCount(gateway) / MEASURED_SECONDS).sort((a, b) => a - b);
}

function getMedian(values: readonly number[]): number {
  return values[Math.floor(values.length / 2)];
}
