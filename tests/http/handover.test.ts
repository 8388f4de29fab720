/** Tests of requests that a stopping entry hands over to another one while they run. */
import t, {type Test} from 'tap';
import {request} from 'undici';
import {createResponseText} from '../../standins/index.js';
import {renderChatPrompt} from '../../src/utils/index.js';
import {CALLER_KEY, ServingHarness, callStream} from '../support/ServingHarness.js';

const QUESTION = 'when is the audit';
const MAX_TOKENS = 60;
const EXPECTED = createResponseText(
  renderChatPrompt([{role: 'user', content: QUESTION}]),
  MAX_TOKENS,
);

async function startTwo(t: Test): Promise<readonly [ServingHarness, ServingHarness]> {
  const stopping = new ServingHarness({engines: [{instanceId: 'a'}]});
  const staying = new ServingHarness({engines: [{instanceId: 'b'}]});
  await Promise.all([stopping.start(), staying.start()]);
  t.teardown(() => Promise.all([stopping.stop(), staying.stop()]));
  return [stopping, staying];
}

t.test(
  'a stream continues at another entry after the last token that the caller received',
  async t => {
    const [stopping, staying] = await startTwo(t);
    const first = await stopping.chat(QUESTION, MAX_TOKENS, count => {
      if (count === 20) stopping.handOverTo(staying);
    });
    const moved = /event: moved\ndata: (.*)\n/.exec(first.body);
    t.ok(moved, 'the stream ends with the location of the rest');
    t.ok(first.tokens.length < MAX_TOKENS);
    const {location} = JSON.parse(moved?.[1] ?? '{}') as {readonly location: string};
    const second = await callStream(location, undefined, undefined, first.tokens.length);
    t.equal([...first.tokens, ...second.tokens].join(''), EXPECTED);
    t.match(second.body, 'data: [DONE]');
    const repeated = await callStream(location, undefined, undefined, first.tokens.length - 5);
    t.equal(
      repeated.tokens.length,
      second.tokens.length + 5,
      'tokens that the caller did not receive are sent again',
    );
    const [run] = stopping.getEngine('a').getLedger().getEntries();
    t.equal(run.end, 'cancelled');
  },
);

t.test('a non-streamed response is fetched from another entry', async t => {
  const [stopping, staying] = await startTwo(t);
  const pendingResponse = stopping.chatWithoutStream(QUESTION, MAX_TOKENS);
  setTimeout(() => stopping.handOverTo(staying), 100);
  const {status, location} = await pendingResponse;
  t.equal(status, 303);
  const headers = {authorization: `Bearer ${CALLER_KEY}`};
  const answer = await request(location, {headers});
  const body = (await answer.body.json()) as {
    readonly choices: ReadonlyArray<{readonly message: {readonly content: string}}>;
  };
  t.equal(body.choices[0].message.content, EXPECTED);
});

t.test('a request that no peer accepts is finished at the stopping entry', async t => {
  const [stopping, staying] = await startTwo(t);
  staying.blackboard.setSection('configuration', {
    revision: 0,
    configuration: undefined,
    confirmedAtMs: 0,
  });
  const {tokens} = await stopping.chat(QUESTION, MAX_TOKENS, count => {
    if (count === 20) stopping.handOverTo(staying);
  });
  t.equal(tokens.join(''), EXPECTED);
});
