/** Tests of the attempts of a plain call, and of the incidents that they cause for its fingerprint. */
import {randomUUID} from 'node:crypto';
import t from 'tap';
import type {Incident} from '../../src/blackboard/index.js';
import {Blackboard} from '../../src/blackboard/index.js';
import {chooseBackendServer} from '../../src/controllers/routing/index.js';
import {AttemptError, type PlainResponse} from '../../src/engine/index.js';
import {ServingParts, type HandlerContext} from '../../src/http/index.js';
import {PlainSender, type PlainCall} from '../../src/http/PlainSender.js';
import {Metrics} from '../../src/metrics/index.js';
import {CONFIGURATION, GUIDANCE, createServer} from '../support/deployment.js';

/** A limit of one request per server, so that equal requests run on different servers. */
const SERVICE = {...GUIDANCE, name: 'search', kind: 'plain' as const, maxConcurrentRequests: 1};
const ANSWER: PlainResponse = {status: 200, contentType: 'text/plain', body: Buffer.from('found')};
const CONNECT_ERROR = Object.assign(new Error('refused'), {code: 'ECONNREFUSED'});

/** Produces a backend server's response to one attempt; may fail or wait for the abort signal. */
type Respond = (signal: AbortSignal) => Promise<PlainResponse>;

const succeed: Respond = () => Promise.resolve(ANSWER);
const breakConnection: Respond = () => Promise.reject(new Error('socket closed'));
const refuseConnection: Respond = () => Promise.reject(CONNECT_ERROR);
const stopAttempt: Respond = () =>
  Promise.reject(new AttemptError('stopped', {kind: 'backend-failed', failure: 'moved'}));

/** A response that is held back until it is released or the attempt is stopped. */
class HeldAttempt {
  readonly sent: Promise<void>;
  stoppedBy: unknown;
  private resolveResponse: (answer: PlainResponse) => void = () => undefined;
  private markSent: () => void = () => undefined;

  constructor() {
    this.sent = new Promise(resolve => (this.markSent = resolve));
  }

  readonly respond: Respond = signal =>
    new Promise((resolve, reject) => {
      this.resolveResponse = resolve;
      signal.addEventListener('abort', () => {
        this.stoppedBy = signal.reason;
        reject(signal.reason as Error);
      });
      this.markSent();
    });

  release(): void {
    this.resolveResponse(ANSWER);
  }
}

/** A `PlainSender` with its real serving parts and a scripted engine client. */
class SenderFixture {
  readonly serving: ServingParts;
  readonly reported: Incident[] = [];
  /** Resolves when the first incident is reported. */
  readonly suspected: Promise<void>;
  private readonly context: HandlerContext;

  constructor(responds: readonly Respond[]) {
    const blackboard = new Blackboard();
    const configuration = {...CONFIGURATION, services: [SERVICE]};
    blackboard.setSection('configuration', {revision: 1, configuration, confirmedAtMs: 0});
    const servers = ['a', 'b', 'c'].map(id => createServer(id, {service: 'search'}));
    blackboard.setSection('backendServers', {servers});
    const metrics = new Metrics({globalTags: {}});
    const getNowMs = () => Date.now();
    const ownInstanceId = 'entry-1';
    const limits = {maxRunningRequests: 10, maxQueuedRequests: 10};
    this.serving = new ServingParts({blackboard, metrics, ownInstanceId, getNowMs, ...limits});
    this.suspected = new Promise(resolve =>
      this.serving.incidents.setBroadcaster(async incidents => {
        this.reported.push(...incidents);
        resolve();
      }),
    );
    const remainingResponds = [...responds];
    this.context = {
      ...this.serving,
      blackboard,
      metrics,
      ownInstanceId,
      ownFailureDomain: 'oslo-a',
      getNowMs,
      random: () => 0,
      chooseServer: chooseBackendServer,
      reportIncidents: this.serving.getIncidentReporter(),
      engine: {
        isAlive: () => Promise.resolve(false),
        renewConnections: () => undefined,
        sendPlainRequest: (unused: unknown, {signal}: {readonly signal: AbortSignal}) =>
          (remainingResponds.shift() ?? succeed)(signal),
      },
    } as unknown as HandlerContext;
  }

  createSender(isIdempotent = true): PlainSender {
    const caller = {
      requestId: randomUUID(),
      workspace: CONFIGURATION.workspaces[0],
      request: {headers: {}},
      signal: new AbortController().signal,
    };
    return new PlainSender(this.context, {
      caller: caller as unknown as PlainCall['caller'],
      service: SERVICE,
      method: 'GET',
      path: '/search',
      route: '/search',
      body: Buffer.alloc(0),
      isIdempotent,
      deadlineAtMs: Date.now() + SERVICE.requestTimeoutMs,
    });
  }
}

t.test('PlainSender', t => {
  t.test('retries after a crash, and a response clears the suspicion', async t => {
    const fixture = new SenderFixture([breakConnection]);
    t.equal((await fixture.createSender().sendIdempotent()).status, 200);
    const areSuspicions = fixture.reported.map(
      ({expiresAtMs, observedAtMs}) => expiresAtMs > observedAtMs,
    );
    t.same(areSuspicions, [true, false], 'the request is suspected, then cleared');
  });
  t.test('does not clear a suspicion after an attempt that reached no server', async t => {
    const fixture = new SenderFixture([breakConnection, refuseConnection, breakConnection]);
    await t.rejects(fixture.createSender().sendIdempotent(), /has crashed backend servers/);
    t.equal(fixture.reported.at(-1)?.kind, 'poison-quarantined');
  });
  t.test('does not count stopped attempts against the retry limit', async t => {
    const stopped = Array.from({length: 6}, () => stopAttempt);
    const fixture = new SenderFixture([...stopped, breakConnection]);
    t.equal((await fixture.createSender().sendIdempotent()).status, 200);
  });
  t.test(
    'stops an equal request at another server after a crash, and retries it once the suspicion is settled',
    async t => {
      const held = new HeldAttempt();
      const fixture = new SenderFixture([held.respond, breakConnection]);
      const equalRequest = fixture.createSender().sendIdempotent();
      await held.sent;
      const crashedRequest = fixture.createSender().sendIdempotent();
      t.same(
        (await Promise.all([equalRequest, crashedRequest])).map(({status}) => status),
        [200, 200],
      );
      t.match(held.stoppedBy, {failure: 'moved'});
    },
  );
  t.test('does not stop an equal request that may not be retried', async t => {
    const held = new HeldAttempt();
    const fixture = new SenderFixture([held.respond, breakConnection]);
    const sender = fixture.createSender(false);
    const chosen = await sender.chooseServer();
    const once = sender.send(chosen, 'once', SERVICE.requestTimeoutMs);
    await held.sent;
    const crashedRequest = fixture.createSender().sendIdempotent();
    await fixture.suspected;
    held.release();
    t.equal((await once).status, 200);
    t.equal(held.stoppedBy, undefined);
    t.equal((await crashedRequest).status, 200);
  });
  t.end();
});
