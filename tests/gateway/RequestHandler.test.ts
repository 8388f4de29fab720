/** Tests of `RequestHandler`: requests of a gateway that is stopping, or cut off from the servers. */
import t from 'tap';
import {Catalog, type RouteKind, type Workspace} from '../../src/catalog/index.js';
import {QuotaLedger} from '../../src/controllers/quotas/index.js';
import type {BackendResponseHandler, Refusal, ServingRequest} from '../../src/exchange/index.js';
import {GatewayMetrics} from '../../src/gateway/index.js';
import {RequestHandler, type RequestHandlerOptions} from '../../src/gateway/RequestHandler.js';
import type {Forwarding, RequestForwarder} from '../../src/gateway/RequestForwarder.js';
import {RequestQueue} from '../../src/gateway/RequestQueue.js';
import {MemberTable} from '../../src/gossip/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, ROUTE, RunHarness, SUCCESS} from '../exchange/exchangeFixtures.js';

const TIMEOUT_MS = 15_000;
const ENDS_REQUESTS_AFTER_MS = 7_200;
const EVENT = Buffer.from('id: 1\ndata: x\n\n');

const ignore = () => undefined;

/** A gateway's requests in virtual time; the test answers the attempts. */
class HandlerHarness {
  nowMs = 0;
  readonly refusals: Refusal[] = [];
  readonly handler: RequestHandler;
  private readonly attempts: BackendResponseHandler[] = [];
  readonly links = {isCutOff: false, reachesAny: true};
  /** Requests that were passed on. */
  readonly forwarded: ServingRequest[] = [];
  hasPeers = true;
  readonly ledger = new QuotaLedger({startsFull: true, toleratedShare: 0});

  constructor(kind: RouteKind, workspaces: readonly Workspace[] = []) {
    const catalog = new Catalog();
    catalog.applyConfiguration({
      version: 1,
      routes: [{...ROUTE, kind, isPublic: workspaces.length === 0, timeoutMs: TIMEOUT_MS}],
      services: new Map(),
      workspaces,
      limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
    });
    catalog.markRegistrationsCurrent(0);
    const metrics = new GatewayMetrics();
    const options: Partial<RequestHandlerOptions> = {
      revocationMs: 5_000,
      catalog,
      transport: {
        send: (_call, handler) => {
          this.attempts.push(handler);
          return {cancel: ignore, pause: ignore, resume: ignore, reportStall: () => false};
        },
        hasStopped: async () => false,
        canConnect: async () => true,
        closeIdleConnections: () => undefined,
      },
      services: new RunHarness({}, []).createServices(['s1']),
      members: new MemberTable('g1', {unresponsiveAfterMs: 900, removedAfterMs: 8_000}),
      quotaLedger: this.ledger,
      reachability: this.links,
      forwarder: {
        size: 0,
        canForward: () => this.hasPeers,
        forward: ({request}: Forwarding) => {
          this.forwarded.push(request);
          return {abandon: ignore};
        },
        endAll: ignore,
      } as unknown as RequestForwarder,
      metrics,
      queue: new RequestQueue({
        isWaitingEnabled: () => false,
        getView: () => {
          throw new Error('no view is needed while no request may wait');
        },
        metrics,
        getNowMs: () => this.nowMs,
        random: () => 0,
      }),
      events: silentEvents,
      getConfigurationProofAgeMs: () => 0,
      getNowMs: () => this.nowMs,
      random: () => 0,
    };
    this.handler = new RequestHandler(options as RequestHandlerOptions);
  }

  /** Number of requests that were passed on to a server. */
  get sentCount(): number {
    return this.attempts.length;
  }

  /** Sends a request that a server answers after `durationMs`. */
  serve(durationMs: number): void {
    this.send();
    const attempt = this.attempts[this.attempts.length - 1];
    attempt.onHead(SUCCESS);
    attempt.onData(EVENT);
    this.nowMs += durationMs;
    attempt.onEnd();
  }

  /** Sends a request that a server doesn't answer. */
  send(deadlineMs = TIMEOUT_MS, fields: Partial<ServingRequest> = {}): void {
    this.handler.accept(
      {...REQUEST, deadlineMs, receivedAtMs: this.nowMs, ...fields},
      {
        start: ignore,
        write: ignore,
        isFull: false,
        onceDrained: ignore,
        end: ignore,
        abortResponse: ignore,
        refuse: refusal => this.refusals.push(refusal),
      },
    );
  }

