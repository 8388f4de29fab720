/** Tests that requests which wait for the last free slot at a backend server get it one after another. */
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {chooseBackendServer, type ChooseServer} from '../../src/controllers/routing/index.js';
import {ServingHarness} from '../support/ServingHarness.js';

const CALLERS = 8;
const POLL_MS = 10;

t.test('admitted requests that wait for the only free slot', async t => {
  const waiting = new Set<number>();
  const chooseServer: ChooseServer = (view, request, ...rest) => {
    waiting.add(request.promptTokens);
    const isFull = waiting.size < CALLERS || view.getOpenRequests('a') > 0;
    if (isFull) return {kind: 'refused', errorKind: 'overloaded', reason: 'no free slot'};
    return chooseBackendServer(view, request, ...rest);
  };
  const harness = new ServingHarness({
    engines: [{instanceId: 'a'}],
    service: {maxConcurrentRequests: 4 * CALLERS, coldConcurrentRequests: 4 * CALLERS},
    chooseServer,
  });
  await harness.start();
  t.teardown(() => harness.stop());
  const callers = Array.from({length: CALLERS}, (unused, index) =>
    harness.chat('hello '.repeat(index + 1), 2),
  );
  while (waiting.size < CALLERS) await sleep(POLL_MS);
  const answers = await Promise.all(callers);
  t.same(
    answers.map(({status}) => status),
    answers.map(() => 200),
  );
  const openRequests = harness
    .getEngine('a')
    .getLedger()
    .getEntries()
    .map(entry => entry.openRequests);
  t.same(
    openRequests,
    answers.map(() => 1),
    'one request is open at a time',
  );
});
