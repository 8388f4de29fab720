/** Unit tests of placement on servers that report work factors, and of the unchanged rule for all others. */
import t from 'tap';
import {
  choosePlacement,
  type PlacementDecision,
  type PlacementRequest,
  type PlacementView,
  type PromptPart,
  type ServerLoad,
  type SpeedView,
} from '../../../src/controllers/placement/index.js';
import {createSeededRandom, rankByRendezvous} from '../../../src/utils/index.js';
import {createServer} from '../../exchange/exchangeFixtures.js';

const SEED = 11;
const SERVERS = ['s1', 's2', 's3', 's4'].map(id => createServer(id));
const NO_LOAD: ServerLoad = {openRequests: 0, pendingPromptTokens: 0};
const TARGETS = {latencyTargetMs: 1_000, shortestTargetMs: 500, shortestPauseMs: 500};
type Chosen = Extract<PlacementDecision, {kind: 'chosen'}>;

function createSpeedView(factors: Readonly<Record<string, number>> = {}): SpeedView {
  return {
    promptTokensPerMs: 66,
    requestMs: 480,
    plainMs: 40,
    getFactor: ({id}) => factors[id] ?? 1,
    expectPendingTokens: (_server, reportedTokens) => reportedTokens,
  };
}

function createView(fields: Partial<PlacementView> = {}): PlacementView {
  return {
    servers: SERVERS,
    getLoad: () => NO_LOAD,
    getFailureRate: () => 0,
    getPauseMs: () => 0,
    isInBackoff: () => false,
    hasColdCapacity: () => true,
    hasLimitCapacity: () => true,
    speeds: createSpeedView(),
    ...fields,
  };
}

function createOwn(tokens: number): readonly PromptPart[] {
  return [{id: 'own', tokens}];
}

function choose(
  view: PlacementView,
  promptParts: readonly PromptPart[],
  random: () => number = () => 0.5,
  request: Partial<PlacementRequest> = {},
): Chosen {
  const decision = choosePlacement(
    view,
    {promptParts, attemptedServerIds: new Set(), targets: TARGETS, ...request},
    random,
  );
  if (decision.kind === 'none') throw new Error(decision.reason);
  return decision;
}

/** Chooses many times; returns how often each server was chosen. */
function count(view: PlacementView, promptParts: readonly PromptPart[]): Map<string, number> {
  const random = createSeededRandom(SEED);
  const counts = new Map<string, number>();
  for (let index = 0; index < 500; index += 1) {
    const {server} = choose(view, promptParts, random);
    counts.set(server.entry.id, (counts.get(server.entry.id) ?? 0) + 1);
  }
  return counts;
}

/** The rule for servers without work factors as it was before speeds were known. */
function chooseAsBefore(
  view: PlacementView,
  parts: readonly PromptPart[],
  random: () => number,
): Omit<Chosen, 'kind' | 'expectedFirstEventMs'> {
  const lastShared = parts.at(-2);
  const ranked = lastShared
    ? rankByRendezvous(lastShared.id, view.servers, ({entry}) => entry.id)
    : [];
  const total = parts.reduce((sum, {tokens}) => sum + tokens, 0);
  const scored = view.servers.map(server => {
    const {openRequests, pendingPromptTokens} = view.getLoad(server.entry.id);
    const queued = Math.max(0, openRequests + 1 - server.entry.slots);
    const isPlain = parts.length === 0;
    const others = parts.length > 2 ? total - parts[0].tokens : total;
    const uncachedTokens = ranked[0] === server ? (parts.at(-1)?.tokens ?? 0) : others;
    const expectedWaitMs = isPlain
      ? queued * 80 + openRequests * 2
      : pendingPromptTokens / 100 + openRequests * 2 + queued * 100;
    const failureMs = view.getFailureRate(server.entry.id) * 4_000;
    const scoreMs = expectedWaitMs + uncachedTokens / 100 + failureMs + random() * 4;
    return {server, uncachedTokens, expectedWaitMs, scoreMs};
  });
  const [{server, uncachedTokens, expectedWaitMs}] = scored.sort((a, b) => a.scoreMs - b.scoreMs);
  return {server, uncachedTokens, expectedWaitMs};
}

t.test('choosePlacement without work factors', t => {
  t.test('chooses exactly as before', t => {
    const random = createSeededRandom(SEED);
    const servers = Array.from({length: 12}, (_, index) => createServer(`s${index}`));
    for (let round = 0; round < 300; round += 1) {
      const loads = new Map(
        servers.map(({entry}) => [
          entry.id,
          {
            openRequests: Math.floor(random() * 11),
            pendingPromptTokens: Math.floor(random() * 9_000),
          },
        ]),
      );
      const failureRates = new Map(servers.map(({entry}) => [entry.id, random() * 0.1]));
      const view = createView({
        servers,
        getLoad: id => loads.get(id) ?? NO_LOAD,
        getFailureRate: id => failureRates.get(id) ?? 0,
        speeds: undefined,
      });
      const parts = ['system', `subject-${round}`, 'own']
        .slice(0, round % 4)
        .map(id => ({id, tokens: Math.floor(random() * 5_000)}));
      const after = choose(view, parts, createSeededRandom(round));
      const before = chooseAsBefore(view, parts, createSeededRandom(round));
      t.same(after, {
        ...before,
        kind: 'chosen',
        expectedFirstEventMs: before.expectedWaitMs + before.uncachedTokens / 100,
      });
    }
    t.end();
  });
  t.end();
});

