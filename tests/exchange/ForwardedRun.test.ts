/** What a caller gets of a request that its gateway passes on to another one. */
import t from 'tap';
import {
  ForwardedRun,
  type BackendResponseHandler,
  type ForwardedOutcome,
  type PeerCall,
  type Refusal,
} from '../../src/exchange/index.js';
import {REQUEST, SUCCESS} from './exchangeFixtures.js';

const DEADLINE_MS = 5_000;
const UNSENT = {kind: 'unreachable', isSent: false, message: 'ECONNREFUSED'} as const;
const BROKEN = {kind: 'broken', isSent: true, message: 'other side closed'} as const;
const OWN_REFUSAL = {...SUCCESS, status: 503, isSigned: false, headers: {'retry-after': '0.10'}};

/** A forwarded request, whose responses the test writes. */
class Harness {
  readonly calls: PeerCall[] = [];
  readonly handlers: BackendResponseHandler[] = [];
  readonly written: string[] = [];
  readonly outcomes: ForwardedOutcome[] = [];
  refusal: Refusal | undefined;
  cancelled = 0;
  paused = 0;
  resumed = 0;
  isFull = false;
  drain: () => void = () => undefined;
  readonly run: ForwardedRun;

  constructor(peerIds: readonly string[], deadlineAtMs = DEADLINE_MS) {
    const write = (text: string) => this.written.push(text);
    const isFull = () => this.isFull;
    this.run = new ForwardedRun({
      request: REQUEST,
      deadlineAtMs,
      sink: {
        start: status => write(`start ${status}`),
        write: chunk => write(chunk.toString()),
        get isFull() {
          return isFull();
        },
        onceDrained: onDrained => (this.drain = onDrained),
        end: () => write('end'),
        abortResponse: () => write('abort'),
        refuse: refusal => (this.refusal = refusal),
      },
      transport: {
        send: (call, handler) => {
          this.calls.push(call);
          this.handlers.push(handler);
          return {
            cancel: () => (this.cancelled += 1),
            pause: () => (this.paused += 1),
            resume: () => (this.resumed += 1),
            reportStall: () => false,
          };
        },
      },
      choosePeer: triedIds => {
        const id = peerIds.find(peerId => !triedIds.has(peerId));
        return id === undefined ? undefined : {id, trafficAddress: id};
      },
      onSent: () => undefined,
      retryAfterMs: 100,
      getNowMs: () => 0,
      onOutcome: outcome => this.outcomes.push(outcome),
    });
    this.run.start();
  }

  get kinds(): readonly string[] {
    return this.outcomes.map(({kind}) => kind);
  }
}

t.test('ForwardedRun', t => {
  t.test('passes the response back as it is, and holds it while the caller takes no more', t => {
    const harness = new Harness(['g2']);
    t.equal(harness.calls[0].deadlineMs, DEADLINE_MS);
    const [handler] = harness.handlers;
    handler.onHead(SUCCESS);
    harness.isFull = true;
    handler.onData(Buffer.from('id: 1\ndata: x\n\n'));
    t.equal(harness.paused, 1);
    harness.drain();
    t.equal(harness.resumed, 1);
    handler.onEnd();
    t.same(harness.written, ['start 200', 'id: 1\ndata: x\n\n', 'end']);
    t.same(harness.kinds, ['passed-back']);
    t.end();
  });

  t.test('asks a second gateway if the first one was not reached or refused the request', t => {
    for (const failFirst of [
      (handler: BackendResponseHandler) => handler.onFailure(UNSENT),
      (handler: BackendResponseHandler) => handler.onHead(OWN_REFUSAL),
    ]) {
      const harness = new Harness(['g2', 'g3', 'g4']);
      failFirst(harness.handlers[0]);
      harness.handlers[0].onData(Buffer.from('late'));
      harness.handlers[1].onHead(SUCCESS);
      harness.handlers[1].onEnd();
      t.same(
        harness.calls.map(({peer}) => peer.id),
        ['g2', 'g3'],
      );
      t.same(harness.written, ['start 200', 'end']);
    }
    t.end();
  });

  t.test('asks no third gateway, so that a cut does not multiply the load of the others', t => {
    const harness = new Harness(['g2', 'g3', 'g4']);
    harness.handlers[0].onHead(OWN_REFUSAL);
    harness.handlers[1].onHead(OWN_REFUSAL);
    harness.handlers[1].onEnd();
    t.same(harness.written, ['start 503', 'end'], 'with its time to retry');
    t.equal(harness.calls.length, 2);
    t.end();
  });

  t.test('a request that no gateway received is refused as not run', t => {
    const harness = new Harness(['g2']);
    harness.handlers[0].onFailure(UNSENT);
    t.same(harness.refusal, {kind: 'no-server', isNotRun: true, retryAfterMs: 100});
    t.same(harness.kinds, ['refused']);
    t.end();
  });

  t.test(
    'a request that another gateway may have run is neither repeated nor called not run',
    t => {
      const harness = new Harness(['g2', 'g3']);
      harness.handlers[0].onFailure(BROKEN);
      t.equal(harness.calls.length, 1);
      t.same(harness.refusal, {kind: 'backend-failed', isNotRun: false, retryAfterMs: undefined});
      t.end();
    },
  );

  t.test('a response that breaks off does not look complete', t => {
    const harness = new Harness(['g2', 'g3']);
    harness.handlers[0].onHead(SUCCESS);
    harness.handlers[0].onFailure(BROKEN);
    t.same(harness.written, ['start 200', 'abort']);
    t.same(harness.kinds, ['broken-off']);
    t.end();
  });

  t.test('is cancelled at the other gateway when its caller disconnects', t => {
    const harness = new Harness(['g2']);
    harness.run.abandon();
    harness.handlers[0].onHead(SUCCESS);
    harness.handlers[0].onEnd();
    t.equal(harness.cancelled, 1);
    t.same(harness.written, []);
    t.same(harness.kinds, ['abandoned']);
    t.end();
  });

  t.test('ends with an error soon after its deadline if the other gateway is silent', async t => {
    const harness = new Harness(['g2'], 50);
    await new Promise(resolve => setTimeout(resolve, 400));
    t.equal(harness.cancelled, 1);
    t.same(harness.refusal, {kind: 'timeout', isNotRun: false, retryAfterMs: undefined});
  });

  t.test('ends with an error when the process stops', t => {
    const harness = new Harness(['g2']);
    harness.run.stop();
    t.same(harness.refusal, {kind: 'stopping', isNotRun: false, retryAfterMs: undefined});
    t.end();
  });
  t.end();
});
