/** Tests of the tries of a plain call, and of what they say of its fingerprint. */
import {randomUUID} from 'node:crypto';
import t from 'tap';
import type {Incident} from '../../src/blackboard/index.js';
import {Blackboard} from '../../src/blackboard/index.js';
import {chooseBackendServer} from '../../src/controllers/routing/index.js';
import {AttemptError, type PlainAnswer} from '../../src/engine/index.js';
import {ServingParts, type HandlerContext} from '../../src/http/index.js';
import {PlainSender, type PlainCall} from '../../src/http/PlainSender.js';
import {Metrics} from '../../src/metrics/index.js';
import {CONFIGURATION, GUIDANCE, createServer} from '../support/deployment.js';

/** One call a server, so that copies run on different ones. */
const SERVICE = {...GUIDANCE, name: 'search', kind: 'plain' as const, maxConcurrentRequests: 1};
const ANSWER: PlainAnswer = {status: 200, contentType: 'text/plain', body: Buffer.from('found')};
const CONNECT_ERROR = Object.assign(new Error('refused'), {code: 'ECONNREFUSED'});

/** Answers of a backend server, each as a function that may fail or wait for the signal. */
type Respond = (signal: AbortSignal) => Promise<PlainAnswer>;

const answer: Respond = () => Promise.resolve(ANSWER);
const breakDown: Respond = () => Promise.reject(new Error('socket closed'));
const failToConnect: Respond = () => Promise.reject(CONNECT_ERROR);
const stopAtOnce: Respond = () =>
  Promise.reject(new AttemptError('stopped', {kind: 'backend-failed', failure: 'moved'}));

/** A try that waits until it is let go or stopped. */
class HeldTry {
  readonly sent: Promise<void>;
  stoppedBy: unknown;
  private letGo: (answer: PlainAnswer) => void = () => undefined;
  private noteSent: () => void = () => undefined;

  constructor() {
    this.sent = new Promise(resolve => (this.noteSent = resolve));
  }

  readonly respond: Respond = signal =>
    new Promise((resolve, reject) => {
      this.letGo = resolve;
      signal.addEventListener('abort', () => {
        this.stoppedBy = signal.reason;
        reject(signal.reason as Error);
      });
      this.noteSent();
    });

  release(): void {
    this.letGo(ANSWER);
  }
}

class World {
  readonly serving: ServingParts;
  readonly reported: Incident[] = [];
  /** Resolves with the first report. */
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
      this.serving.incidents.setSpreader(async incidents => {
        this.reported.push(...incidents);
        resolve();
      }),
    );
    const left = [...responds];
    this.context = {
      ...this.serving,
      blackboard,
      metrics,
      ownInstanceId,
      ownFailureDomain: 'oslo-a',
      getNowMs,
      random: () => 0,
      chooseServer: chooseBackendServer,
      reportIncidents: this.serving.getReporter(),
      engine: {
        isAlive: () => Promise.resolve(false),
        renewConnections: () => undefined,
        callPlain: (unused: unknown, {signal}: {readonly signal: AbortSignal}) =>
          (left.shift() ?? answer)(signal),
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
  t.test('tries again after a crash, and an answer clears the suspicion', async t => {
    const world = new World([breakDown]);
    t.equal((await world.createSender().sendIdempotent()).status, 200);
    const kinds = world.reported.map(({expiresAtMs, observedAtMs}) => expiresAtMs > observedAtMs);
    t.same(kinds, [true, false], 'a suspicion, and its end');
  });
  t.test('does not clear a suspicion by a try that reached no server', async t => {
    const world = new World([breakDown, failToConnect, breakDown]);
    await t.rejects(world.createSender().sendIdempotent(), /has crashed backend servers/);
    t.equal(world.reported.at(-1)?.kind, 'poison-quarantined');
  });
  t.test('does not count stopped tries against the call', async t => {
    const stopped = Array.from({length: 6}, () => stopAtOnce);
    const world = new World([...stopped, breakDown]);
    t.equal((await world.createSender().sendIdempotent()).status, 200);
  });
  t.test('stops a copy that runs elsewhere and sends it again after the verdict', async t => {
    const held = new HeldTry();
    const world = new World([held.respond, breakDown]);
    const copy = world.createSender().sendIdempotent();
    await held.sent;
    const crashed = world.createSender().sendIdempotent();
    t.same(
      (await Promise.all([copy, crashed])).map(({status}) => status),
      [200, 200],
    );
    t.match(held.stoppedBy, {failure: 'moved'});
  });
  t.test('lets a copy run on that may not be sent again', async t => {
    const held = new HeldTry();
    const world = new World([held.respond, breakDown]);
    const sender = world.createSender(false);
    const chosen = await sender.chooseServer();
    const once = sender.send(chosen, 'once', SERVICE.requestTimeoutMs);
    await held.sent;
    const crashed = world.createSender().sendIdempotent();
    await world.suspected;
    held.release();
    t.equal((await once).status, 200);
    t.equal(held.stoppedBy, undefined);
    t.equal((await crashed).status, 200);
  });
  t.end();
});