t.test('choosePlacement with work factors', t => {
  t.test('expects what the speed and the load of the server give', t => {
    const view = createView({
      servers: SERVERS.slice(0, 1),
      getLoad: () => ({openRequests: 9, pendingPromptTokens: 6_600}),
      speeds: createSpeedView({s1: 1.5}),
    });
    // Slots: 8; 2 requests wait, and one of 480 ms ends every 60 ms.
    const waitMs = 1.5 * (100 + 9 * 2 + 2 * 60);
    const {server, ...decision} = choose(view, createOwn(13_200));
    t.equal(server.entry.id, 's1');
    t.same(decision, {
      kind: 'chosen',
      uncachedTokens: 13_200,
      expectedWaitMs: waitMs,
      expectedFirstEventMs: waitMs + 1.5 * 200,
      workFactor: 1.5,
    });
    t.end();
  });

  t.test('a server that reports to be slow gets no long prompt while others can have it', t => {
    const view = createView({speeds: createSpeedView({s1: 1.75, s2: 1.75, s3: 0.7, s4: 0.7})});
    const counts = count(view, createOwn(54_600));
    t.equal(counts.get('s1'), undefined);
    t.equal(counts.get('s2'), undefined);
    t.end();
  });

  t.test('servers of the same load get short requests by their speeds, and none gets all', t => {
    // Other gateways see the same reports at the same time.
    const counts = count(createView({speeds: createSpeedView({s1: 0.7})}), createOwn(60));
    const fast = counts.get('s1') ?? 0;
    for (const id of ['s2', 's3', 's4']) {
      const usual = counts.get(id) ?? 0;
      t.ok(usual > 60 && usual < fast, `${id} ${usual} of 500, s1 ${fast}`);
    }
    t.end();
  });

  t.test('a short request avoids the server of a long prompt, also if that is faster', t => {
    const getLoad = (id: string) =>
      id === 's1' ? {openRequests: 1, pendingPromptTokens: 54_600} : NO_LOAD;
    const view = createView({
      getLoad,
      speeds: createSpeedView({s1: 0.7, s2: 1.75, s3: 1.75, s4: 1.75}),
    });
    t.equal(count(view, createOwn(600)).get('s1'), undefined);
    t.end();
  });

  t.test('a long prompt avoids a server with many open streams', t => {
    // Its prefill delays all their events.
    const getLoad = (id: string) =>
      id === 's1' ? NO_LOAD : {openRequests: 6, pendingPromptTokens: 0};
    const counts = count(createView({getLoad}), createOwn(54_600));
    t.equal(counts.get('s1'), 500);
    t.end();
  });

  t.test('keeps shared segments on one server, unless that is slow or loaded', t => {
    const parts = (subject: string) => [
      {id: 'system', tokens: 600},
      {id: subject, tokens: 5_000},
      {id: 'own', tokens: 100},
    ];
    const chosen = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(subject => {
      const counts = count(createView(), parts(subject));
      const [[id, times]] = [...counts].sort(([, a], [, b]) => b - a);
      t.ok(times > 480, `${subject}: ${times} of 500 at ${id}`);
      t.equal(choose(createView(), parts(subject)).uncachedTokens, 100);
      return id;
    });
    t.ok(new Set(chosen).size > 1, 'not all subjects on one server');
    const slow = createView({speeds: createSpeedView({[chosen[0]]: 60})});
    t.equal(count(slow, parts('a')).get(chosen[0]), undefined);
    const loaded = createView({
      getLoad: id => (id === chosen[0] ? {openRequests: 1, pendingPromptTokens: 40_000} : NO_LOAD),
    });
    t.equal(count(loaded, parts('a')).get(chosen[0]), undefined);
    const attempted = choose(createView(), parts('a'), undefined, {
      attemptedServerIds: new Set([chosen[0]]),
    });
    t.equal(attempted.uncachedTokens, 100, 'the next one counts as preferred then');
    t.not(attempted.server.entry.id, chosen[0]);
    t.end();
  });

  t.test('finds the only available server among many', t => {
    const servers = Array.from({length: 500}, (_, index) => createServer(`s${index}`));
    const getPauseMs = ({entry}: {entry: {id: string}}) => (entry.id === 's321' ? 0 : 100);
    const view = createView({servers, getPauseMs});
    t.equal(choose(view, createOwn(10)).server.entry.id, 's321');
    const isInBackoff = (id: string) => id === 's321';
    t.equal(choose({...view, isInBackoff}, []).server.entry.id, 's321', 'also in backoff');
    t.end();
  });

  t.test('avoids servers that fail', t => {
    const view = createView({getFailureRate: id => (id === 's2' ? 0 : 0.5)});
    t.equal(count(view, createOwn(60)).get('s2'), 500);
    t.end();
  });

  t.test('sends plain requests to where they end first', t => {
    // A server that takes 2.5 times as long is worse than a usual one with two waiting requests.
    const getLoad = (id: string) =>
      id === 's1' ? NO_LOAD : {openRequests: 9, pendingPromptTokens: 0};
    const view = createView({getLoad, speeds: createSpeedView({s1: 2.5})});
    const counts = count(view, []);
    t.ok((counts.get('s1') ?? 0) < 50, `${counts.get('s1')} of 500`);
    const decision = choose(
      createView({servers: SERVERS.slice(0, 1), speeds: createSpeedView({s1: 2.5})}),
      [],
    );
    t.equal(decision.expectedFirstEventMs, 100);
    t.end();
  });
  t.end();
});
