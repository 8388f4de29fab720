/** Callers of several workspaces that use their quotas over a simulated fleet of gateways. */
import type {WorkspaceQuota} from '../../src/catalog/index.js';
import {createSeededRandom, getTextKey} from '../../src/utils/index.js';
import type {GossipFleet, GossipGateway} from './GossipFleet.js';

/** Size class of a request, by its cost in tokens. */
export type SizeClass = 'small' | 'medium' | 'large';

/** One workspace and how much its callers request. */
export interface WorkspaceLoad {
  readonly name: string;
  readonly quota: WorkspaceQuota;
  /**
   * Requested tokens as a multiple of the quota's rate.
   * @param sinceStartMs - Time since the start of the load.
   */
  readonly getDemand: (sinceStartMs: number) => number;
}

/** One request that a gateway admitted or refused. */
export interface QuotaResult {
  readonly workspace: string;
  /** Time since the start of the load. */
  readonly atMs: number;
  readonly cost: number;
  readonly size: SizeClass;
  readonly isRetry: boolean;
  readonly isAdmitted: boolean;
  /** Undefined for an admitted request. */
  readonly retryAfterMs: number | undefined;
}

interface Arrival {
  readonly load: WorkspaceLoad;
  readonly cost: number;
  readonly size: SizeClass;
  readonly isRetry: boolean;
}

/** Largest cost of a request: a prompt of 54,600 tokens and a response of 400. */
export const MAX_COST = 55_000;
const STEP_MS = 10;
const MS_PER_SECOND = 1_000;
const SMALL = {share: 0.3, mean: 800};
const MEDIUM = {share: 0.3, mean: 2_000};
/** Parameters of the log-normal cost of a large request, whose mean is 12,500. */
const LARGE_SIGMA = 0.8;
const LARGE_MU = Math.log(12_500) - LARGE_SIGMA ** 2 / 2;
/** Mean cost over all requests, with the large ones cut off at the largest cost. */
const MEAN_COST = 0.3 * 800 + 0.3 * 2_000 + 0.4 * 12_300;
/** Callers honour a delay up to a third of the time that they have left. */
const TIMEOUT_MS = 12_000;
const MAX_HONOURED_MS = TIMEOUT_MS / 3;

/**
 * Lets callers request tokens at all running gateways; refused ones come back once, to any gateway.
 * @param durationMs - Time to simulate.
 * @param onStep - Called in each step with the time since the start.
 */
export function playQuotaLoad(
  fleet: GossipFleet,
  loads: readonly WorkspaceLoad[],
  durationMs: number,
  seed: number,
  onStep: (sinceStartMs: number) => void = () => undefined,
): readonly QuotaResult[] {
  const random = createSeededRandom(seed);
  const results: QuotaResult[] = [];
  const returning = new Map<number, Arrival[]>();
  const startMs = fleet.nowMs;
  for (const {name, quota} of loads) fleet.quotas.set(getTextKey(name), quota);
  const serve = (arrival: Arrival, atMs: number) => {
    const running = fleet.gateways.filter(({isRunning}) => isRunning);
    const gateway = running[Math.floor(random() * running.length)];
    const {load, cost, isRetry} = arrival;
    const decision = gateway.quotaLedger.admit(
      load.name,
      load.quota,
      cost,
      getReach(gateway, fleet.nowMs),
      fleet.nowMs,
    );
    const isAdmitted = decision.kind === 'admitted';
    const retryAfterMs = decision.kind === 'over' ? decision.retryAfterMs : undefined;
    const {size} = arrival;
    results.push({workspace: load.name, atMs, cost, size, isRetry, isAdmitted, retryAfterMs});
    if (isRetry || retryAfterMs === undefined || retryAfterMs > MAX_HONOURED_MS) return;
    const returnsAtMs = Math.ceil((atMs + retryAfterMs) / STEP_MS) * STEP_MS;
    const sameStep = returning.get(returnsAtMs) ?? [];
    returning.set(returnsAtMs, [...sameStep, {...arrival, isRetry: true}]);
  };
  fleet.run(durationMs, () => {
    const atMs = fleet.nowMs - startMs;
    onStep(atMs);
    for (const arrival of returning.get(atMs) ?? []) serve(arrival, atMs);
    for (const load of loads) {
      const tokensPerStep =
        (load.getDemand(atMs) * load.quota.ratePerSecond * STEP_MS) / MS_PER_SECOND;
      const count = drawPoisson(tokensPerStep / MEAN_COST, random);
      for (let index = 0; index < count; index += 1) {
        serve({load, ...drawCost(random), isRetry: false}, atMs);
      }
    }
  });
  return results;
}

/** Returns the admitted results of a workspace, in the order of time. */
export function getAdmitted(
  results: readonly QuotaResult[],
  workspace: string,
): readonly QuotaResult[] {
  return results.filter(result => result.isAdmitted && result.workspace === workspace);
}

/** Returns the sum of the costs. */
export function sumCosts(results: readonly {readonly cost: number}[]): number {
  return results.reduce((sum, {cost}) => sum + cost, 0);
}

/** Returns the largest sum of costs in any window of a length. */
export function getMostInWindow(
  admissions: readonly {readonly atMs: number; readonly cost: number}[],
  windowMs: number,
): number {
  let start = 0;
  let sum = 0;
  let most = 0;
  for (const {atMs, cost} of admissions) {
    sum += cost;
    while (admissions[start].atMs <= atMs - windowMs) {
      sum -= admissions[start].cost;
      start += 1;
    }
    most = Math.max(most, sum);
  }
  return most;
}

function getReach({members}: GossipGateway, nowMs: number) {
  const live = members.getLiveMembers(nowMs).filter(({isLeaving}) => !isLeaving);
  return {
    reportingGateways: live.length + 1,
    knownGateways: members.getKnownCount(nowMs) + 1,
  };
}

function drawCost(random: () => number): Pick<Arrival, 'cost' | 'size'> {
  const kind = random();
  if (kind < SMALL.share) return {size: 'small', cost: drawAround(SMALL.mean, random)};
  if (kind < SMALL.share + MEDIUM.share) {
    return {size: 'medium', cost: drawAround(MEDIUM.mean, random)};
  }
  const cost = Math.exp(LARGE_MU + LARGE_SIGMA * drawNormal(random));
  return {size: 'large', cost: Math.round(Math.min(MAX_COST, cost))};
}

function drawAround(mean: number, random: () => number): number {
  return Math.round(mean * (0.5 + random()));
}

function drawNormal(random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function drawPoisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count += 1;
  return count;
}
