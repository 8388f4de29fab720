/** Gateways that share an allotment, in virtual time. */
import t from 'tap';
import type {WorkspaceAllotment} from '../../../src/catalog/index.js';
import {AllotmentLedger, type PeerReach} from '../../../src/controllers/allotments/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';

const ALLOTMENT: WorkspaceAllotment = {
  unit: 'tokens',
  ratePerSecond: 150_000,
  burst: 150_000,
  plainTokens: 200,
};
const TOLERANCE = {share: 0.1, slack: 140_000};
const WINDOW_MS = 8_000;
const TELL_INTERVAL_MS = 250;
const STEP_MS = 10;
const MEAN_COST = 6_000;

interface World {
  readonly gateways: number;
  /** Demand as a multiple of the rate. */
  readonly demand: number;
  readonly lengthMs: number;
  readonly beginsFull: boolean;
  /** Gateways that don't hear the others. */
  readonly cutOff: number;
}

interface Played {
  readonly admissions: readonly {readonly atMs: number; readonly cost: number}[];
  readonly admittedShare: number;
}

function play(world: World, seed: number): Played {
  const random = createSeededRandom(seed);
  const {gateways, cutOff} = world;
  const ledgers = Array.from(
    {length: gateways},
    () => new AllotmentLedger({beginsFull: world.beginsFull, toleratedShare: TOLERANCE.share}),
  );
  const admissions: {atMs: number; cost: number}[] = [];
  let asked = 0;
  for (let nowMs = 0; nowMs < world.lengthMs; nowMs += STEP_MS) {
    ledgers.forEach((ledger, index) => {
      const isCut = index < cutOff;
      if ((nowMs + index * 30) % TELL_INTERVAL_MS === 0 && !isCut)
        tell(ledgers, index, cutOff, nowMs);
      const perStep = (world.demand * ALLOTMENT.ratePerSecond * STEP_MS) / 1_000 / gateways;
      if (random() >= perStep / MEAN_COST) return;
      const cost = Math.round(MEAN_COST * 2 * random());
      const reach: PeerReach = {heard: isCut ? 1 : gateways - cutOff, known: gateways};
      asked += cost;
      const decision = ledger.admit('w', ALLOTMENT, cost, reach, nowMs);
      if (decision.kind === 'admitted') admissions.push({atMs: nowMs, cost});
    });
  }
  const admitted = admissions.reduce((sum, {cost}) => sum + cost, 0);
  return {admissions, admittedShare: admitted / asked};
}

function tell(
  ledgers: readonly AllotmentLedger[],
  from: number,
  cutOff: number,
  nowMs: number,
): void {
  const admitted = ledgers[from].getAdmitted().get('w');
  if (admitted === undefined) return;
  ledgers.forEach((ledger, index) => {
    if (index !== from && index >= cutOff) ledger.applyPeer(`g${from}`, 1, 'w', admitted, nowMs);
  });
}

function getMostInWindow({admissions}: Played): number {
  let start = 0;
  let sum = 0;
  let most = 0;
  for (const {atMs, cost} of admissions) {
    sum += cost;
    while (admissions[start].atMs <= atMs - WINDOW_MS) {
      sum -= admissions[start].cost;
      start += 1;
    }
    most = Math.max(most, sum);
  }
  return most;
}

const ALLOWED_IN_WINDOW =
  (ALLOTMENT.ratePerSecond * (WINDOW_MS / 1_000) + ALLOTMENT.burst) * (1 + TOLERANCE.share) +
  TOLERANCE.slack;

t.test('AllotmentLedger', t => {
  const doTest = (name: string, world: Partial<World>) => {
    t.test(`admits no more than all gateways together may: ${name}`, t => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const whole = {gateways: 9, demand: 4, lengthMs: 30_000, beginsFull: true, cutOff: 0};
        const most = getMostInWindow(play({...whole, ...world}, seed));
        t.ok(most <= ALLOWED_IN_WINDOW, `seed ${seed}: ${most} of ${ALLOWED_IN_WINDOW}`);
      }
      t.end();
    });
  };
  doTest('nine gateways', {});
  doTest('thirty gateways', {gateways: 30});
  doTest('seven times the rate is asked', {demand: 7});
  doTest('three of nine are cut off', {cutOff: 3});
  doTest('after a restart', {beginsFull: false});

  t.test('refuses next to nothing of a workspace that stays well below its rate', t => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const world = {gateways: 9, demand: 0.55, lengthMs: 30_000, beginsFull: true, cutOff: 0};
      const {admittedShare} = play(world, seed);
      t.ok(admittedShare >= 0.995, `seed ${seed}: ${admittedShare}`);
    }
    t.end();
  });

  t.test('a peer that reports before the first own request does not empty the bucket', t => {
    const ledger = new AllotmentLedger({beginsFull: true, toleratedShare: TOLERANCE.share});
    ledger.applyPeer('g1', 1, 'w', 5_000, 0);
    const decision = ledger.admit('w', ALLOTMENT, 100_000, {heard: 2, known: 2}, 1);
    t.equal(decision.kind, 'admitted');
    t.end();
  });

  t.test('gives back what no backend server ran', t => {
    const ledger = new AllotmentLedger({beginsFull: true, toleratedShare: TOLERANCE.share});
    const reach = {heard: 1, known: 1};
    ledger.admit('w', ALLOTMENT, 150_000, reach, 0);
    t.equal(ledger.admit('w', ALLOTMENT, 150_000, reach, 0).kind, 'over');
    ledger.giveBack('w', 150_000);
    t.equal(ledger.admit('w', ALLOTMENT, 150_000, reach, 0).kind, 'admitted');
    t.end();
  });
  t.end();
});
