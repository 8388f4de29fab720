/** Quotas of workspaces over a whole fleet of gateways that exchange their admissions by gossip. */
import t from 'tap';
import type {WorkspaceQuota} from '../../src/catalog/index.js';
import {GossipFleet} from '../support/GossipFleet.js';
import {
  getAdmitted,
  getMostInWindow,
  playQuotaLoad,
  sumCosts,
  type WorkspaceLoad,
} from '../support/QuotaLoad.js';

const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  ratePerSecond: 150_000,
  burst: 150_000,
  defaultTokens: 200,
};
const WINDOW_MS = 8_000;
const MS_PER_SECOND = 1_000;
const OVERAGE = 0.1;
const SLACK = 140_000;
const SETTLING_MS = 8_000;
const PLAY_MS = 24_000;
/** The initial fill of the bucket is spent by then. */
const WARM_UP_MS = 4_000;
const MIN_ADMITTED_SHARE = 0.95;
const OTHERS = ['other1', 'other2', 'other3'];

function createFleet(gatewayCount: number, seed: number): GossipFleet {
  const options = {gatewayCount, failureDomains: 4, serverCount: 10, seed, lossShare: 0.01};
  const fleet = new GossipFleet({...options, maxTransitMs: 30});
  fleet.run(SETTLING_MS);
  return fleet;
}

/** The platform's limit in any window: a tenth above the quota, and a fixed slack. */
function getMostAllowed({ratePerSecond, burst}: WorkspaceQuota): number {
  return ((ratePerSecond * WINDOW_MS) / MS_PER_SECOND + burst) * (1 + OVERAGE) + SLACK;
}

function createLoads(getDemand: (sinceStartMs: number) => number): readonly WorkspaceLoad[] {
  return [
    {name: 'busy', quota: QUOTA, getDemand},
    ...OTHERS.map(name => ({name, quota: QUOTA, getDemand: () => 0.5})),
  ];
}

t.test('quotas of a fleet', t => {
  const doTest = (gatewayCount: number, demand: number) => {
    t.test(`${gatewayCount} gateways, ${demand} times the quota`, t => {
      const fleet = createFleet(gatewayCount, gatewayCount);
      const results = playQuotaLoad(
        fleet,
        createLoads(() => demand),
        PLAY_MS,
        5,
      );
      const admitted = getAdmitted(results, 'busy');
      const settled = admitted.filter(({atMs}) => atMs > WARM_UP_MS);
      const requested = results.filter(
        ({workspace, atMs, isRetry}) => workspace === 'busy' && atMs > WARM_UP_MS && !isRetry,
      );
      const quotaTokens = (QUOTA.ratePerSecond * (PLAY_MS - WARM_UP_MS)) / MS_PER_SECOND;
      const share = sumCosts(settled) / Math.min(quotaTokens, sumCosts(requested));
      t.ok(share >= MIN_ADMITTED_SHARE, `admits ${share} of the quota`);
      const most = getMostInWindow(admitted, WINDOW_MS);
      const allowed = getMostAllowed(QUOTA);
      t.ok(most <= allowed, `${most} of ${allowed} tokens in a window`);
      const refused = results.filter(
        ({workspace, isAdmitted}) => workspace !== 'busy' && !isAdmitted,
      );
      t.equal(refused.length, 0, 'refuses no request of the other workspaces');
      t.end();
    });
  };
  for (const gatewayCount of [7, 18, 70]) {
    for (const demand of [1, 1.5, 3, 5]) doTest(gatewayCount, demand);
  }
  t.end();
});
