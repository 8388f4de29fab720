/** Simulations of several gateways that share the quota of a workspace, in virtual time. */
import t from 'tap';
import type {WorkspaceQuota} from '../../../src/catalog/index.js';
import {
  QuotaLedger,
  type AdmissionReport,
  type PeerReachability,
} from '../../../src/controllers/quotas/index.js';
import {createSeededRandom, getTextKey} from '../../../src/utils/index.js';

const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  ratePerSecond: 150_000,
  burst: 150_000,
  defaultTokens: 200,
};
const TOLERANCE = {share: 0.1, slack: 140_000};
const WINDOW_MS = 8_000;
const REPORT_INTERVAL_MS = 250;
const STEP_MS = 10;
const MEAN_COST = 6_000;

/** Parameters of a simulation. */
interface Scenario {
  readonly gateways: number;
  /** Requested amount as a multiple of the quota's rate. */
  readonly demand: number;
  readonly durationMs: number;
  readonly startsFull: boolean;
  /** Gateways that are partitioned from all others. */
  readonly partitioned: number;
}

interface SimulationResult {
  readonly admissions: readonly {readonly atMs: number; readonly cost: number}[];
  readonly admittedShare: number;
}

function simulate(scenario: Scenario, seed: number): SimulationResult {
  const random = createSeededRandom(seed);
  const {gateways, partitioned} = scenario;
  const ledgers = Array.from(
    {length: gateways},
    () => new QuotaLedger({startsFull: scenario.startsFull, toleratedShare: TOLERANCE.share}),
  );
  const admissions: {atMs: number; cost: number}[] = [];
  let requestedCost = 0;
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    ledgers.forEach((ledger, index) => {
      const isPartitioned = index < partitioned;
      if ((nowMs + index * 30) % REPORT_INTERVAL_MS === 0 && !isPartitioned)
        reportToPeers(ledgers, index, partitioned, nowMs);
      const perStep = (scenario.demand * QUOTA.ratePerSecond * STEP_MS) / 1_000 / gateways;
      if (random() >= perStep / MEAN_COST) return;
      const cost = Math.round(MEAN_COST * 2 * random());
      const reach: PeerReachability = {
        reportingGateways: isPartitioned ? 1 : gateways - partitioned,
        knownGateways: gateways,
      };
      requestedCost += cost;
      const decision = ledger.admit('w', QUOTA, cost, reach, nowMs);
      if (decision.kind === 'admitted') admissions.push({atMs: nowMs, cost});
    });
  }
  const admitted = admissions.reduce((sum, {cost}) => sum + cost, 0);
  return {admissions, admittedShare: admitted / requestedCost};
}

function createReport(admitted: number, baseline?: number): AdmissionReport {
  const workspaceKey = getTextKey('w');
  return {workspaceKey, admitted, baseline, composition: 1n, gateways: 1, ageMs: 0};
}

function reportToPeers(
  ledgers: readonly QuotaLedger[],
  from: number,
  partitioned: number,
  nowMs: number,
): void {
  const admitted = ledgers[from].getAdmittedTotals().get('w');
  if (admitted === undefined) return;
  ledgers.forEach((ledger, index) => {
    if (index !== from && index >= partitioned)
      ledger.applyPeerReport(`g${from}`, createReport(admitted, 0), nowMs);
  });
}

function getMaxAdmittedInWindow({admissions}: SimulationResult): number {
  let start = 0;
  let sum = 0;
  let maxAdmitted = 0;
  for (const {atMs, cost} of admissions) {
    sum += cost;
    while (admissions[start].atMs <= atMs - WINDOW_MS) {
      sum -= admissions[start].cost;
      start += 1;
    }
    maxAdmitted = Math.max(maxAdmitted, sum);
  }
  return maxAdmitted;
}

const MAX_ADMITTED_IN_WINDOW =
  (QUOTA.ratePerSecond * (WINDOW_MS / 1_000) + QUOTA.burst) * (1 + TOLERANCE.share) +
  TOLERANCE.slack;

t.test('QuotaLedger', t => {
  const doTest = (name: string, scenario: Partial<Scenario>) => {
    t.test(`keeps all gateways together within the quota: ${name}`, t => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const defaults = {
          gateways: 9,
          demand: 4,
          durationMs: 30_000,
          startsFull: true,
          partitioned: 0,
        };
        const admitted = getMaxAdmittedInWindow(simulate({...defaults, ...scenario}, seed));
        t.ok(
          admitted <= MAX_ADMITTED_IN_WINDOW,
          `seed ${seed}: ${admitted} of ${MAX_ADMITTED_IN_WINDOW}`,
        );
      }
      t.end();
    });
  };
  doTest('nine gateways', {});
  doTest('thirty gateways', {gateways: 30});
  doTest('a demand of seven times the rate', {demand: 7});
  doTest('three of nine gateways partitioned', {partitioned: 3});
  doTest('after a restart', {startsFull: false});

  t.test('admits at least 99.5 % of the demand of a workspace well below its quota', t => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const scenario = {
        gateways: 9,
        demand: 0.55,
        durationMs: 30_000,
        startsFull: true,
        partitioned: 0,
      };
      const {admittedShare} = simulate(scenario, seed);
      t.ok(admittedShare >= 0.995, `seed ${seed}: ${admittedShare}`);
    }
    t.end();
  });

  // The total in a peer's first report was admitted before this gateway started; deducting it would refuse requests
  // that are within the quota.
  t.test('does not deduct the first report of a peer', t => {
    const ledger = new QuotaLedger({startsFull: true, toleratedShare: TOLERANCE.share});
    ledger.applyPeerReport('g1', createReport(5_000), 0);
    const decision = ledger.admit('w', QUOTA, 100_000, {reportingGateways: 2, knownGateways: 2}, 1);
    t.equal(decision.kind, 'admitted');
    t.end();
  });

  t.test('refunds a request that no backend server ran', t => {
    const ledger = new QuotaLedger({startsFull: true, toleratedShare: TOLERANCE.share});
    const reach = {reportingGateways: 1, knownGateways: 1};
    ledger.admit('w', QUOTA, 150_000, reach, 0);
    t.equal(ledger.admit('w', QUOTA, 150_000, reach, 0).kind, 'over');
    ledger.refund('w', 150_000);
    t.equal(ledger.admit('w', QUOTA, 150_000, reach, 0).kind, 'admitted');
    t.end();
  });
  t.end();
});
