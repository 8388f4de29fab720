/** Unit tests of placement: the policy, server loads, the rate limit of cold servers, and server health. */
import t from 'tap';
import type {KnownServer} from '../../../src/catalog/index.js';
import {
  ServerRateLimiter,
  ServerHealth,
  ServerLoads,
  ServerPauses,
  choosePlacement,
  type PlacementView,
  type PromptPart,
} from '../../../src/controllers/placement/index.js';
import {getTextKey} from '../../../src/utils/index.js';
import {createServer} from '../../exchange/exchangeFixtures.js';

const SERVERS: readonly KnownServer[] = ['s1', 's2', 's3', 's4'].map(id => createServer(id));
const NONE: ReadonlySet<string> = new Set();

function createView(fields: Partial<PlacementView> = {}): PlacementView {
  return {
    servers: SERVERS,
    getLoad: () => ({openRequests: 0, pendingPromptTokens: 0}),
    getFailureRate: () => 0,
    getPauseMs: () => 0,
    isInBackoff: () => false,
    hasColdCapacity: () => true,
    hasLimitCapacity: () => true,
    ...fields,
  };
}

function createPrompt(subject: string): readonly PromptPart[] {
  return [
    {id: 'system', tokens: 500},
    {id: subject, tokens: 5_000},
    {id: `own-${subject}`, tokens: 100},
  ];
}

function chooseId(
  view: PlacementView,
  promptParts: readonly PromptPart[] = [],
  attemptedServerIds = NONE,
  random = () => 0.5,
): string {
  const decision = choosePlacement(view, {promptParts, attemptedServerIds}, random);
  return decision.kind === 'chosen' ? decision.server.entry.id : decision.reason;
}

t.test('choosePlacement', t => {
  t.test('a paused server gets nothing, whatever else holds for it', t => {
    const pausesMs: Readonly<Record<string, number>> = {s1: 900, s2: 400};
    const getPauseMs = ({entry}: KnownServer) => pausesMs[entry.id] ?? 0;
    t.match(chooseId(createView({getPauseMs})), /s[34]/);
    const isInBackoff = () => true;
    t.match(chooseId(createView({getPauseMs, isInBackoff})), /s[34]/, 'not even before a backoff');
    const servers = SERVERS.slice(0, 2);
    const none = choosePlacement(
      createView({servers, getPauseMs}),
      {promptParts: [], attemptedServerIds: NONE},
      () => 0,
    );
    t.same(none, {kind: 'none', reason: 'paused', retryAfterMs: 400}, 'the soonest return');
    t.equal(chooseId(createView({getPauseMs, hasLimitCapacity: () => false})), 'limited');
    t.end();
  });

  t.test('the pause of a server does not bind its next start', t => {
    const pauses = new ServerPauses();
    pauses.addPause({id: 's1', startedAtMs: 1}, 500, 1_000);
    pauses.addPause({id: 's1', startedAtMs: 1}, 100, 1_000);
    t.equal(pauses.getRemainingMs({id: 's1', startedAtMs: 1}, 1_200), 300);
    t.equal(pauses.getRemainingMs({id: 's1', startedAtMs: 2}, 1_200), 0);
    t.equal(pauses.getRemainingMs({id: 's1', startedAtMs: 1}, 1_500), 0);
    t.end();
  });

  t.test('sends requests with the same shared segments to the same server', t => {
    const view = createView();
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(subject =>
      chooseId(view, createPrompt(subject)),
    );
    t.equal(new Set(ids).size > 1, true);
    t.same(
      ids,
      ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(subject =>
        chooseId(view, createPrompt(subject)),
      ),
    );
    t.end();
  });

  t.test('avoids a busy server although it has cached the shared segments', t => {
    const preferred = chooseId(createView(), createPrompt('a'));
    const view = createView({
      getLoad: id => ({openRequests: 0, pendingPromptTokens: id === preferred ? 60_000 : 0}),
    });
    t.not(chooseId(view, createPrompt('a')), preferred);
    t.end();
  });

  t.test('avoids a server without a free slot although it has cached the shared segments', t => {
    const preferred = chooseId(createView(), createPrompt('a'));
    const view = createView({
      getLoad: id => ({openRequests: id === preferred ? 8 : 7, pendingPromptTokens: 0}),
    });
    t.not(chooseId(view, createPrompt('a')), preferred);
    t.end();
  });

  t.test('sends plain requests to the server with the fewest open requests', t => {
    const view = createView({
      getLoad: id => ({openRequests: id === 's3' ? 1 : 5, pendingPromptTokens: 0}),
    });
    t.equal(chooseId(view), 's3');
    t.end();
  });

  t.test('avoids servers that fail or cannot be reached', t => {
    t.equal(chooseId(createView({getFailureRate: id => (id === 's2' ? 0 : 0.5)})), 's2');
    t.equal(chooseId(createView({isInBackoff: id => id !== 's4'})), 's4');
    t.match(chooseId(createView({isInBackoff: () => true})), /^s/);
    t.end();
  });

  t.test('returns the reason if no server is chosen', t => {
    t.equal(chooseId(createView({servers: []})), 'no-server');
    t.equal(chooseId(createView(), [], new Set(['s1', 's2', 's3', 's4'])), 'all-tried');
    t.equal(chooseId(createView({hasColdCapacity: () => false})), 'cold');
    t.equal(chooseId(createView({hasLimitCapacity: () => false})), 'limited');
    t.end();
  });
  t.end();
});