  /** Asks the gateway to stop, and waits. */
  beginStop(waitMs: number): void {
    this.handler.beginStop(this.nowMs + ENDS_REQUESTS_AFTER_MS);
    this.nowMs += waitMs;
  }
}

const STOPPING = {kind: 'stopping', isNotRun: true, retryAfterMs: 100} as const;

t.test('a stopping gateway', async t => {
  // It accepted any stream shorter than its route's last ones took twice, and cut a longer one at its end.
  t.test('refuses a late stream that its deadline lets outlast the gateway', async t => {
    const harness = new HandlerHarness('stream');
    for (let count = 0; count < 200; count += 1) harness.serve(1_000);
    harness.beginStop(3_500);
    harness.send();
    t.equal(harness.sentCount, 200);
    t.same(harness.refusals, [STOPPING]);
    harness.send(3_000);
    t.equal(harness.sentCount, 201, 'a stream with a short deadline is accepted');
    harness.handler.endOpenRequests();
  });

  // One long stream among many short ones was forgotten after 100 more.
  t.test('expects a stream as long as a rare one of the last minute', async t => {
    const harness = new HandlerHarness('stream');
    harness.serve(5_000);
    for (let count = 0; count < 200; count += 1) harness.serve(100);
    harness.beginStop(100);
    harness.send();
    t.equal(harness.sentCount, 201);
    t.same(harness.refusals, [STOPPING]);
  });

  t.test('accepts a plain request that its route usually ends in time', async t => {
    const harness = new HandlerHarness('idempotent');
    for (let count = 0; count < 200; count += 1) harness.serve(100);
    harness.beginStop(6_000);
    harness.send();
    t.equal(harness.sentCount, 201);
    t.same(harness.refusals, []);
    harness.handler.endOpenRequests();
    t.match(harness.refusals, [{kind: 'stopping', isNotRun: false}]);
  });
});

const WORKSPACE: Workspace = {
  name: 'w',
  keys: ['k'],
  priority: undefined,
  homeRegions: [],
  quota: {unit: 'requests', ratePerSecond: 0.001, burst: 1, defaultTokens: 1},
};

function createCutOff(workspaces: readonly Workspace[] = []): HandlerHarness {
  const harness = new HandlerHarness('at-most-once', workspaces);
  Object.assign(harness.links, {isCutOff: true, reachesAny: false});
  return harness;
}

t.test('a gateway that is cut off from the servers', async t => {
  t.test('passes requests on, and leaves their charge to the other gateway', async t => {
    const harness = createCutOff([WORKSPACE]);
    for (let request = 0; request < 5; request += 1) harness.send(TIMEOUT_MS, {key: 'k'});
    t.equal(harness.forwarded.length, 5);
    t.same(harness.refusals, []);
    harness.links.isCutOff = false;
    harness.send(TIMEOUT_MS, {key: 'k'});
    t.equal(harness.sentCount, 1, 'the quota has not been used up');
  });

  t.test('passes no request on whose key is unknown here', async t => {
    const harness = createCutOff([WORKSPACE]);
    harness.send(TIMEOUT_MS, {key: 'revoked'});
    t.equal(harness.forwarded.length, 0);
    t.match(harness.refusals, [{kind: 'no-key'}]);
  });

  t.test('passes no request on that another gateway has passed on', async t => {
    const harness = createCutOff();
    harness.links.reachesAny = true;
    harness.send(TIMEOUT_MS, {isForwarded: true});
    t.equal(harness.forwarded.length + harness.sentCount, 0);
    t.match(harness.refusals, [{kind: 'no-server', isNotRun: true, retryAfterMs: 100}]);
  });

  t.test('refuses requests at once if no gateway reaches the servers', async t => {
    const harness = createCutOff();
    harness.hasPeers = false;
    harness.send();
    t.equal(harness.sentCount, 0);
    t.match(harness.refusals, [{kind: 'no-server', isNotRun: true, retryAfterMs: 1_000}]);
  });

  t.test('still tries a server if no other gateway can, but some server was reached', async t => {
    const harness = createCutOff();
    harness.hasPeers = false;
    harness.links.reachesAny = true;
    harness.send();
    t.equal(harness.sentCount, 1);
    harness.handler.endOpenRequests();
  });

  t.test('serves a request that another gateway passes on if it reaches the servers', async t => {
    const harness = new HandlerHarness('at-most-once');
    harness.send(TIMEOUT_MS, {isForwarded: true});
    t.equal(harness.sentCount, 1);
    harness.handler.endOpenRequests();
  });
});
