/** Tests that the virtual engine schedules jobs like the stand-in engine, and that steps take the modelled time. */
import t from 'tap';
import {EventQueue, VirtualEngine} from '../../../bench/experiments/serving/index.js';
import {hashBlocks} from '../../../src/utils/index.js';
import {DEFAULT_ENGINE_PROFILE} from '../../../standins/engine/EngineProfile.js';
import {EngineScheduler} from '../../../standins/engine/EngineScheduler.js';
import {PrefixCache} from '../../../standins/engine/PrefixCache.js';
import {createRandom} from '../../support/random.js';

/** Returns distinct words, each followed by a space. */
function createTokens(name: string, count: number): readonly string[] {
  return Array.from({length: count}, (unused, index) => `${name}${index} `);
}

interface TestJob {
  readonly name: string;
  readonly tokens: readonly string[];
  readonly answerTokens: number;
  readonly priority: number;
}

function drawJobs(seed: number): readonly TestJob[] {
  const random = createRandom(seed);
  return Array.from({length: 12}, (unused, index) => ({
    name: `job${index}`,
    tokens: [
      ...createTokens(`p${Math.floor(random() * 3)}.`, 320),
      ...createTokens(`j${index}.`, Math.ceil(random() * 900)),
    ],
    answerTokens: Math.ceil(random() * 20),
    priority: Math.floor(random() * 2),
  }));
}

const PROFILE = {...DEFAULT_ENGINE_PROFILE, maxBatchRequests: 4, timeScale: 200};

async function runScheduler(jobs: readonly TestJob[]): Promise<readonly string[]> {
  const events: string[] = [];
  const cache = new PrefixCache(PROFILE.cacheTokens, () => undefined);
  const scheduler = new EngineScheduler(PROFILE, cache, () => 1);
  await Promise.all(
    jobs.map(
      ({name, tokens, answerTokens, priority}) =>
        new Promise<void>(resolve =>
          scheduler.addJob({
            promptText: tokens.join(''),
            maxTokens: answerTokens,
            priority,
            slowdownFactor: 1,
            onAdmitted: (promptTokens, cached) => events.push(`${name} cached ${cached}`),
            onToken: () => events.push(name),
            onEnd: () => resolve(),
          }),
        ),
    ),
  );
  return events;
}

function runVirtual(jobs: readonly TestJob[]): readonly string[] {
  const events: string[] = [];
  const queue = new EventQueue();
  const engine = new VirtualEngine({queue, profile: PROFILE, isColdAtStart: false});
  for (const {name, tokens, answerTokens, priority} of jobs) {
    engine.addJob({
      promptTokens: tokens,
      promptHashes: hashBlocks(tokens),
      answerTokens,
      priority,
      onAdmitted: cached => events.push(`${name} cached ${cached}`),
      onToken: () => `${name} ${events.push(name)}`,
      onEnd: () => undefined,
      onLost: () => undefined,
    });
  }
  queue.runUntil(600_000);
  return events;
}

t.test('VirtualEngine admits, caches and emits in the order of EngineScheduler', async t => {
  for (const seed of [1, 2, 3]) {
    const jobs = drawJobs(seed);
    t.same(runVirtual(jobs), await runScheduler(jobs), `seed ${seed}`);
  }
});

t.test('VirtualEngine emits tokens at the times of its cost model', t => {
  const queue = new EventQueue();
  const profile = {...DEFAULT_ENGINE_PROFILE};
  const engine = new VirtualEngine({queue, profile, isColdAtStart: false});
  const tokens = createTokens('p', 800);
  const tokenTimesMs: number[] = [];
  engine.addJob({
    promptTokens: tokens,
    promptHashes: hashBlocks(tokens),
    answerTokens: 3,
    priority: 0,
    onAdmitted: () => undefined,
    onToken: () => `t${tokenTimesMs.push(queue.getNowMs())}`,
    onEnd: () => undefined,
    onLost: () => undefined,
  });
  queue.runUntil(1_000);
  t.same(
    tokenTimesMs,
    [100, 140, 160],
    'prefill of 800 tokens at 8,000 a second, then steps of 20 ms',
  );
  t.end();
});
