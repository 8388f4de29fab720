/**
 * Tests that streams survive failures and stops of their backend servers, by the received tokens and the engines'
 * ledgers.
 */
import t, {type Test} from 'tap';
import {createResponseText, type RunEntry} from '../../standins/index.js';
import {renderChatPrompt} from '../../src/utils/index.js';
import {ServingHarness, type ServingHarnessOptions} from '../support/ServingHarness.js';

const TWO_ENGINES = [{instanceId: 'a'}, {instanceId: 'b'}];

function getExpected(content: string, maxTokens: number): string {
  return createResponseText(renderChatPrompt([{role: 'user', content}]), maxTokens);
}

function getRuns(harness: ServingHarness, instanceId: string): readonly RunEntry[] {
  return harness.getEngine(instanceId).getLedger().getEntries();
}

/** Returns the instance id of the engine that runs the only open request. */
function getBusyServer(harness: ServingHarness): string {
  const busy = harness
    .getRunningEngineIds()
    .find(id => getRuns(harness, id).some(({end}) => end === 'running'));
  if (!busy) throw new Error('no engine runs a request');
  return busy;
}

t.test('a stream', t => {
  function doTest(
    name: string,
    options: ServingHarnessOptions,
    disturb: (harness: ServingHarness, busy: string, count: number) => Promise<void> | void,
    check: (t: Test, harness: ServingHarness, busy: string) => void = () => undefined,
    disturbedAtTokens: readonly number[] = [10],
  ) {
    t.test(name, async t => {
      const harness = new ServingHarness(options);
      await harness.start();
      t.teardown(() => harness.stop());
      let busy = '';
      const answer = await harness.chat('where do I fetch the letter', 60, count => {
        if (!disturbedAtTokens.includes(count)) return;
        busy = getBusyServer(harness);
        void disturb(harness, busy, count);
      });
      t.equal(answer.status, 200);
      t.equal(answer.tokens.length, 60, 'no token is missing or duplicated');
      t.equal(answer.tokens.join(''), getExpected('where do I fetch the letter', 60));
      check(t, harness, busy);
    });
  }

  doTest(
    'continues at another server after a reclaim notice that is too short for it',
    {engines: TWO_ENGINES},
    (harness, busy) =>
      harness.changeInstance(busy, {state: 'leaving', leavingAtMs: Date.now() + 1_100}),
    (t, harness, busy) => {
      t.equal(getRuns(harness, busy)[0].end, 'cancelled', 'the old attempt is cancelled');
      t.equal(getRuns(harness, busy === 'a' ? 'b' : 'a').length, 1);
    },
  );
  doTest(
    'stays at its server if it ends within the notice period',
    {engines: TWO_ENGINES},
    (harness, busy) =>
      harness.changeInstance(busy, {state: 'leaving', leavingAtMs: Date.now() + 30_000}),
    (t, harness, busy) => t.equal(getRuns(harness, busy)[0].end, 'finished'),
  );
  doTest(
    'leaves a failure domain that is taken out',
    {engines: [{instanceId: 'a'}, {instanceId: 'b', failureDomain: 'oslo-b'}]},
    (harness, busy) =>
      harness.blackboard.setSection('failureDomains', {
        domains: [
          {name: busy === 'a' ? 'oslo-a' : 'oslo-b', state: 'out', revision: 1, changedAtMs: 0},
        ],
      }),
    (t, harness, busy) => t.equal(getRuns(harness, busy)[0].end, 'cancelled'),
  );
  doTest(
    'moves with its KV cache if prefill is slow',
    {
      engines: TWO_ENGINES.map(plan => ({...plan, profile: {prefillTokensPerSecond: 100}})),
    },
    (harness, busy) =>
      harness.changeInstance(busy, {state: 'leaving', leavingAtMs: Date.now() + 1_200}),
    (t, harness, busy) => {
      const [run] = getRuns(harness, busy === 'a' ? 'b' : 'a');
      t.ok(run.cachedTokens > 0, 'the other server computes only the tokens after the export');
    },
  );
  doTest('survives a crash of its server without notice', {engines: TWO_ENGINES}, (harness, busy) =>
    harness.kill(busy),
  );
  doTest('survives a stalled connection', {engines: TWO_ENGINES}, (harness, busy) =>
    harness.setFaults(busy, {silenceOpenConnections: true}),
  );
  doTest(
    'survives a stalled connection when there is only one server',
    {engines: [{instanceId: 'a'}]},
    (harness, busy) => harness.setFaults(busy, {silenceOpenConnections: true}),
  );
  doTest(
    'survives a crash after a reclaim notice',
    {engines: [...TWO_ENGINES, {instanceId: 'c'}]},
    (harness, busy, count) => {
      if (count === 30) return harness.kill(busy);
      harness.changeInstance(busy, {state: 'leaving', leavingAtMs: Date.now() + 1_100});
      return undefined;
    },
    undefined,
    [10, 30],
  );
  t.end();
});

t.test('a request that crashes its servers', async t => {
  const engines = ['a', 'b', 'c', 'd'].map(instanceId => ({instanceId}));
  const harness = new ServingHarness({engines});
  await harness.start();
  t.teardown(() => harness.stop());
  for (const {instanceId} of engines) {
    await harness.setFaults(instanceId, {crashOnBodyText: 'POISON'});
  }
  const bystander = harness.chat('a long answer', 100);
  const poison = await harness.chat('POISON', 10);
  t.equal(poison.status, 422);
  t.match(poison.body, 'poison-quarantined');
  t.equal(harness.getRunningEngineIds().length, 2, 'it crashed two servers');
  t.match((await harness.chat('POISON', 10)).body, 'poison-quarantined');
  t.equal(harness.getRunningEngineIds().length, 2, 'sent again, it crashed none');
  t.equal((await bystander).tokens.join(''), getExpected('a long answer', 100));
});

t.test('a cold server with many concurrent callers', async t => {
  const harness = new ServingHarness({
    engines: [{instanceId: 'a', isColdAtStart: true, profile: {coldMaxRequests: 2}}],
    service: {coldConcurrentRequests: 2},
  });
  await harness.start();
  t.teardown(() => harness.stop());
  const answers = await Promise.all(
    Array.from({length: 30}, (unused, index) => harness.chat(`question ${index}`, 5)),
  );
  t.same(harness.getRunningEngineIds(), ['a'], 'it did not crash');
  t.ok(answers.every(({tokens}) => tokens.length === 5));
  const cold = getRuns(harness, 'a').filter(({wasCold}) => wasCold);
  t.ok(Math.max(...cold.map(({openRequests}) => openRequests)) <= 2);
});
