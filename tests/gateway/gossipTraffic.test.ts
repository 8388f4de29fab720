/** Bytes that gateways send to each other, by the size of the fleet. */
import t from 'tap';
import type {WorkspaceQuota} from '../../src/catalog/index.js';
import {createSeededRandom} from '../../src/utils/index.js';
import {GossipFleet, type GossipGateway} from '../support/GossipFleet.js';

/** Target of the deployment: what a daemon may send for control, on average over the fleet. */
const TARGET_BYTES_PER_SECOND = 21_000;
/** A tenth of the slowest link, 7 Mbit/s, which the callers' bytes share. */
const MOST_BYTES_PER_SECOND = 87_500;
const SETTLING_MS = 6_000;
const MEASURED_MS = 10_000;

const SERVERS = 68;
const WORKSPACES = 16;
/** Requests that arrive at each gateway, and how long they stay open. */
const REQUESTS_PER_SECOND = 9;
const OPEN_MS = 1_500;
const STEPS_PER_SECOND = 100;
const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  ratePerSecond: 1e9,
  burst: 1e9,
  defaultTokens: 200,
};

/** Lets requests arrive at each gateway of a fleet and end after their time. */
class Workload {
  private readonly fleet: GossipFleet;
  private readonly random = createSeededRandom(2);
  private open: {readonly gateway: GossipGateway; serverId: string; endAtMs: number}[] = [];

  constructor(fleet: GossipFleet) {
    this.fleet = fleet;
  }

  step(): void {
    const {gateways, nowMs} = this.fleet;
    for (const gateway of gateways) {
      if (this.random() < REQUESTS_PER_SECOND / STEPS_PER_SECOND) this.addRequest(gateway, nowMs);
    }
    const ended = this.open.filter(({endAtMs}) => endAtMs <= nowMs);
    this.open = this.open.filter(({endAtMs}) => endAtMs > nowMs);
    for (const {gateway, serverId} of ended) gateway.loads.removeRequest(serverId);
  }

  private addRequest(gateway: GossipGateway, nowMs: number): void {
    const workspace = `workspace-${Math.floor(this.random() ** 2 * WORKSPACES)}`;
    const serverId = `i-server${Math.floor(this.random() * SERVERS)}`;
    const reach = {reportingGateways: 1, knownGateways: 1};
    gateway.loads.addRequest(serverId, 6_000);
    gateway.promptRates.addPrompt('model-service', 6_000, nowMs);
    gateway.quotaLedger.admit(workspace, QUOTA, 6_000, reach, nowMs);
    gateway.usageLedger.addRequest(workspace, nowMs);
    this.open.push({gateway, serverId, endAtMs: nowMs + OPEN_MS});
  }
}

/** Returns the mean and the highest rate of bytes that a gateway of a busy fleet sends. */
function measure(gatewayCount: number): {readonly mean: number; readonly most: number} {
  const options = {gatewayCount, failureDomains: 5, serverCount: SERVERS, seed: 1, lossShare: 0};
  const fleet = new GossipFleet(options);
  const workload = new Workload(fleet);
  fleet.run(SETTLING_MS, () => workload.step());
  fleet.resetTraffic();
  fleet.run(MEASURED_MS, () => workload.step());
  const rates = fleet.gateways.map(({sentBytes}) => (sentBytes * 1_000) / MEASURED_MS);
  return {
    mean: rates.reduce((sum, rate) => sum + rate, 0) / gatewayCount,
    most: Math.max(...rates),
  };
}

t.test('the traffic of a gateway does not grow with the fleet', t => {
  const doTest = (gatewayCount: number) => {
    t.test(`${gatewayCount} gateways`, t => {
      const {mean, most} = measure(gatewayCount);
      t.ok(mean <= TARGET_BYTES_PER_SECOND, `mean ${Math.round(mean)}`);
      t.ok(most <= MOST_BYTES_PER_SECOND, `most ${Math.round(most)}`);
      t.end();
    });
  };
  for (const gatewayCount of [9, 45, 91]) doTest(gatewayCount);
  t.end();
});
