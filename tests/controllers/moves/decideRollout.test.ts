/** Steps and verdicts of short roll-outs, by results that the test makes up. */
import t from 'tap';
import {
  decideRollout,
  type EvidenceRow,
  type RolloutStep,
  type RolloutView,
} from '../../../src/controllers/moves/index.js';

const START_MS = 1_780_000_000_000;
const DURATION_MS = 18_000;
const NO_DURATIONS = {count: 0, sumLogMs: 0, sumSquaredLogMs: 0};
const STEP: RolloutStep = {
  service: 'app',
  targetVersion: 'v2',
  phase: 'running',
  sharePercent: 4,
  startedAtMs: START_MS,
  changedAtMs: START_MS,
  token: 1,
  number: 1,
};

/** Returns a row of results in a window, given in seconds since the start. */
function row(second: number, isTarget: boolean, fields: Partial<EvidenceRow>): EvidenceRow {
  return {
    window: START_MS / 1_000 + second,
    rolloutKey: 1,
    isTarget,
    routeKey: 2,
    loadBand: 'low',
    prefillBand: 'tiny',
    lostServerKey: 0,
    requests: 1,
    errors: 0,
    firstEvent: NO_DURATIONS,
    interEvent: NO_DURATIONS,
    ...fields,
  };
}

/** Returns the sums of durations that vary a little around a mean. */
function durations(count: number, meanMs: number) {
  const logs = Array.from({length: count}, (_, index) => Math.log(meanMs) + (index % 3) * 0.1);
  return {
    count,
    sumLogMs: logs.reduce((sum, log) => sum + log, 0),
    sumSquaredLogMs: logs.reduce((sum, log) => sum + log * log, 0),
  };
}

function decide(fields: Partial<RolloutView>, sinceStartMs: number) {
  const view: RolloutView = {
    step: STEP,
    deadlineAtMs: START_MS + DURATION_MS,
    evidence: [],
    limits: {share: 0.1, slack: 50},
    targetServers: 4,
    otherServers: 4,
    otherOpenRequests: 0,
    isStreamed: false,
    ...fields,
  };
  return decideRollout(view, START_MS + sinceStartMs);
}

/** Returns results of some seconds with the requests and errors of each version per second. */
function seconds(count: number, others: Partial<EvidenceRow>, target: Partial<EvidenceRow>) {
  return Array.from({length: count}, (_, second) => [
    row(second, false, others),
    row(second, true, target),
  ]).flat();
}

t.test('too few results of the target version are not taken for good ones', t => {
  const evidence = [row(1, false, {requests: 300}), row(1, true, {requests: 5})];
  t.equal(decide({evidence}, 14_000).phase, 'running');
  const atDeadline = decide({evidence}, DURATION_MS - 900);
  t.match(atDeadline, {phase: 'rolled-back', reason: 'not shown good by the deadline'});
  t.end();
});

t.test('the connections that one crash breaks count as one failure', t => {
  const lost = row(3, true, {requests: 6, errors: 6, lostServerKey: 77});
  const evidence = [...seconds(5, {requests: 36}, {requests: 3}), lost];
  t.equal(decide({evidence}, 5_000).phase, 'running');
  const others = [78, 79, 80, 81].map(lostServerKey => ({...lost, lostServerKey}));
  t.equal(decide({evidence: [...evidence, ...others]}, 5_000).phase, 'rolled-back');
  t.end();
});

t.test('errors that both versions have do not roll back', t => {
  const evidence = seconds(8, {requests: 36, errors: 9}, {requests: 4, errors: 1});
  t.equal(decide({evidence}, 8_000).phase, 'running');
  t.end();
});

t.test('a target version that is slower only under more load is not rolled back', t => {
  const fast = {requests: 36, firstEvent: durations(36, 80)};
  const slow = {requests: 4, firstEvent: durations(4, 300)};
  t.match(decide({evidence: seconds(8, fast, slow)}, 8_000), {
    phase: 'rolled-back',
    reason: /first-token-time/,
  });
  const loaded = {...slow, loadBand: 'high'} as const;
  t.equal(decide({evidence: seconds(8, fast, loaded)}, 8_000).phase, 'running');
  const lessLoaded = seconds(8, {...fast, loadBand: 'high'}, slow);
  t.equal(decide({evidence: lessLoaded}, 8_000).phase, 'rolled-back', 'slower under less load');
  t.end();
});

t.test('a fault on one route is found among the results of others', t => {
  const evidence = [
    ...seconds(8, {requests: 300, routeKey: 3}, {requests: 30, routeKey: 3}),
    ...seconds(8, {requests: 30}, {requests: 3, errors: 1}),
  ];
  t.equal(decide({evidence}, 8_000).phase, 'rolled-back');
  t.end();
});

t.test('a fault that begins when all requests have moved is found', t => {
  const before = seconds(14, {requests: 36}, {requests: 4});
  const moved = [row(15, true, {requests: 40, errors: 12})];
  const step: RolloutStep = {...STEP, sharePercent: 100, changedAtMs: START_MS + 15_000};
  t.equal(decide({step, evidence: [...before, ...moved]}, 16_000).phase, 'rolled-back');
  t.end();
});

t.test('an order for the only version is done at once, and changes nothing', t => {
  const step = {...STEP, sharePercent: 0};
  t.equal(decide({step, otherServers: 0}, 300).phase, 'done');
  t.equal(decide({step, otherServers: 0, targetServers: 0}, 300).phase, 'running');
  const evidence = [row(1, false, {})];
  t.equal(decide({step, evidence, otherServers: 0}, 2_000).phase, 'running', 'the others crashed');
  t.end();
});

t.test('the shares before the last step stay within the exposure limits at any request rate', t => {
  for (const perSecond of [5, 25, 40, 100, 1_000]) {
    let step: RolloutStep = {...STEP, sharePercent: 0};
    let exposed = 0;
    const evidence: EvidenceRow[] = [];
    for (let tick = 0; tick < DURATION_MS / 250; tick += 1) {
      const requests = perSecond / 4;
      const targetRequests = (requests * step.sharePercent) / 100;
      if (step.sharePercent < 100) exposed += targetRequests;
      const second = Math.floor(tick / 4);
      evidence.push(
        row(second, false, {requests: requests - targetRequests}),
        row(second, true, {requests: targetRequests}),
      );
      const decision = decide({step, evidence}, tick * 250);
      const isNew = decision.sharePercent !== step.sharePercent;
      const changedAtMs = isNew ? START_MS + tick * 250 : step.changedAtMs;
      step = {...step, ...decision, changedAtMs};
    }
    const allowed = 0.1 * perSecond * (DURATION_MS / 1_000) + 50;
    t.ok(exposed <= allowed, `${perSecond} a second: ${Math.round(exposed)} of ${allowed}`);
    t.equal(step.phase, 'done', `${perSecond} a second`);
  }
  t.end();
});
