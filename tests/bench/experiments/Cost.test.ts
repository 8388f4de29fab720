/** Tests that the cost experiment is deterministic for a seed and that its tables add up. */
import t from 'tap';
import {
  createControlledFleet,
  createCostReport,
  createFixedFleet,
  FleetModel,
  sumFleets,
  type FleetDay,
  type FleetPolicy,
} from '../../../bench/experiments/cost/index.js';
import {summarizeServed, type ServedRequest} from '../../../bench/experiments/serving/index.js';

function runDay(policy: FleetPolicy, seed: number): FleetDay {
  const load = {requestsPerSecondPerServer: 4, peakRequestsPerSecond: 32};
  return new FleetModel({seed, policy, ...load}).run();
}

t.test('FleetModel', t => {
  const onDemand = createFixedFleet('o', 'on-demand', false);
  const day = runDay(onDemand, 1);
  t.same(runDay(onDemand, 1), day, 'same seed, same day');
  t.ok(
    day.spans.every(({readyServers}) => readyServers === 8),
    'on-demand servers are never reclaimed',
  );
  const usd = day.spans.reduce((sum, {costUsd}) => sum + costUsd, 0);
  t.ok(Math.abs(usd - 8 * 2 * 24) < 1e-6, 'eight servers at 2 USD for 24 hours');
  const controlled = runDay(createControlledFleet('c'), 1);
  t.ok(controlled.reclaimedServers > 0, 'servers are reclaimed');
  t.ok(controlled.spans.at(-1)?.readyServers, 'and replaced');
  t.end();
});

t.test('sumFleets and createCostReport compute totals from spans', t => {
  const span = {costUsd: 1, requests: 500, readyServers: 1};
  const spans = [
    {...span, atMs: 0, isAtTarget: true},
    {...span, atMs: 60_000, isAtTarget: false},
    {...span, atMs: 120_000, isAtTarget: true},
  ];
  const day: FleetDay = {policy: 'p', seed: 1, spans, reclaimedServers: 4, refusedStarts: 0};
  const [totals] = sumFleets([day]);
  t.match(totals, {costUsd: 3, requests: 1_500, requestsAtTarget: 1_000, missedMinutes: [1]});
  const rate = {policy: 'prefix', requestsPerSecondPerEngine: 4, meanAnswerTokens: 100} as const;
  const {tables} = createCostReport({routing: [], targetRates: [rate], days: [day]}, 'c');
  t.same(tables[0]?.rows, [['p', '3', '66.67', '1.0 / 1.0', '3.0000', '30.00', '4.0']]);
  t.end();
});

t.test('summarizeServed counts prompt tokens that were computed again', t => {
  const kind = {requestClass: 'chat', weight: 1, historyTokens: 0, turnTokens: 0, answerTokens: 2};
  const planned = {
    atMs: 0,
    workspace: {name: 'w', key: '', weight: 1},
    kind,
    content: '',
    promptTokens: 100,
    repeatedTokens: 80,
  };
  const request: ServedRequest = {
    planned,
    firstTokenMs: 100,
    interTokenMs: [60],
    isComplete: true,
    computedTokens: 50,
    attempts: 1,
  };
  const late = {
    ...request,
    firstTokenMs: 1_400,
    interTokenMs: [20],
    computedTokens: 20,
    attempts: 2,
  };
  t.match(summarizeServed([request, late]), {
    requests: 2,
    completeResponses: 2,
    recomputedTokens: 30,
    promptTokens: 200,
    movedRequests: 1,
    firstTokenFraction: 0.5,
    interTokenFraction: 0.5,
  });
  t.end();
});
