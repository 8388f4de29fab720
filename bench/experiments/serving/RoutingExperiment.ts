/** Compares routing policies on one load in virtual time: tokens recomputed under reclaims, and the load at the target. */
import {planLoad, type PlannedRequest} from '../../../src/load/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';
import {createPolicies, type PolicyName} from './RoutingPolicies.js';
import {FAILURE_DOMAINS, ServingModel, type ReclaimPlan} from './ServingModel.js';
import {meetsTarget, summarizeServed, type ServingSummary} from './ServingSummary.js';

/** What a policy came to with a seed. */
export interface RoutingRecord {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly hasReclaims: boolean;
  readonly summary: ServingSummary;
}

/** The highest rate that was found at the latency target. */
export interface TargetRate {
  readonly policy: PolicyName;
  /** 0 where the lowest rate that was tried misses the target. */
  readonly requestsPerSecondPerEngine: number;
  readonly meanAnswerTokens: number;
}

const ENGINES = 8;
const CACHE_TOKENS = 65_536;
const POLICIES: readonly PolicyName[] = ['prefix', 'least-loaded', 'round-robin'];
const COMPARED_MS = 120_000;
const COMPARED_RATE_PER_SECOND = 20;
const RECLAIMS = 3;
const FIRST_RECLAIM_MS = 15_000;
const PROBED_MS = 40_000;
/** Rates of one engine that are tried, lowest first. */
const PROBED_RATES = [0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5, 5.5, 6];

/**
 * Runs each policy with and without reclaims.
 * @param seeds - Seeds of the load and of the reclaims.
 */
export function compareRouting(seeds: readonly number[]): readonly RoutingRecord[] {
  return seeds.flatMap(seed => {
    const planned = planMix(seed, COMPARED_RATE_PER_SECOND, COMPARED_MS);
    const reclaims = planReclaims(seed);
    return [false, true].flatMap(hasReclaims =>
      POLICIES.map(policy => {
        const summary = serve(seed, planned, policy, hasReclaims ? reclaims : []);
        return {policy, seed, hasReclaims, summary};
      }),
    );
  });
}

/**
 * Finds the highest rate of an engine at which the latency target is met; the first rate that misses it ends the search.
 * @param policy - Routing policy.
 * @param seed - Seed of the loads.
 */
export function findTargetRate(policy: PolicyName, seed: number): TargetRate {
  let found: TargetRate = {policy, requestsPerSecondPerEngine: 0, meanAnswerTokens: 0};
  for (const rate of PROBED_RATES) {
    const planned = planMix(seed, rate * ENGINES, PROBED_MS);
    if (!meetsTarget(serve(seed, planned, policy, []))) return found;
    const answerTokens = planned.reduce((sum, {kind}) => sum + kind.answerTokens, 0);
    const meanAnswerTokens = answerTokens / planned.length;
    found = {policy, requestsPerSecondPerEngine: rate, meanAnswerTokens};
  }
  return found;
}

function serve(
  seed: number,
  planned: readonly PlannedRequest[],
  policy: PolicyName,
  reclaims: readonly ReclaimPlan[],
): ServingSummary {
  const chooseServer = createPolicies()[policy];
  const size = {engines: ENGINES, cacheTokens: CACHE_TOKENS};
  return summarizeServed(
    new ServingModel({seed, planned, chooseServer, reclaims, ...size}).getResult(),
  );
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

/** Reclaims of whole failure domains at drawn instants; one may be hit twice. */
function planReclaims(seed: number): readonly ReclaimPlan[] {
  const random = createSeededRandom(seed);
  const spanMs = (COMPARED_MS - FIRST_RECLAIM_MS) / RECLAIMS;
  return Array.from({length: RECLAIMS}, (unused, index) => ({
    atMs: FIRST_RECLAIM_MS + spanMs * (index + 0.5 * random()),
    failureDomain: FAILURE_DOMAINS[Math.floor(random() * FAILURE_DOMAINS.length)],
  }));
}
