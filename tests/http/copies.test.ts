/** Tests of copies of one request that run at one entry when a server dies under one of them. */
import t from 'tap';
import {createAnswer} from '../../standins/index.js';
import {renderChatPrompt} from '../../src/utils/index.js';
import {ServingHarness} from '../support/ServingHarness.js';

const CONTENT = 'a question that two callers ask at once';
const TOKENS = 60;
const SEEN_TOKENS = 10;

t.test('a copy of a suspect', async t => {
  const engines = ['a', 'b', 'c'].map(instanceId => ({instanceId}));
  const harness = new ServingHarness({engines, service: {maxConcurrentRequests: 1}});
  await harness.start();
  t.teardown(() => harness.stop());
  const getEntries = (id: string) => harness.getEngine(id).getLedger().getEntries();
  const getBusy = () =>
    harness.getRunning().filter(id => getEntries(id).some(({end}) => end === 'running'));
  let surviving: string | undefined;
  const counts = [0, 0];
  const answers = await Promise.all(
    counts.map((unused, index) =>
      harness.chat(CONTENT, TOKENS, count => {
        counts[index] = count;
        if (surviving !== undefined || counts.some(seen => seen < SEEN_TOKENS)) return;
        const [first, second] = getBusy();
        surviving = second;
        void harness.kill(first);
      }),
    ),
  );
  const expected = createAnswer(renderChatPrompt([{role: 'user', content: CONTENT}]), TOKENS);
  for (const {tokens} of answers) t.equal(tokens.join(''), expected, 'its answer is whole');
  t.ok(surviving);
  t.equal(getEntries(surviving ?? '')[0].end, 'cancelled', 'the other copy was stopped');
});
