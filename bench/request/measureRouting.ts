/** Compares routing policies on the same requests in real time: recomputed tokens and time to the first token. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ChooseServer} from '../../src/controllers/routing/index.js';
import {createRandom} from '../../standins/utils/random.js';
import {ServingHarness} from '../../tests/support/ServingHarness.js';
import {createPolicies} from '../experiments/serving/index.js';
import {createPromptMix, type MixedRequest} from './PromptMix.js';
import {summarize, type DurationSummary} from './Percentiles.js';

/** Result of one policy with one seed. */
export interface PolicyResult {
  readonly policy: string;
  readonly seed: number;
  readonly failed: number;
  readonly promptTokens: number;
  /** Prompt tokens that an engine computed although some engine had computed them before. */
  readonly recomputedTokens: number;
  readonly firstToken: DurationSummary;
}

const SEEDS = [11, 12, 13];
const ENGINES = 6;
const MEAN_INTERVAL_MS = 40;
const CACHE_TOKENS = 16_384;

/**
 * Runs each of three policies with each of three seeds on newly started engines.
 * @param durationMs - Duration of the load in each of the nine runs.
 */
export async function measureRouting(durationMs: number): Promise<readonly PolicyResult[]> {
  const results: PolicyResult[] = [];
  const requests = Math.ceil(durationMs / MEAN_INTERVAL_MS);
  for (const seed of SEEDS) {
    const random = createRandom(seed);
    const mix = createPromptMix({requests, meanIntervalMs: MEAN_INTERVAL_MS, random});
    for (const [policy, choose] of Object.entries(createPolicies())) {
      results.push(await measurePolicy(policy, choose, seed, mix));
    }
  }
  return results;
}

async function measurePolicy(
  policy: string,
  choose: ChooseServer,
  seed: number,
  mix: readonly MixedRequest[],
): Promise<PolicyResult> {
  const engines = Array.from({length: ENGINES}, (unused, index) => ({
    instanceId: `engine-${index + 1}`,
    profile: {timeScale: 1, cacheTokens: CACHE_TOKENS},
  }));
  const harness = new ServingHarness({engines, chooseServer: choose});
  await harness.start();
  const firstTokensMs: number[] = [];
  const startMs = performance.now();
  const results = await Promise.allSettled(
    mix.map(async ({atMs, prompt, maxTokens}) => {
      await sleep(Math.max(0, atMs - (performance.now() - startMs)));
      const sentMs = performance.now();
      const response = await harness.chat(prompt, maxTokens, count => {
        if (count === 1) firstTokensMs.push(performance.now() - sentMs);
      });
      if (response.tokens.length !== maxTokens) throw new Error(response.body.slice(0, 200));
    }),
  );
  const runs = engines.flatMap(({instanceId}) =>
    harness.getEngine(instanceId).getLedger().getEntries(),
  );
  await harness.stop();
  const promptTokens = runs.reduce((sum, run) => sum + run.promptTokens, 0);
  const computedTokens = runs.reduce((sum, run) => sum + run.promptTokens - run.cachedTokens, 0);
  return {
    policy,
    seed,
    failed: results.filter(({status}) => status === 'rejected').length,
    promptTokens,
    recomputedTokens: computedTokens - countDistinctTokens(mix),
    firstToken: summarize(firstTokensMs),
  };
}

/** Returns the number of distinct prompt words, which no cache could have held at their first use. */
function countDistinctTokens(mix: readonly MixedRequest[]): number {
  return new Set(mix.flatMap(({prompt}) => prompt.split(' '))).size;
}
