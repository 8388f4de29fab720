/** Tests of `RequestHandler`: which requests a stopping gateway accepts. */
import t from 'tap';
import {Catalog, type RouteKind} from '../../src/catalog/index.js';
import type {BackendResponseHandler, Refusal} from '../../src/exchange/index.js';
import {GatewayMetrics} from '../../src/gateway/index.js';
import {RequestHandler, type RequestHandlerOptions} from '../../src/gateway/RequestHandler.js';
import {RequestQueue} from '../../src/gateway/RequestQueue.js';
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

  constructor(kind: RouteKind) {
    const catalog = new Catalog();
    catalog.applyConfiguration({
      version: 1,
      routes: [{...ROUTE, kind, isPublic: true, timeoutMs: TIMEOUT_MS}],
      services: new Map(),
      workspaces: [],
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
      },
      services: new RunHarness({}, []).createServices(['s1']),
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
  send(deadlineMs = TIMEOUT_MS): void {
    this.handler.accept(
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
