/** Tests of the ramp of new requests to a failure domain that returns to service. */
import fc from 'fast-check';
import t from 'tap';
import type {FailureDomainStatus} from '../../../src/blackboard/index.js';
import {RETURN_RAMP_MS, getDomainPercent} from '../../../src/controllers/failureDomains/index.js';
import {
  chooseBackendServer,
  type RoutingRequest,
  type RoutingView,
} from '../../../src/controllers/routing/index.js';
import {CONFIGURATION, createEntry, createServer} from '../../support/deployment.js';

const SEED = 20_261_211;
const RUNS = 300;
const REQUESTS = 400;
const RETURNED_AT_MS = 1_000_000;
const STAYING = ['stay-1', 'stay-2', 'stay-3'];
const RETURNING = ['back-1', 'back-2'];

function createView(
  changes: Partial<RoutingView> = {},
  state: FailureDomainStatus['state'] = 'returning',
): RoutingView {
  return {
    configuration: CONFIGURATION,
    servers: [
      ...STAYING.map(id => createServer(id)),
      ...RETURNING.map(id => createServer(id, {failureDomain: 'oslo-b'})),
    ],
    failureDomains: [{name: 'oslo-b', state, revision: 1, changedAtMs: RETURNED_AT_MS}],
    moves: [],
    incidents: [],
    entries: [createEntry('entry-1')],
    ownInstanceId: 'entry-1',
    ownFailureDomain: 'oslo-a',
    getOpenRequests: () => 0,
    getCachedTokens: () => 0,
    ...changes,
  };
}

function choose(view: RoutingView, domainDraw: number, changes: Partial<RoutingRequest> = {}) {
  const request: RoutingRequest = {
    service: 'guidance',
    workspace: 'small',
    requestClass: 'chat',
    promptTokens: 160,
    blockHashes: [],
    excludedInstanceIds: new Set(),
    deadlineAtMs: RETURNED_AT_MS + 10 * RETURN_RAMP_MS,
    domainDraw,
    ...changes,
  };
  return (nowMs: number) => {
    const decision = chooseBackendServer(view, request, nowMs, () => 0);
    return decision.kind === 'chosen' ? decision.server.instanceId : decision.errorKind;
  };
}

t.test('chooseBackendServer with a returning failure domain', t => {
  const prefersReturning = {getOpenRequests: (id: string) => (STAYING.includes(id) ? 3 : 0)};

  t.test('sends it its percentage of the requests that it would get in service', t => {
    fc.assert(
      fc.property(fc.nat(RETURN_RAMP_MS), fc.double({min: 0, max: 0.999}), (afterMs, offset) => {
        const view = createView(prefersReturning);
        const nowMs = RETURNED_AT_MS + afterMs;
        const draws = Array.from({length: REQUESTS}, (_, index) => (index + offset) / REQUESTS);
        const sentToReturning = draws.filter(draw =>
          RETURNING.includes(choose(view, draw)(nowMs)),
        ).length;
        const percent = getDomainPercent(view.failureDomains, 'oslo-b', nowMs);
        return Math.abs(sentToReturning - (REQUESTS * percent) / 100) <= 1;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });

  t.test('refuses no request that it would accept without the ramp', t => {
    const open = fc.array(fc.constantFrom(0, 1, 16), {minLength: 5, maxLength: 5});
    const tried = fc.subarray([...STAYING, ...RETURNING]);
    const deadlineOffsetsMs = fc.constantFrom(1, 20, 100, 60_000);
    fc.assert(
      fc.property(
        open,
        tried,
        deadlineOffsetsMs,
        fc.double({min: 0, max: 0.999}),
        (counts, ids, lateMs, draw) => {
          const serverIds = [...STAYING, ...RETURNING];
          const changes = {getOpenRequests: (id: string) => counts[serverIds.indexOf(id)]};
          const request = {
            excludedInstanceIds: new Set(ids),
            deadlineAtMs: RETURNED_AT_MS + lateMs,
          };
          const ramped = choose(createView(changes), draw, request)(RETURNED_AT_MS);
          const unramped = choose(createView(changes, 'in'), draw, request)(RETURNED_AT_MS);
          return serverIds.includes(ramped) === serverIds.includes(unramped);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });

  function doTest(name: string, changes: Partial<RoutingView>, expected: string) {
    t.test(name, t => {
      t.equal(choose(createView(changes), 0.99)(RETURNED_AT_MS), expected);
      t.end();
    });
  }

  t.test('skips the domains that the request avoids, but uses them rather than refuse', t => {
    const chooseAvoiding = (...avoided: readonly string[]) =>
      choose(createView({}, 'in'), 0, {avoidedDomains: new Set(avoided)})(RETURNED_AT_MS);
    t.equal(chooseAvoiding('oslo-a'), 'back-1');
    t.equal(chooseAvoiding('oslo-a', 'oslo-b'), 'stay-1');
    t.end();
  });
  doTest('skips the domain for a draw above its percentage', prefersReturning, 'stay-1');
  doTest(
    'uses the domain if there is no other server',
    {servers: [createServer('back-1', {failureDomain: 'oslo-b'})]},
    'back-1',
  );
  doTest(
    'uses the domain if all other servers are at their limit',
    {getOpenRequests: id => (STAYING.includes(id) ? 16 : 0)},
    'back-1',
  );
  doTest(
    'uses the domain if no other server has the version',
    {
      servers: [
        createServer('back-1', {failureDomain: 'oslo-b'}),
        createServer('other', {version: 'v2'}),
      ],
    },
    'back-1',
  );
  t.end();
});
