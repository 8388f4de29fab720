/** Runs a load while one failure domain's engines are reclaimed and later replaced, with and without spare engines. */
import {randomUUID} from 'node:crypto';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
  LoadRunner,
  planLoad,
  type LoadPlanOptions,
  type ReportedLoad,
} from '../../src/load/index.js';
import {LogClient} from '../../src/log/index.js';
import {publishAnswersFile} from '../../src/operator/index.js';
import type {LeavingDomainTimes} from './LeavingDomainReport.js';
import {Deployment, type BackendPlan} from '../../scenarios/deployment/index.js';

/** Options of `runLeavingDomain`. */
export interface LeavingDomainOptions {
  readonly seed: number;
  readonly writeLine: (line: string) => void;
}

const FAILURE_DOMAINS = ['ostlandet-a', 'ostlandet-b', 'ostlandet-c', 'ostlandet-d'] as const;
const LEAVING_DOMAIN = 'ostlandet-b';
const MODEL = 'guidance';
const ANSWERS_PATH = join('examples', 'barnehageplass.answers.yaml');
const DEPLOYMENT_KEY = 'experiment-deployment-key';
const ENTRIES = 3;
const ENGINES_WITH_SPARE = 8;
const ENGINES_WITHOUT_SPARE = 6;
const DURATION_MS = 32_000;
/** Times of reclaim and replacement, in milliseconds from the start of the load. */
export const LEAVING_DOMAIN_TIMES: LeavingDomainTimes = {
  leavesAtMs: 9_000,
  noticeMs: 2_000,
  returnsAtMs: 19_000,
};
const RATE_PER_SECOND = 40;
const FIRST_TOKEN_TARGET_MS = 1_300;
const SETTLE_MS = 3_000;
/** Overrides of the load plan for the warm-up of the engines, which is not measured. */
const WARM_UP: Partial<LoadPlanOptions> = {
  durationMs: 9_000,
  startRatePerSecond: 5,
  endRatePerSecond: 30,
};
const TIMEOUT_MS = 10_000;

/** Runs the load with 8 engines, which tolerate the loss of one failure domain, and then with 6, which do not. */
export async function runLeavingDomain(
  options: LeavingDomainOptions,
): Promise<readonly ReportedLoad[]> {
  const loads: ReportedLoad[] = [];
  for (const engines of [ENGINES_WITH_SPARE, ENGINES_WITHOUT_SPARE]) {
    const spare = engines === ENGINES_WITH_SPARE ? 'with a spare' : 'without a spare';
    options.writeLine(`${engines} engines, ${spare} ...`);
    loads.push(await measureLoad(options.seed, engines, `${spare} (${engines} engines)`));
  }
  return loads;
}

async function measureLoad(seed: number, engines: number, name: string): Promise<ReportedLoad> {
  const backends = planEngines(engines);
  const deployment = new Deployment({
    backends,
    daemons: Array.from({length: ENTRIES}, (_, i) => ({
      instanceId: `entry-${i + 1}`,
      role: 'entry' as const,
      failureDomain: FAILURE_DOMAINS[i],
      flags: ['--log-level', 'error'],
    })),
    deploymentKey: DEPLOYMENT_KEY,
  });
  try {
    await deployment.start();
    await publish(deployment);
    await sleep(SETTLE_MS);
    const runner = new LoadRunner({
      entryUrls: deployment.getEntryUrls(),
      model: MODEL,
      getNowMs: Date.now,
      maxOpenRequests: 2_000,
      timeoutMs: 30_000,
    });
    const plan = createPlan(seed);
    await runner.run(planLoad({...plan, ...WARM_UP}));
    const startedAtMs = Date.now();
    const disturbing = reclaimAndReplaceEngines(deployment, backends);
    const result = await runner.run(planLoad(plan));
    await disturbing;
    return {
      name,
      summaries: result.getSummaries(),
      seconds: result.getSeconds(startedAtMs, FIRST_TOKEN_TARGET_MS),
    };
  } finally {
    await deployment.stop();
  }
}

function planEngines(count: number): readonly BackendPlan[] {
  return Array.from({length: count}, (_, i) => ({
    instanceId: `${MODEL}-${i + 1}`,
    kind: 'engine' as const,
    service: MODEL,
    version: 'v1',
    failureDomain: FAILURE_DOMAINS[i % FAILURE_DOMAINS.length],
  }));
}

function createPlan(seed: number): LoadPlanOptions {
  return {
    seed,
    durationMs: DURATION_MS,
    startRatePerSecond: RATE_PER_SECOND,
    endRatePerSecond: RATE_PER_SECOND,
    conversations: 20,
    kinds: [
      {requestClass: 'chat', weight: 9, historyTokens: 200, turnTokens: 10, answerTokens: 50},
      {requestClass: 'review', weight: 1, historyTokens: 2_000, turnTokens: 50, answerTokens: 80},
    ],
    workspaces: [
      {name: 'oslo', key: 'demo-oslo', weight: 4},
      {name: 'baerum', key: 'demo-baerum', weight: 1},
    ],
  };
}

async function publish(deployment: Deployment): Promise<void> {
  const log = new LogClient({url: deployment.getPlatformUrlsOrThrow().log, timeoutMs: TIMEOUT_MS});
  await publishAnswersFile({
    answersPath: ANSWERS_PATH,
    log,
    writer: `experiment/${randomUUID()}`,
    publishedBy: 'experiment',
    getNowMs: Date.now,
    timeoutMs: TIMEOUT_MS,
  });
  await log.close();
}

/** Sends a reclaim notice to the engines of the leaving domain, and later starts cold replacements. */
async function reclaimAndReplaceEngines(
  deployment: Deployment,
  backends: readonly BackendPlan[],
): Promise<void> {
  const leaving = backends.filter(({failureDomain}) => failureDomain === LEAVING_DOMAIN);
  const {leavesAtMs, noticeMs, returnsAtMs} = LEAVING_DOMAIN_TIMES;
  await sleep(leavesAtMs);
  await Promise.all(
    leaving.map(async ({instanceId}) => {
      const answer = await request(`${deployment.getUrl(instanceId)}/standin/notice`, {
        method: 'POST',
        body: JSON.stringify({leavingAtMs: Date.now() + noticeMs}),
      });
      await answer.body.dump();
    }),
  );
  await sleep(returnsAtMs - leavesAtMs);
  await Promise.all(
    leaving.map(plan =>
      deployment.startBackend({
        ...plan,
        instanceId: `${plan.instanceId}-again`,
        flags: ['--cold', 'yes'],
      }),
    ),
  );
}
