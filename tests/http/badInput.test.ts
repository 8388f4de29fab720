/**
 * Tests that invalid requests and abusive connections are refused with a specific error, and that other requests still
 * succeed.
 */
import {connect} from 'node:net';
import t from 'tap';
import {request} from 'undici';
import {CALLER_KEY, ServingHarness} from '../support/ServingHarness.js';

const HARNESS_BODY_LIMIT_BYTES = 1_000_000;
const CHAT = {model: 'guidance', messages: [{role: 'user', content: 'hello'}], max_tokens: 2};

interface Refusal {
  readonly error: {readonly kind: string; readonly run: string; readonly requestId: string};
}

interface Call {
  readonly path?: string;
  readonly key?: string;
  readonly body: string;
  readonly headers?: Readonly<Record<string, string>>;
}

async function withHarness(runTest: (harness: ServingHarness) => Promise<void>): Promise<void> {
  const harness = new ServingHarness({engines: [{instanceId: 'a'}]});
  await harness.start();
  try {
    await runTest(harness);
  } finally {
    await harness.stop();
  }
}

async function send(harness: ServingHarness, call: Call) {
  const answer = await request(harness.getUrl() + (call.path ?? '/v1/chat/completions'), {
    method: 'POST',
    headers: {authorization: `Bearer ${call.key ?? CALLER_KEY}`, ...call.headers},
    body: call.body,
  });
  return {status: answer.statusCode, value: (await answer.body.json()) as Refusal};
}

/** Sends text over a plain TCP connection and returns what is received until it closes or is idle for `waitMs`. */
function sendRaw(harness: ServingHarness, head: string, waitMs: number): Promise<string> {
  const {port, hostname} = new URL(harness.getUrl());
  return new Promise(resolve => {
    let text = '';
    const socket = connect(Number(port), hostname, () => socket.write(head));
    const finish = () => {
      socket.destroy();
      resolve(text);
    };
    socket.on('data', data => (text += data.toString()));
    socket.on('close', finish);
    socket.on('error', finish);
    socket.setTimeout(waitMs, finish);
  });
}

t.test('a bad request', async t => {
  const cases: ReadonlyArray<readonly [string, Call, number, string]> = [
    ['that is not JSON', {body: '{"model"'}, 400, 'bad-request'],
    ['without messages', {body: JSON.stringify({model: 'guidance'})}, 400, 'bad-request'],
    ['with an unknown model', {body: JSON.stringify({...CHAT, model: 'x'})}, 404, 'unknown-model'],
    ['with an unknown key', {body: JSON.stringify(CHAT), key: 'wrong'}, 401, 'unauthorized'],
    [
      'with an unknown class',
      {body: JSON.stringify(CHAT), headers: {'x-request-class': 'x'}},
      400,
      'bad-request',
    ],
    ['to an unknown path', {body: JSON.stringify(CHAT), path: '/v1/nothing'}, 404, 'not-found'],
    [
      'with too large a body',
      {body: ' '.repeat(HARNESS_BODY_LIMIT_BYTES + 1)},
      413,
      'body-too-large',
    ],
  ];
  await withHarness(async harness => {
    for (const [name, call, status, kind] of cases) {
      await t.test(name, async t => {
        const answer = await send(harness, call);
        t.equal(answer.status, status);
        t.equal(answer.value.error.kind, kind);
        t.equal(answer.value.error.run, 'not-run');
        t.ok(answer.value.error.requestId);
      });
    }
    await t.test('does not affect the next request', async t => {
      t.equal((await harness.chat('hello', 3)).tokens.length, 3);
    });
  });
});

t.test('an abusive connection', async t => {
  const start = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${CALLER_KEY}\r\n`;
  await withHarness(async harness => {
    await t.test('with too many headers is refused', async t => {
      const filler = `x-filler: ${'y'.repeat(20_000)}\r\n`;
      t.match(await sendRaw(harness, `${start}${filler}\r\n`, 5_000), /^HTTP\/1\.1 431 /);
    });
    await t.test('that sends its body too slowly is refused', async t => {
      const text = await sendRaw(harness, `${start}content-length: 100\r\n\r\n{"mod`, 5_000);
      t.match(text, /^HTTP\/1\.1 408 /);
      t.match(text, /"kind":"body-timeout"/);
    });
    await t.test('does not affect the next request', async t => {
      t.equal((await harness.chat('hello', 3)).tokens.length, 3);
    });
  });
});

t.test('a caller that disconnects during a stream', async t => {
  await withHarness(async harness => {
    const disconnecting = new AbortController();
    const answer = await request(`${harness.getUrl()}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${CALLER_KEY}`},
      body: JSON.stringify({...CHAT, stream: true, max_tokens: 100_000}),
      signal: disconnecting.signal,
    });
    answer.body.on('error', () => undefined);
    await new Promise(resolve => answer.body.once('data', resolve));
    disconnecting.abort();
    const ledger = harness.getEngine('a').getLedger();
    await t.test('frees its slot at the engine', async t => {
      while (ledger.getEntries()[0].end === 'running') {
        await new Promise(resolve => setTimeout(resolve, 20));
      }
      t.equal(ledger.getEntries()[0].end, 'cancelled');
      t.equal(harness.serving.tracker.getOpenRequests('a'), 0);
    });
  });
});
