/** Tests that many requests at one moment keep to what a cold backend server bears; verdicts come from its ledger. */
import t from 'tap';
import {DEFAULT_ENGINE_PROFILE} from '../../standins/index.js';
import {ServingHarness, type EnginePlan} from '../support/ServingHarness.js';

const COLD_REQUESTS = 8;
const MAX_TOKENS = 40;
const STREAMS = 12;
const WARM: EnginePlan = {instanceId: 'warm', failureDomain: 'oslo-a'};
const COLD: EnginePlan = {instanceId: 'cold', failureDomain: 'oslo-b', isColdAtStart: true};

/** Returns the most requests that the engine had open at a time while it was cold. */
function getMostOpenWhileCold(harness: ServingHarness, instanceId: string): number {
  const entries = harness.getEngine(instanceId).getLedger().getEntries();
  const cold = entries.filter(({wasCold}) => wasCold);
  return Math.max(0, ...cold.map(({openRequests}) => openRequests));
}

function takeOut(harness: ServingHarness, failureDomain: string): void {
  harness.blackboard.setSection('failureDomains', {
    domains: [{name: failureDomain, state: 'out', revision: 1, changedAtMs: 0}],
  });
}

t.test('streams of a failure domain that is taken out', t => {
  function doTest(
    name: string,
    engines: readonly EnginePlan[],
    disturb: (harness: ServingHarness) => Promise<void> | void,
  ) {
    t.test(name, async t => {
      const harness = new ServingHarness({
        engines,
        service: {coldConcurrentRequests: COLD_REQUESTS},
      });
      await harness.start();
      t.teardown(() => harness.stop());
      harness.warmUp('warm');
      const seen = new Set<number>();
      const streams = Array.from({length: STREAMS}, (ignored, i) =>
        harness.chat(`letter ${i}`, MAX_TOKENS, () => {
          if (seen.size === STREAMS) return;
          seen.add(i);
          if (seen.size === STREAMS) void disturb(harness);
        }),
      );
      for (const {status, tokens} of await Promise.all(streams)) {
        t.equal(status, 200);
        t.equal(tokens.length, MAX_TOKENS, 'no token is missing or twice');
      }
      const mostOpen = getMostOpenWhileCold(harness, 'cold');
      const {coldMaxRequests} = DEFAULT_ENGINE_PROFILE;
      t.ok(mostOpen > 0 && mostOpen <= coldMaxRequests, `${mostOpen} at a time`);
    });
  }

  doTest('keep to the places of a cold server beside it', [WARM, COLD], harness =>
    takeOut(harness, 'oslo-a'),
  );
  doTest('keep to the places of a cold server that starts then', [WARM], async harness => {
    takeOut(harness, 'oslo-a');
    await harness.startEngine(COLD);
  });
  t.end();
});
