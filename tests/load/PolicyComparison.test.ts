/** Tests of a comparison over HTTP against stand-in engines. */
import t from 'tap';
import {parseMix, PolicyComparison} from '../../src/load/index.js';
import {DEFAULT_ENGINE_PROFILE, ModelEngine} from '../../standins/index.js';

const MIX = parseMix(
  `model: guidance
workspaces: [{name: a, key: k, weight: 1}]
classes:
  - {name: chat, weight: 1, promptTokens: 64, sharedPrefixTokens: 48, prefixesPerWorkspace: 1, answerTokens: 4}
ramp: [{durationMs: 500, fromRatePerSecond: 40, toRatePerSecond: 40}]
`,
  'mix.yaml',
);

function createEngine(instanceId: string): ModelEngine {
  return new ModelEngine({
    address: '127.0.0.1',
    port: 0,
    identity: {
      instanceId,
      service: 'guidance',
      version: 'v1',
      failureDomain: 'a',
      machineClass: 'standard',
      market: 'reclaimable',
    },
    profile: {...DEFAULT_ENGINE_PROFILE, timeScale: 10},
    isColdAtStart: false,
    honoursFencingTokens: true,
    loadLagMs: 100,
    cacheEventDelayMs: 0,
    loadVersionMs: 0,
    random: () => 0,
    onDown: () => undefined,
  });
}

t.test('PolicyComparison.run', async t => {
  const engines = [createEngine('e1'), createEngine('e2')];
  await Promise.all(engines.map(engine => engine.start()));
  t.teardown(() => Promise.all(engines.map(engine => engine.stop())));
  const settings = {
    mixPath: 'mix.yaml',
    entryUrls: [],
    engineUrls: engines.map(engine => `http://127.0.0.1:${engine.getPort()}`),
    policies: ['round-robin', 'least-open'] as const,
    seed: 3,
    timeoutMs: 10_000,
    maxOpenRequests: 100,
    firstTokenTargetMs: 1_300,
    priceCentsPerHour: 0,
    reportPath: undefined,
  };
  const reports = await new PolicyComparison(settings, MIX, Date.now).run();
  const ran = engines.flatMap(engine => engine.getLedger().getEntries());
  const sums = reports.map(({summaries}) => summaries[0]);
  t.equal(sums[0].requests, sums[1].requests, 'both policies got the same arrivals');
  t.ok(sums.every(({requests, answered}) => requests > 0 && answered === requests));
  t.equal(ran.length, sums[0].requests + sums[1].requests);
  t.equal(
    ran.reduce((total, {promptTokens}) => total + promptTokens, 0),
    sums[0].promptTokens + sums[1].promptTokens,
    'tokens as the engines counted them',
  );
});
