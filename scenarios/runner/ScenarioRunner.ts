/** Runs a scenario with real processes and checks its expectations. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {Scenario} from '../language/index.js';
import {ExpectationChecker, type ExpectationResult} from './ExpectationChecker.js';
import {createConfiguration} from './ScenarioConfiguration.js';
import {DEPLOYMENT_KEY, ScenarioWorld} from './ScenarioWorld.js';
import {StepRunner} from './StepRunner.js';

/** Results of a scenario, one per expectation. */
export interface ScenarioResult {
  readonly results: readonly ExpectationResult[];
  readonly isPassed: boolean;
  /** Folder with ledgers and logs; removed if the scenario passed. */
  readonly folder: string;
}

const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/**
 * Starts the processes of a scenario, runs its steps, checks its expectations and stops the processes.
 * @param writeLine - Called with a line of progress before each step.
 */
export async function runScenario(
  scenario: Scenario,
  writeLine: (line: string) => void,
): Promise<ScenarioResult> {
  const folder = await mkdtemp(join(tmpdir(), 'buckthorn-scenario-'));
  const world = new ScenarioWorld(scenario, folder);
  const results: ExpectationResult[] = [];
  try {
    await world.start();
    await world.getOperators().publish([createConfiguration(scenario)]);
    await waitUntilServing(world);
    await runSteps(world, writeLine);
    const checker = new ExpectationChecker(world);
    for (const expectation of scenario.expect) results.push(await checker.check(expectation));
  } finally {
    await world.stop();
  }
  const isPassed = results.every(({violations}) => violations.length === 0);
  if (isPassed) await rm(folder, {recursive: true});
  else await writeFile(join(folder, 'calls.json'), JSON.stringify(world.getRecords()));
  return {results, isPassed, folder};
}

async function runSteps(world: ScenarioWorld, writeLine: (line: string) => void): Promise<void> {
  const runner = new StepRunner(world);
  const startedAtMs = Date.now();
  for (const step of world.scenario.steps) {
    writeLine(`  ${Date.now() - startedAtMs} ms: ${JSON.stringify(step, omitDefaults)}`);
    await runner.runStep(step);
  }
  await world.waitForLoads();
  await runner.finish();
}

/** Waits until every entry has a configuration and knows all backend servers. */
async function waitUntilServing(world: ScenarioWorld): Promise<void> {
  const expected = world.getBackends({}).length;
  const endAtMs = Date.now() + READY_TIMEOUT_MS;
  for (const {instanceId, url} of world.getLiveEntries()) {
    while (!(await isServing(url, expected))) {
      if (Date.now() > endAtMs) throw new Error(`${instanceId} did not become ready in time`);
      await sleep(POLL_MS);
    }
  }
}

async function isServing(url: string, expectedServers: number): Promise<boolean> {
  const {body} = await request(`${url}/v1/status`, {
    headers: {authorization: `Bearer ${DEPLOYMENT_KEY}`},
  });
  const status = (await body.json()) as {
    readonly configurationRevision?: number;
    readonly backendServers?: readonly unknown[];
  };
  const servers = status.backendServers?.length ?? 0;
  return (status.configurationRevision ?? 0) > 0 && servers >= expectedServers;
}

/** JSON replacer that omits fields with a default value. */
function omitDefaults(key: string, value: unknown): unknown {
  const isDefault = value === false || value === '' || value === 0;
  return isDefault || (Array.isArray(value) && value.length === 0) ? undefined : value;
}
