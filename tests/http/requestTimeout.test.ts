/** Tests of the timeout that callers set with `X-Request-Timeout-Ms`. */
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {request} from 'undici';
import type {Service} from '../../src/configuration/index.js';
import {GUIDANCE} from '../support/deployment.js';
import {CALLER_KEY, ServingHarness} from '../support/ServingHarness.js';

const CHAT = {model: 'guidance', messages: [{role: 'user', content: 'hello there'}], max_tokens: 2};
const SERVICE_TIMEOUT_MS = 60_000;
const BOOKING: Service = {
  ...GUIDANCE,
  name: 'booking',
  kind: 'plain',
  routes: [{pathPrefix: '/', methods: ['POST'], isIdempotent: false}],
};
const SEARCH: Service = {
  ...GUIDANCE,
  name: 'search',
  kind: 'plain',
  routes: [{pathPrefix: '/', methods: ['GET'], isIdempotent: true}],
};

interface Refusal {
  readonly error: {readonly kind: string; readonly run: string; readonly message: string};
}

function send(harness: ServingHarness, timeoutMs: string, bodyChanges: object = {}) {
  return request(`${harness.getUrl()}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${CALLER_KEY}`, 'x-request-timeout-ms': timeoutMs},
    body: JSON.stringify({...CHAT, ...bodyChanges}),
  });
}

t.test('x-request-timeout-ms', async t => {
  const harness = new ServingHarness({
    engines: [{instanceId: 'a', profile: {prefillTokensPerSecond: 100}}],
    service: {requestTimeoutMs: SERVICE_TIMEOUT_MS},
    otherServices: [SEARCH],
  });
  await harness.start();
  t.teardown(() => harness.stop());
  const getRuns = () => harness.getEngine('a').getLedger().getEntries();

  for (const value of [
    '',
    '0',
    '-5',
    '1.5',
    '1e3',
    '0x10',
    'soon',
    '60001',
    '5, 5',
    '9'.repeat(400),
  ]) {
    await t.test(`is refused as ${JSON.stringify(value.slice(0, 10))}`, async t => {
      const answer = await send(harness, value);
      const {error} = (await answer.body.json()) as Refusal;
      t.equal(answer.statusCode, 400);
      t.equal(error.kind, 'bad-request');
      t.equal(error.run, 'not-run');
      t.match(error.message, /X-Request-Timeout-Ms/);
    });
  }
  await t.test('is refused for a plain service too', async t => {
    const answer = await request(`${harness.getUrl()}/v1/services/search/x`, {
      headers: {authorization: `Bearer ${CALLER_KEY}`, 'x-request-timeout-ms': 'soon'},
    });
    t.equal(answer.statusCode, 400);
    t.equal(((await answer.body.json()) as Refusal).error.kind, 'bad-request');
  });
  for (const value of ['60000', '59999']) {
    await t.test(`is accepted as ${value}`, async t => {
      const answer = await send(harness, value);
      await answer.body.dump();
      t.equal(answer.statusCode, 200);
    });
  }
  await t.test(
    'refuses a request at once that cannot meet its deadline, and sends nothing',
    async t => {
      const earlierRuns = getRuns().length;
      const content = 'a long prompt '.repeat(100);
      const answer = await send(harness, '200', {messages: [{role: 'user', content}]});
      const {error} = (await answer.body.json()) as Refusal;
      t.equal(error.kind, 'deadline-unreachable');
      t.equal(error.run, 'not-run');
      t.equal(getRuns().length, earlierRuns);
    },
  );
  await t.test('cancels a response that takes longer', async t => {
    const answer = await send(harness, '3000', {max_tokens: 1_000_000});
    const {error} = (await answer.body.json()) as Refusal;
    t.equal(error.kind, 'backend-timeout');
    t.equal(error.run, 'unknown');
    while (getRuns().some(({end}) => end === 'running')) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    t.equal(getRuns().at(-1)?.end, 'cancelled', 'the engine cancelled the request');
  });
});

t.test('a claim that is granted after the deadline', async t => {
  const timeoutMs = 100;
  const outcomes: object[] = [];
  const harness = new ServingHarness({
    engines: [{instanceId: 'b', service: 'booking'}],
    otherServices: [BOOKING],
    claims: {
      claim: async () => {
        await sleep(2 * timeoutMs);
        return {verdict: 'granted', isKnownNotRun: false};
      },
      recordOutcome: outcome => Promise.resolve(outcomes.push(outcome) > 0),
    },
  });
  await harness.start();
  t.teardown(() => harness.stop());
  const answer = await request(`${harness.getUrl()}/v1/services/booking/book`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${CALLER_KEY}`,
      'x-request-timeout-ms': String(timeoutMs),
      'idempotency-key': 'k',
    },
  });
  const {error} = (await answer.body.json()) as Refusal;
  t.equal(error.kind, 'deadline-unreachable');
  t.equal(error.run, 'not-run', 'nothing was sent');
  t.match(outcomes, [{key: 'k', run: 'not-run'}]);
});
