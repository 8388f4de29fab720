/** Compares routing policies in virtual time: tokens recomputed under reclaims, and the highest load at the latency target. */
import {planLoad, type PlannedRequest} from '../../../src/load/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';
import {createPolicies, type PolicyName} from './RoutingPolicies.js';
import {FAILURE_DOMAINS, ServingModel, type ReclaimPlan} from './ServingModel.js';
import {meetsTarget, summarizeServed, type ServingSummary} from './ServingSummary.js';

/** Result of a policy with one seed. */
export interface RoutingRecord {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly hasReclaims: boolean;
  readonly summary: ServingSummary;
}

/** Highest request rate at which a policy met the latency target. */
export interface TargetRate {
  readonly policy: PolicyName;
  /** 0 if the lowest rate tested missed the target. */
  readonly requestsPerSecondPerEngine: number;
  readonly meanAnswerTokens: number;
}

const ENGINES = 8;
const CACHE_TOKENS = 65_536;
const POLICIES: readonly PolicyName[] = ['prefix', 'least-loaded', 'round-robin'];
const COMPARISON_DURATION_MS = 120_000;
const COMPARISON_RATE_PER_SECOND = 20;
const RECLAIMS = 3;
const FIRST_RECLAIM_MS = 15_000;
const RATE_TEST_DURATION_MS = 40_000;
/** Requests per second for each engine that are tested, lowest first. */
const TESTED_RATES = [0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5, 5.5, 6];

/**
 * Runs each policy with and without reclaims on the same load.
 * @param seeds - Seeds of load and reclaims.
 */
export function compareRouting(seeds: readonly number[]): readonly RoutingRecord[] {
  return seeds.flatMap(seed => {
    const planned = planMix(seed, COMPARISON_RATE_PER_SECOND, COMPARISON_DURATION_MS);
    const reclaims = planReclaims(seed);
    return [false, true].flatMap(hasReclaims =>
      POLICIES.map(policy => {
        const summary = simulate(seed, planned, policy, hasReclaims ? reclaims : []);
        return {policy, seed, hasReclaims, summary};
      }),
    );
  });
}

/**
 * Finds the highest rate per engine that meets the latency target, stopping at the first rate that misses it.
 * @param seed - Seed of the loads.
 */
export function findTargetRate(policy: PolicyName, seed: number): TargetRate {
  let found: TargetRate = {policy, requestsPerSecondPerEngine: 0, meanAnswerTokens: 0};
  for (const rate of TESTED_RATES) {
    const planned = planMix(seed, rate * ENGINES, RATE_TEST_DURATION_MS);
    if (!meetsTarget(simulate(seed, planned, policy, []))) return found;
    const answerTokens = planned.reduce((sum, {kind}) => sum + kind.answerTokens, 0);
    const meanAnswerTokens = answerTokens / planned.length;
    found = {policy, requestsPerSecondPerEngine: rate, meanAnswerTokens};
  }
  return found;
}

function simulate(
  seed: number,
  planned: readonly PlannedRequest[],
  policy: PolicyName,
  reclaims: readonly ReclaimPlan[],
): ServingSummary {
  const chooseServer = createPolicies()[policy];
  const size = {engines: ENGINES, cacheTokens: CACHE_TOKENS};
  return summarizeServed(new ServingModel({seed, planned, chooseServer, reclaims, ...size}).run());
}

function planMix(
  seed: number,
  ratePerSecond: number,
  durationMs: number,
): readonly PlannedRequest[] {
  return planLoad({
    seed,
    durationMs,
    startRatePerSecond: ratePerSecond,
    endRatePerSecond: ratePerSecond,
    conversations: 10,
    maxTurns: 10,
    kinds: [
      {requestClass: 'chat', weight: 9, historyTokens: 600, turnTokens: 40, answerTokens: 80},
      {requestClass: 'review', weight: 1, historyTokens: 4_000, turnTokens: 50, answerTokens: 200},
    ],
    workspaces: [
      {name: 'oslo', key: '', weight: 4},
      {name: 'baerum', key: '', weight: 3},
      {name: 'asker', key: '', weight: 1},
      {name: 'moss', key: '', weight: 1},
      {name: 'ski', key: '', weight: 1},
    ],
  });
}

/** Plans reclaims of whole failure domains at random times; the same domain may be reclaimed twice. */
function planReclaims(seed: number): readonly ReclaimPlan[] {
  const random = createSeededRandom(seed);
  const spanMs = (COMPARISON_DURATION_MS - FIRST_RECLAIM_MS) / RECLAIMS;
  return Array.from({length: RECLAIMS}, (unused, index) => ({
    atMs: FIRST_RECLAIM_MS + spanMs * (index + 0.5 * random()),
    failureDomain: FAILURE_DOMAINS[Math.floor(random() * FAILURE_DOMAINS.length)],
  }));
}
