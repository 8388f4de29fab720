/** Tests of the HTTP API and the faults of the stand-in engine. */
import t from 'tap';
import {request} from 'undici';
import {createResponseText, DEFAULT_ENGINE_PROFILE, ModelEngine} from '../../../standins/index.js';
import type {FaultsInput} from '../../../standins/index.js';

const PROFILE = {...DEFAULT_ENGINE_PROFILE, timeScale: 10, coldMaxRequests: 2};
const CHAT = {model: 'guidance', messages: [{role: 'user', content: 'hello there'}], max_tokens: 6};
const CHAT_TEXT = createResponseText('<user>\nhello there\n<assistant>\n', 6);

async function startEngine(isColdAtStart = false) {
  const downs: string[] = [];
  const engine = new ModelEngine({
    address: '127.0.0.1',
    port: 0,
    identity: {
      instanceId: 'e1',
      service: 'guidance',
      version: 'v1',
      failureDomain: 'a',
      machineClass: 'standard',
      market: 'reclaimable',
    },
    profile: PROFILE,
    isColdAtStart,
    honoursFencingTokens: true,
    loadLagMs: 100,
    cacheEventDelayMs: 0,
    loadVersionMs: 0,
    random: () => 0,
    onDown: reason => downs.push(reason),
  });
  await engine.start();
  const url = `http://127.0.0.1:${engine.getPort()}`;
  const call = async (method: 'GET' | 'POST' | 'PUT', path: string, body?: object) => {
    const answer = await request(url + path, {method, body: body && JSON.stringify(body)});
    return {status: answer.statusCode, text: await answer.body.text()};
  };
  const setFaults = (faults: FaultsInput) => call('PUT', '/standin/faults', faults);
  return {engine, url, call, setFaults, downs};
}

