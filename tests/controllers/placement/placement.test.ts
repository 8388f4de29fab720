/** Where requests are placed, and what each backend server is known to carry. */
import t from 'tap';
import type {KnownServer} from '../../../src/catalog/index.js';
import {
  ColdGate,
  ServerHealth,
  ServerLoads,
  choosePlacement,
  type PlacementView,
  type PromptPart,
} from '../../../src/controllers/placement/index.js';
import {createServer} from '../../exchange/exchangeFixtures.js';

const SERVERS: readonly KnownServer[] = ['s1', 's2', 's3', 's4'].map(id => createServer(id));
const NONE: ReadonlySet<string> = new Set();

function createView(fields: Partial<PlacementView> = {}): PlacementView {
  return {
    servers: SERVERS,
    getLoad: () => ({openRequests: 0, pendingPromptTokens: 0}),
    getFailureShare: () => 0,
    isAvoided: () => false,
    hasColdRoom: () => true,
    ...fields,
  };
}

function prompt(subject: string): readonly PromptPart[] {
  return [
    {id: 'system', tokens: 500},
    {id: subject, tokens: 5_000},
    {id: `own-${subject}`, tokens: 100},
  ];
}

function chooseId(
  view: PlacementView,
  promptParts: readonly PromptPart[] = [],
  triedIds = NONE,
  random = () => 0.5,
): string {
  const decision = choosePlacement(view, {promptParts, triedIds}, random);
  return decision.kind === 'chosen' ? decision.server.entry.id : decision.reason;
}

t.test('choosePlacement', t => {
  t.test('requests with the same shared parts go to the same server', t => {
    const view = createView();
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(subject =>
      chooseId(view, prompt(subject)),
    );
    t.equal(new Set(ids).size > 1, true);
    t.same(
      ids,
      ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(subject => chooseId(view, prompt(subject))),
    );
    t.end();
  });

  t.test('a busy server is left although it holds the shared parts', t => {
    const preferred = chooseId(createView(), prompt('a'));
    const view = createView({
      getLoad: id => ({openRequests: 0, pendingPromptTokens: id === preferred ? 60_000 : 0}),
    });
    t.not(chooseId(view, prompt('a')), preferred);
    t.end();
  });

  t.test('plain requests go where the fewest are open', t => {
    const view = createView({
      getLoad: id => ({openRequests: id === 's3' ? 1 : 5, pendingPromptTokens: 0}),
    });
    t.equal(chooseId(view), 's3');
    t.end();
  });

  t.test('servers that fail or cannot be reached are passed over', t => {
    t.equal(chooseId(createView({getFailureShare: id => (id === 's2' ? 0 : 0.5)})), 's2');
    t.equal(chooseId(createView({isAvoided: id => id !== 's4'})), 's4');
    t.match(chooseId(createView({isAvoided: () => true})), /^s/);
    t.end();
  });

  t.test('says why there is none', t => {
    t.equal(chooseId(createView({servers: []})), 'no-server');
    t.equal(chooseId(createView(), [], new Set(['s1', 's2', 's3', 's4'])), 'all-tried');
    t.equal(chooseId(createView({hasColdRoom: () => false})), 'cold');
    t.end();
  });
  t.end();
});

t.test('ServerLoads', t => {
  t.test('adds own requests at once and those of others until they fall silent', t => {
    const loads = new ServerLoads();
    loads.addRequest('s1', 400);
    loads.addRequest('s1', 100);
    loads.setPeer('g2', new Map([['s1', {openRequests: 5, pendingPromptTokens: 50}]]), 0);
    t.same(loads.getLoad('s1', 100), {openRequests: 7, pendingPromptTokens: 550});
    loads.endPrompt('s1', 400);
    loads.endRequest('s1');
    t.same(loads.getLoad('s1', 5_000), {openRequests: 1, pendingPromptTokens: 100});
    loads.endRequest('s1');
    t.same(loads.getLoad('s1', 5_000), {openRequests: 0, pendingPromptTokens: 0});
    t.end();
  });
  t.end();
});

t.test('ColdGate', t => {
  t.test('all gateways together send no more than a cold server bears', t => {
    const gates = Array.from({length: 9}, () => new ColdGate());
    const limit = {requestsPerSecond: 18, gateways: 9};
    let sent = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      for (const gate of gates) {
        if (!gate.hasRoom('s1', limit, nowMs)) continue;
        gate.addRequest('s1', limit, nowMs);
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
  t.test('pauses a server that cannot be reached for longer and longer', t => {
    const health = new ServerHealth();
    health.addOutcome('s1', 'unreachable', 0);
    t.ok(health.isAvoided('s1', 499));
    t.notOk(health.isAvoided('s1', 500));
    health.addOutcome('s1', 'unreachable', 500);
    t.ok(health.isAvoided('s1', 1_499));
    health.addOutcome('s1', 'good', 1_500);
    health.addOutcome('s1', 'unreachable', 2_000);
    t.notOk(health.isAvoided('s1', 2_500));
    t.end();
  });
  t.test('forgets failures in time', t => {
    const health = new ServerHealth();
    for (let count = 0; count < 10; count += 1) health.addOutcome('s1', 'failed', 0);
    t.ok(health.getFailureShare('s1', 0) > 0.8);
    t.ok(health.getFailureShare('s1', 10_000) < 0.05);
    t.end();
  });
  t.end();
});