t.test('ServerLoads', t => {
  t.test('adds own requests at once and those of other gateways until their reports expire', t => {
    const loads = new ServerLoads();
    loads.addRequest('s1', 400);
    loads.addRequest('s1', 100);
    const report = new Map([[getTextKey('s1'), {openRequests: 5, pendingPromptTokens: 50}]]);
    loads.applyPeerReport('g2', report, 0);
    t.same(loads.getLoad('s1', 100), {openRequests: 7, pendingPromptTokens: 550});
    loads.removePrompt('s1', 400);
    loads.removeRequest('s1');
    t.same(loads.getLoad('s1', 5_000), {openRequests: 1, pendingPromptTokens: 100});
    loads.removeRequest('s1');
    t.same(loads.getLoad('s1', 5_000), {openRequests: 0, pendingPromptTokens: 0});
    t.end();
  });
  t.end();
});

t.test('ServerRateLimiter', t => {
  t.test('keeps all gateways together within the rate that a cold server sustains', t => {
    const limiters = Array.from({length: 9}, () => new ServerRateLimiter(0.9));
    const limit = {requestsPerSecond: 18, gateways: 9};
    let sent = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      for (const limiter of limiters) {
        if (!limiter.hasCapacity('s1', limit, nowMs)) continue;
        limiter.addRequest('s1', limit, nowMs);
        sent += 1;
      }
    }
    t.ok(sent <= 18 * 10 + 9, `${sent}`);
    t.ok(sent >= 18 * 10 * 0.8, `${sent}`);
    t.end();
  });
  t.end();
});

t.test('ServerHealth', t => {
  t.test('doubles the backoff of a server with each attempt that cannot reach it', t => {
    const health = new ServerHealth();
    health.addOutcome('s1', 'unreachable', 0);
    t.ok(health.isInBackoff('s1', 499));
    t.notOk(health.isInBackoff('s1', 500));
    health.addOutcome('s1', 'unreachable', 500);
    t.ok(health.isInBackoff('s1', 1_499));
    health.addOutcome('s1', 'good', 1_500);
    health.addOutcome('s1', 'unreachable', 2_000);
    t.notOk(health.isInBackoff('s1', 2_500));
    t.end();
  });
  t.test('decays the failure rate over time', t => {
    const health = new ServerHealth();
    for (let attempt = 0; attempt < 10; attempt += 1) health.addOutcome('s1', 'failed', 0);
    t.ok(health.getFailureRate('s1', 0) > 0.8);
    t.ok(health.getFailureRate('s1', 10_000) < 0.05);
    t.end();
  });
  t.end();
});
