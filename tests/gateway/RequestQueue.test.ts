/** Tests of requests that wait at a gateway: when they start, what ends their wait, and what is refunded. */
import t from 'tap';
import {Catalog, type ServingConfiguration, type Workspace} from '../../src/catalog/index.js';
import type {ServiceLoadView} from '../../src/controllers/admission/index.js';
import {QuotaLedger} from '../../src/controllers/quotas/index.js';
import type {BackendResponseHandler, Refusal} from '../../src/exchange/index.js';
import {MemberTable} from '../../src/gossip/index.js';
import {GatewayMetrics} from '../../src/gateway/index.js';
import {RequestHandler, type RequestHandlerOptions} from '../../src/gateway/RequestHandler.js';
import {RequestQueue} from '../../src/gateway/RequestQueue.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, ROUTE, RunHarness, SUCCESS} from '../exchange/exchangeFixtures.js';
import {createForwarder} from './gatewayFixtures.js';

const SLOTS = 4;
const BURST = 100;
const TIMEOUT_MS = 10_000;
const TARGET_MS = 1_000;

const ignore = () => undefined;

const WORKSPACE: Workspace = {
  name: 'w',
  keys: ['k'],
  priority: undefined,
  homeRegions: [],
  quota: {unit: 'requests', ratePerSecond: 0.001, burst: BURST, defaultTokens: 1},
};

function createConfiguration(version: number, keys: readonly string[]): ServingConfiguration {
  return {
    version,
    routes: [{...ROUTE, kind: 'stream', timeoutMs: TIMEOUT_MS, latencyTargetMs: TARGET_MS}],
    services: new Map(),
    workspaces: [{...WORKSPACE, keys}],
    limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  };
}

/** A gateway that is alone before servers with a few slots, in virtual time; the test answers the attempts. */
class QueueHarness {
  nowMs = 0;
  readonly refusals: Refusal[] = [];
  readonly handler: RequestHandler;
  readonly queue: RequestQueue;
  readonly catalog = new Catalog();
  readonly metrics = new GatewayMetrics();
  private readonly attempts: BackendResponseHandler[] = [];
  private readonly ledger = new QuotaLedger({
    startsFull: true,
    toleratedShare: 0,
  });
  private readonly members = new MemberTable('g1', {unresponsiveAfterMs: 1, removedAfterMs: 1});

  constructor(view: Partial<ServiceLoadView> = {}, isEnabled = true) {
    this.catalog.applyConfiguration(createConfiguration(1, ['k']));
    this.catalog.markRegistrationsCurrent(0);
    const getNowMs = () => this.nowMs;
    this.queue = new RequestQueue({
      isWaitingEnabled: () => isEnabled,
      getView: (service, ownRequests) => ({
        slots: SLOTS,
        ownRequests,
        peerRequests: 0,
        gateways: 1,
        isFleetKnown: true,
        ...view,
      }),
      metrics: this.metrics,
      getNowMs,
      random: () => 0.5,
    });
    const options: Partial<RequestHandlerOptions> = {
      revocationMs: 5_000,
      catalog: this.catalog,
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
      members: this.members,
      quotaLedger: this.ledger,
      metrics: this.metrics,
      events: silentEvents,
      queue: this.queue,
      reachability: {isCutOff: false, reachesAny: true},
      forwarder: createForwarder(),
      getConfigurationProofAgeMs: () => 0,
      getNowMs,
      random: () => 0,
    };
    this.handler = new RequestHandler(options as RequestHandlerOptions);
  }

  get sentCount(): number {
    return this.attempts.length;
  }

  /** Requests that the quota still allows. */
  get quotaLeft(): number {
    let count = 0;
    const reach = {reportingGateways: 1, knownGateways: 1};
    const quota = {unit: 'requests', ratePerSecond: 0, burst: BURST, defaultTokens: 1} as const;
    while (this.ledger.admit('w', quota, 1, reach, this.nowMs).kind !== 'over') count += 1;
    return count;
  }

