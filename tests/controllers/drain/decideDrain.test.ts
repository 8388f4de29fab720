/** Tests which attempts leave a draining backend server and how, and which requests a stopping entry hands over. */
import t from 'tap';
import {
  decideDrain,
  getRequestsToHandOver,
  type DrainView,
} from '../../../src/controllers/drain/index.js';
import {createServer} from '../../support/deployment.js';

const VIEW: DrainView = {
  server: createServer('a', {state: 'leaving', leavingAtMs: 10_000}),
  failureDomains: [],
  promptTokens: 8_000,
  passedTokens: 200,
  remainingTokens: 1_000,
  interTokenMs: 20,
  prefillTokensPerSecond: 4_000,
  cacheTokensPerSecond: 0,
};
const OUT = [{name: 'oslo-a', state: 'out', revision: 1, changedAtMs: 0}] as const;

t.test('decideDrain', t => {
  function doTest(name: string, view: Partial<DrainView>, expected: string) {
    t.test(name, t => {
      t.equal(decideDrain({...VIEW, ...view}, 0).kind, expected);
      t.end();
    });
  }

  doTest('stays at a live server', {server: createServer('a')}, 'stay');
  doTest('stays if it finishes within the notice', {remainingTokens: 100}, 'stay');
  doTest('replays if it does not finish within the notice', {}, 'replay');
  doTest('replays a request without a token limit', {remainingTokens: undefined}, 'replay');
  doTest('moves the cache if that is faster', {cacheTokensPerSecond: 20_000}, 'move-cache');
  doTest('replays if prefill is faster', {cacheTokensPerSecond: 3_000}, 'replay');
  doTest(
    'replays if the notice is too short to move the cache',
    {
      cacheTokensPerSecond: 20_000,
      server: createServer('a', {state: 'leaving', leavingAtMs: 1_200}),
    },
    'replay',
  );
  doTest(
    'replays if the failure domain is out',
    {server: createServer('a'), failureDomains: OUT},
    'replay',
  );
  t.end();
});

t.test('getRequestsToHandOver', t => {
  const request = {isIdempotent: true, remainingTokens: 10, interTokenMs: 20};
  const requests = [
    {...request, requestId: 'short'},
    {...request, requestId: 'long', remainingTokens: 10_000},
    {...request, requestId: 'endless', remainingTokens: undefined},
    {...request, requestId: 'booking', isIdempotent: false, remainingTokens: undefined},
  ];
  t.same(getRequestsToHandOver(requests, 10_000, 0), ['long', 'endless']);
  t.same(getRequestsToHandOver(requests, 2_000, 0), ['short', 'long', 'endless']);
  t.end();
});