t.test('ModelEngine', t => {
  t.test('returns a complete response with usage', async t => {
    const {engine, call} = await startEngine();
    t.teardown(() => engine.stop());
    const answer = JSON.parse((await call('POST', '/v1/chat/completions', CHAT)).text);
    t.equal(answer.choices[0].message.content, CHAT_TEXT);
    t.equal(answer.usage.completion_tokens, 6);
  });

  t.test('resumes after the last message if it is to be continued', async t => {
    const {engine, call} = await startEngine();
    t.teardown(() => engine.stop());
    const firstPart = createResponseText('<user>\nhello there\n<assistant>\n', 2);
    const resumed = {
      ...CHAT,
      messages: [...CHAT.messages, {role: 'assistant', content: firstPart}],
      continue_final_message: true,
      add_generation_prompt: false,
      max_tokens: 4,
    };
    const answer = JSON.parse((await call('POST', '/v1/chat/completions', resumed)).text);
    t.equal(firstPart + answer.choices[0].message.content, CHAT_TEXT);
  });

  t.test('streams one token per chunk and ends with [DONE]', async t => {
    const {engine, call} = await startEngine();
    t.teardown(() => engine.stop());
    const {text} = await call('POST', '/v1/chat/completions', {...CHAT, stream: true});
    const tokens = [...text.matchAll(/"content":"(w\d+ )"/g)].map(match => match[1]);
    t.equal(tokens.join(''), CHAT_TEXT);
    t.match(text, /data: \[DONE\]\n\n$/);
  });

  t.test('cancels the run when the caller closes the connection', async t => {
    const {engine, url} = await startEngine();
    t.teardown(() => engine.stop());
    const callerAbort = new AbortController();
    const answer = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({...CHAT, stream: true, max_tokens: 100_000}),
      signal: callerAbort.signal,
    });
    callerAbort.abort();
    await answer.body.text().catch(() => undefined);
    const [entry] = engine.getLedger().getEntries();
    while (entry.end === 'running') await new Promise(resolve => setTimeout(resolve, 5));
    t.equal(entry.end, 'cancelled');
  });

  t.test('serves a repeated prompt from the prefix cache, and publishes cache events', async t => {
    const {engine, call} = await startEngine();
    t.teardown(() => engine.stop());
    const content = Array.from({length: 60}, (unused, index) => `word${index}`).join(' ');
    const long = {...CHAT, messages: [{role: 'user', content}]};
    await call('POST', '/v1/chat/completions', long);
    const answer = JSON.parse((await call('POST', '/v1/chat/completions', long)).text);
    t.equal(answer.usage.prompt_tokens_details.cached_tokens, 48);
    const {events} = JSON.parse((await call('GET', '/cache/events?from=0')).text);
    t.ok(events.length >= 3);
  });

  t.test('reuses an imported KV cache instead of recomputing the prompt', async t => {
    const [from, to] = [await startEngine(), await startEngine()];
    t.teardown(() => Promise.all([from.engine.stop(), to.engine.stop()]));
    const content = Array.from({length: 60}, (unused, index) => `word${index}`).join(' ');
    const long = {...CHAT, messages: [{role: 'user', content}], stream: true, max_tokens: 1_000};
    const running = await request(`${from.url}/v1/chat/completions`, {
      method: 'POST',
      headers: {'x-request-id': 'r1'},
      body: JSON.stringify(long),
    });
    const exported = await from.call('POST', '/cache/export', {requestId: 'r1'});
    const {kvId} = JSON.parse(exported.text);
    const source = {kvId, fromAddress: '127.0.0.1', fromPort: from.engine.getPort()};
    await to.call('POST', '/cache/import', source);
    running.body.destroy();
    running.body.on('error', () => undefined);
    const answered = await to.call('POST', '/v1/chat/completions', {
      ...long,
      stream: false,
      max_tokens: 1,
    });
    t.equal(JSON.parse(answered.text).usage.prompt_tokens_details.cached_tokens, 48);
  });

  t.test('rejects an order with an outdated fencing token', async t => {
    const {engine, call} = await startEngine();
    t.teardown(() => engine.stop());
    const order = {order: 'role', service: 'guidance', version: 'v1', role: 'prefill'};
    t.equal((await call('POST', '/orders', {...order, fencingToken: 7})).status, 200);
    const refused = await call('POST', '/orders', {...order, fencingToken: 6});
    t.same([refused.status, JSON.parse(refused.text)], [409, {highestToken: 7}]);
  });

  t.test('crashes when it is cold and has too many open requests', async t => {
    const {call, engine, downs} = await startEngine(true);
    const calls = Array.from({length: 3}, () =>
      call('POST', '/v1/chat/completions', CHAT).then(
        ({status}) => status,
        () => 'broken',
      ),
    );
    t.same(await Promise.all(calls), ['broken', 'broken', 'broken']);
    t.same(downs, ['crashed']);
    t.ok(
      engine
        .getLedger()
        .getEntries()
        .every(({end}) => end === 'crashed'),
    );
  });

  t.test('faults', t => {
    function doTest(name: string, faults: FaultsInput, expected: number | 'broken') {
      t.test(name, async t => {
        const {engine, call, setFaults, downs} = await startEngine();
        await setFaults(faults);
        const status = await call('POST', '/v1/chat/completions', CHAT).then(
          answer => answer.status,
          () => 'broken' as const,
        );
        t.equal(status, expected);
        if (downs.length === 0) await engine.stop();
      });
    }

    doTest('bad version fails', {badVersion: {effect: 'fail'}}, 500);
    doTest(
      'bad version before its fault takes effect',
      {badVersion: {effect: 'fail', afterMs: 60_000}},
      200,
    );
    doTest(
      'bad version with too few running requests',
      {badVersion: {effect: 'fail', minRunningRequests: 2}},
      200,
    );
    doTest(
      'bad version on another route',
      {badVersion: {effect: 'fail', pathPrefix: '/v1/completions'}},
      200,
    );
    doTest('outage', {hasOutage: true}, 503);
    doTest('lost response', {loseAnswersPercent: 100}, 'broken');
    doTest('crash caused by the body', {crashOnBodyText: 'hello'}, 'broken');
    t.end();
  });
  t.end();
});