  send(deadlineMs = TIMEOUT_MS) {
    return this.handler.accept(
      {...REQUEST, deadlineMs, receivedAtMs: this.nowMs},
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

  /** Answers the attempt that was sent as the given one. */
  answer(index: number, durationMs = 0): void {
    const attempt = this.attempts[index];
    attempt.onHead(SUCCESS);
    attempt.onData(Buffer.from('id: 1\ndata: x\n\n'));
    this.nowMs += durationMs;
    attempt.onEnd();
  }

  /** Sends requests until one waits; one more than the slots may be open then. */
  fill(): void {
    while (this.queue.size === 0) this.send();
  }

  close(): void {
    this.handler.endOpenRequests();
  }
}

t.test('a gateway whose servers have free slots', async t => {
  const harness = new QueueHarness();
  for (let index = 0; index < SLOTS; index += 1) harness.send();
  t.equal(harness.sentCount, SLOTS, 'sends each request at once');
  t.equal(harness.queue.size, 0);
  harness.close();
});

t.test('a gateway that hears no others', async t => {
  const harness = new QueueHarness({isFleetKnown: false});
  for (let index = 0; index < 5 * SLOTS; index += 1) harness.send();
  t.equal(harness.sentCount, 5 * SLOTS, 'leaves the order to the queues of the servers');
  harness.close();
});

t.test('a service whose servers report no work factor', async t => {
  const harness = new QueueHarness({}, false);
  for (let index = 0; index < 5 * SLOTS; index += 1) harness.send();
  t.equal(harness.sentCount, 5 * SLOTS, 'is served without a queue');
  harness.close();
});

t.test('a waiting request', async t => {
  t.test('starts when others end', async t => {
    const harness = new QueueHarness();
    harness.fill();
    const {sentCount} = harness;
    harness.nowMs += 200;
    harness.answer(0);
    harness.answer(1);
    t.equal(harness.sentCount, sentCount + 1);
    t.equal(harness.queue.size, 0);
    t.match(await harness.metrics.getText(), /buckthorn_queue_seconds_count\{service="app"\} 1/);
    harness.close();
  });

  t.test('starts in the place of others whose callers have disconnected', async t => {
    const harness = new QueueHarness();
    const first = harness.send();
    const second = harness.send();
    harness.fill();
    const {sentCount} = harness;
    first.abandon();
    second.abandon();
    t.equal(harness.sentCount, sentCount + 1);
    harness.close();
  });

  t.test('leaves the queue and gets its quota back when its caller disconnects', async t => {
    const harness = new QueueHarness();
    harness.fill();
    const {sentCount} = harness;
    const waiting = harness.send();
    const {size} = harness.queue;
    waiting.abandon();
    waiting.abandon();
    t.equal(harness.queue.size, size - 1);
    t.equal(harness.quotaLeft, BURST - sentCount - size + 1);
    t.equal(harness.handler.openRequests, sentCount + size - 1);
    harness.close();
  });

  // It would otherwise be held until the process ends, although other gateways could serve it.
  t.test('is refused at once as not run when the gateway is asked to stop', async t => {
    const harness = new QueueHarness();
    harness.fill();
    harness.handler.beginStop(60_000);
    t.equal(harness.queue.size, 0);
    t.same(harness.refusals, [{kind: 'stopping', isNotRun: true, retryAfterMs: 100}]);
    t.equal(harness.quotaLeft, BURST - harness.sentCount);
    harness.close();
  });

  // A key that is revoked while a request waits must not be used.
  t.test('is refused if its key was revoked meanwhile', async t => {
    const harness = new QueueHarness();
    harness.fill();
    const {sentCount} = harness;
    harness.catalog.applyConfiguration(createConfiguration(2, ['other']));
    harness.nowMs += 100;
    harness.answer(0);
    harness.answer(1);
    t.equal(harness.sentCount, sentCount);
    t.match(harness.refusals, [{kind: 'no-key', isNotRun: true}]);
    t.equal(harness.queue.size, 0);
    harness.close();
  });

  t.test('is refused when it could only be answered after its deadline', async t => {
    const harness = new QueueHarness();
    harness.fill();
    harness.send(50);
    const {size} = harness.queue;
    harness.nowMs += 51;
    await new Promise(resolve => setTimeout(resolve, 60));
    t.equal(harness.queue.size, size - 1);
    t.match(harness.refusals, [{kind: 'overloaded', isNotRun: true}]);
    harness.close();
  });
});

t.test('a request that can not be served in time', async t => {
  const harness = new QueueHarness();
  for (let index = 0; index < 20; index += 1) {
    harness.send();
    harness.answer(index, 800);
  }
  const {sentCount} = harness;
  for (let index = 0; index < 60; index += 1) harness.send(3_000);
  t.ok(harness.queue.size > 0 && harness.queue.size < 10, `${harness.queue.size} wait`);
  const refused = harness.refusals.length;
  t.ok(refused > 40, `${refused} were refused at once`);
  t.ok(harness.refusals.every(({kind, isNotRun}) => kind === 'overloaded' && isNotRun));
  const delaysMs = harness.refusals.map(({retryAfterMs = Infinity}) => retryAfterMs);
  t.ok(
    Math.max(...delaysMs) <= 1_000,
    'callers come back within a third of the time they have left',
  );
  t.ok(harness.sentCount >= sentCount + SLOTS);
  t.equal(harness.quotaLeft, BURST - harness.sentCount - harness.queue.size);
  harness.close();
});
