/** Tests that concurrent requests don't exceed the capacity of a cold backend server, by the ledger of its stand-in. */
import t from 'tap';
import {DEFAULT_ENGINE_PROFILE} from '../../standins/index.js';
import {ServingHarness, type EnginePlan} from '../support/ServingHarness.js';

const COLD_REQUESTS = 8;
const MAX_TOKENS = 40;
const STREAMS = 12;
const WARM: EnginePlan = {instanceId: 'warm', failureDomain: 'oslo-a'};
const COLD: EnginePlan = {instanceId: 'cold', failureDomain: 'oslo-b', isColdAtStart: true};

/** Returns the largest number of concurrent requests that the engine had open while it was cold. */
function getMaxOpenWhileCold(harness: ServingHarness, instanceId: string): number {
  const entries = harness.getEngine(instanceId).getLedger().getEntries();
  const cold = entries.filter(({wasCold}) => wasCold);
  return Math.max(0, ...cold.map(({openRequests}) => openRequests));
}

function takeDomainOut(harness: ServingHarness, failureDomain: string): void {
  harness.blackboard.setSection('failureDomains', {
    domains: [{name: failureDomain, state: 'out', revision: 1, changedAtMs: 0}],
  });
}

t.test('streams in a failure domain that is taken out', t => {
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
      const startedStreams = new Set<number>();
      const streams = Array.from({length: STREAMS}, (unused, index) =>
        harness.chat(`letter ${index}`, MAX_TOKENS, () => {
          if (startedStreams.size === STREAMS) return;
          startedStreams.add(index);
          if (startedStreams.size === STREAMS) void disturb(harness);
        }),
      );
      for (const {status, tokens} of await Promise.all(streams)) {
        t.equal(status, 200);
        t.equal(tokens.length, MAX_TOKENS, 'no token is missing or duplicated');
      }
      const maxOpen = getMaxOpenWhileCold(harness, 'cold');
      const {coldMaxRequests} = DEFAULT_ENGINE_PROFILE;
      t.ok(maxOpen > 0 && maxOpen <= coldMaxRequests, `${maxOpen} concurrent requests`);
    });
  }

  doTest(
    'do not exceed the capacity of a cold server that is already running',
    [WARM, COLD],
    harness => takeDomainOut(harness, 'oslo-a'),
  );
  doTest(
    'do not exceed the capacity of a cold server that starts afterwards',
    [WARM],
    async harness => {
      takeDomainOut(harness, 'oslo-a');
      await harness.startEngine(COLD);
    },
  );
  t.end();
});
