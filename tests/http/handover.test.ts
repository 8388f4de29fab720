/** Tests of an entry that stops while it answers. */
import t, {type Test} from 'tap';
import {request} from 'undici';
import {createAnswer} from '../../standins/index.js';
import {renderChatPrompt} from '../../src/utils/index.js';
import {CALLER_KEY, ServingHarness, callStream} from '../support/ServingHarness.js';

const QUESTION = 'when is the audit';
const MAX_TOKENS = 60;
const EXPECTED = createAnswer(renderChatPrompt([{role: 'user', content: QUESTION}]), MAX_TOKENS);

async function startTwo(t: Test): Promise<readonly [ServingHarness, ServingHarness]> {
  const stopping = new ServingHarness({engines: [{instanceId: 'a'}]});
  const staying = new ServingHarness({engines: [{instanceId: 'b'}]});
  await Promise.all([stopping.start(), staying.start()]);
  t.teardown(() => Promise.all([stopping.stop(), staying.stop()]));
  return [stopping, staying];
}

t.test('a stream goes on at another entry after the last token that the caller got', async t => {
  const [stopping, staying] = await startTwo(t);
  const first = await stopping.chat(QUESTION, MAX_TOKENS, count => {
    if (count === 20) stopping.handOverTo(staying);
  });
  const moved = /event: moved\ndata: (.*)\n/.exec(first.body);
  t.ok(moved, 'the caller is told where the rest is');
  t.ok(first.tokens.length < MAX_TOKENS);
  const {location} = JSON.parse(moved?.[1] ?? '{}') as {readonly location: string};
  const second = await callStream(location, undefined, undefined, first.tokens.length);
  t.equal([...first.tokens, ...second.tokens].join(''), EXPECTED);
  t.match(second.body, 'data: [DONE]');
  const lost = await callStream(location, undefined, undefined, first.tokens.length - 5);
  t.equal(lost.tokens.length, second.tokens.length + 5, 'tokens lost on the way come again');
  const [run] = stopping.getEngine('a').getLedger().getEntries();
  t.equal(run.end, 'cancelled');
});

t.test('a whole answer is fetched at another entry', async t => {
  const [stopping, staying] = await startTwo(t);
  const answering = stopping.chatWhole(QUESTION, MAX_TOKENS);
  setTimeout(() => stopping.handOverTo(staying), 100);
  const {status, location} = await answering;
  t.equal(status, 303);
  const headers = {authorization: `Bearer ${CALLER_KEY}`};
  const answer = await request(location, {headers});
  const body = (await answer.body.json()) as {
    readonly choices: ReadonlyArray<{readonly message: {readonly content: string}}>;
  };
  t.equal(body.choices[0].message.content, EXPECTED);
});

t.test('a request that no peer takes is finished here', async t => {
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
