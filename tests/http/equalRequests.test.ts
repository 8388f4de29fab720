/** Tests equal requests that run at different servers through one entry when one of the servers crashes. */
import t from 'tap';
import {createResponseText} from '../../standins/index.js';
import {renderChatPrompt} from '../../src/utils/index.js';
import {ServingHarness} from '../support/ServingHarness.js';

const CONTENT = 'a question that two callers ask at once';
const TOKENS = 60;
const MIN_RECEIVED_TOKENS = 10;

t.test('a request equal to a suspected one', async t => {
  const engines = ['a', 'b', 'c'].map(instanceId => ({instanceId}));
  const harness = new ServingHarness({engines, service: {maxConcurrentRequests: 1}});
  await harness.start();
  t.teardown(() => harness.stop());
  const getEntries = (id: string) => harness.getEngine(id).getLedger().getEntries();
  const getBusyServers = () =>
    harness.getRunningEngineIds().filter(id => getEntries(id).some(({end}) => end === 'running'));
  let survivor: string | undefined;
  const counts = [0, 0];
  const answers = await Promise.all(
    counts.map((unused, index) =>
      harness.chat(CONTENT, TOKENS, count => {
        counts[index] = count;
        if (survivor !== undefined || counts.some(received => received < MIN_RECEIVED_TOKENS))
          return;
        const [first, second] = getBusyServers();
        survivor = second;
        void harness.kill(first);
      }),
    ),
  );
  const expected = createResponseText(renderChatPrompt([{role: 'user', content: CONTENT}]), TOKENS);
  for (const {tokens} of answers) t.equal(tokens.join(''), expected, 'its response is complete');
  t.ok(survivor);
  t.equal(
    getEntries(survivor ?? '')[0].end,
    'cancelled',
    'the attempt at the other server was stopped',
  );
});
