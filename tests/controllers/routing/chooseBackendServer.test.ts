/** Unit tests of the default routing policy. */
import t from 'tap';
import {
  chooseBackendServer,
  type RoutingRequest,
  type RoutingView,
} from '../../../src/controllers/routing/index.js';
import {CONFIGURATION, GUIDANCE, createEntry, createServer} from '../../support/deployment.js';

const NOW_MS = 10_000;

const VIEW: RoutingView = {
  configuration: CONFIGURATION,
  servers: [createServer('a'), createServer('b')],
  failureDomains: [],
  moves: [],
  incidents: [],
  entries: [createEntry('entry-1')],
  ownInstanceId: 'entry-1',
  ownFailureDomain: 'oslo-a',
  getOpenRequests: () => 0,
  getCachedTokens: () => 0,
};

const REQUEST: RoutingRequest = {
  service: 'guidance',
  workspace: 'small',
  requestClass: 'chat',
  promptTokens: 160,
  blockHashes: [],
  excludedInstanceIds: new Set(),
  deadlineAtMs: NOW_MS + 60_000,
};

const BAD_V2 = {
  kind: 'bad-version',
  subject: 'v2',
  service: 'guidance',
  reporter: 'entry-2',
  observedAtMs: NOW_MS,
} as const;

const MOVE = {
  moveId: 'm',
  service: 'guidance',
  fromVersion: 'v1',
  toVersion: 'v2',
  phase: 'running',
  sharePercent: 30,
  startedAtMs: 0,
  deadlineAtMs: NOW_MS,
  changedAtMs: 0,
} as const;

t.test('chooseBackendServer', t => {
  function doTest(
    name: string,
    view: Partial<RoutingView>,
    request: Partial<RoutingRequest>,
    expected: string,
    random = 0,
  ) {
    t.test(name, t => {
      const decision = chooseBackendServer(
        {...VIEW, ...view},
        {...REQUEST, ...request},
        NOW_MS,
        () => random,
      );
      t.equal(
        decision.kind === 'chosen' ? decision.server.instanceId : decision.errorKind,
        expected,
      );
      t.end();
    });
  }

  const moving = {
    servers: [createServer('old'), createServer('new', {version: 'v2'})],
    moves: [MOVE],
  };
  doTest(
    'prefers a server with a cached prefix',
    {getCachedTokens: id => (id === 'b' ? 160 : 0)},
    {},
    'b',
  );
  doTest(
    'prefers the server with fewer open requests',
    {getOpenRequests: id => (id === 'a' ? 9 : 0)},
    {},
    'b',
  );
  doTest(
    'prefers a server in its own failure domain if all else is equal',
    {servers: [createServer('far', {failureDomain: 'oslo-b'}), createServer('near')]},
    {},
    'near',
  );
  doTest('skips a server of an earlier attempt', {}, {excludedInstanceIds: new Set(['a'])}, 'b');
  doTest(
    'refuses when all servers were attempted',
    {},
    {excludedInstanceIds: new Set(['a', 'b'])},
    'no-backend-server',
  );
  doTest(
    'skips a leaving server',
    {servers: [createServer('a', {state: 'leaving'}), createServer('b')]},
    {},
    'b',
  );
  doTest(
    'skips a failure domain that is out of service',
    {
      servers: [createServer('a'), createServer('b', {failureDomain: 'oslo-b'})],
      failureDomains: [{name: 'oslo-a', state: 'out', revision: 1, changedAtMs: 0}],
    },
    {},
    'b',
  );
  doTest('refuses when there is no server', {servers: []}, {}, 'no-backend-server');
  doTest('refuses an unknown service', {}, {service: 'x'}, 'not-found');
  doTest(
    'refuses when all servers are at their concurrency limit',
    {getOpenRequests: () => GUIDANCE.maxConcurrentRequests},
    {},
    'overloaded',
  );
  doTest(
    'skips a cold server at its limit',
    {
      servers: [createServer('a', {warmth: 'cold'}), createServer('b')],
      getOpenRequests: id => (id === 'a' ? 2 : 8),
    },
    {},
    'b',
  );
  doTest(
    'refuses when the first token is expected after the deadline',
    {},
    {deadlineAtMs: NOW_MS + 1},
    'deadline-unreachable',
  );
  doTest('draws the new version for its share of random numbers', moving, {}, 'new', 0.95);
  doTest('draws the old version for the others', moving, {}, 'old', 0.5);
  doTest(
    'sends nothing to a bad version',
    {...moving, incidents: [{...BAD_V2, expiresAtMs: NOW_MS + 1}]},
    {},
    'old',
    0.95,
  );
  doTest(
    'ignores an expired bad-version incident',
    {...moving, incidents: [{...BAD_V2, expiresAtMs: NOW_MS}]},
    {},
    'new',
    0.95,
  );
  doTest(
    'sends all requests to the new version after the move',
    {...moving, moves: [{...MOVE, phase: 'done'}]},
    {},
    'new',
  );
  doTest(
    'sends nothing to the new version after a rollback',
    {...moving, moves: [{...MOVE, phase: 'taken-back'}]},
    {},
    'old',
    0.99,
  );
  t.end();
});
