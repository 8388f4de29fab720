/** One request through its tries: what callers get and what servers are sent. */
import t from 'tap';
import {NOT_RUN, RunHarness, SUCCESS} from './exchangeFixtures.js';

const BROKEN = {kind: 'broken', isSent: true, message: 'reset'} as const;
const UNREACHABLE = {kind: 'unreachable', isSent: false, message: 'refused'} as const;

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: x\n\n`);
}

t.test('ExchangeRun', t => {
  t.test('a plain answer is delivered only when it is whole', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    const [{handler}] = harness.tries;
    handler.onHead(SUCCESS);
    handler.onData(Buffer.from('half'));
    t.equal(harness.starts.length, 0);
    handler.onEnd();
    t.equal(harness.text, 'half');
    t.ok(harness.isEnded);
    t.equal(harness.openCount, 0);
    t.end();
  });

  t.test('an idempotent request whose answer broke is answered by another server', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    harness.tries[0].handler.onHead(SUCCESS);
    harness.tries[0].handler.onData(Buffer.from('lost'));
    harness.tries[0].handler.onFailure(BROKEN);
    harness.tries[1].handler.onHead(SUCCESS);
    harness.tries[1].handler.onData(Buffer.from('whole'));
    harness.tries[1].handler.onEnd();
    t.equal(harness.text, 'whole');
    t.equal(harness.openCount, 0);
    t.end();
  });

  t.test('a request that is at most once and may have run is never sent again', t => {
    const harness = new RunHarness({kind: 'at-most-once'}, ['s1', 's2']);
    harness.run.start();
    harness.tries[0].handler.onFailure(BROKEN);
    t.equal(harness.tries.length, 1);
    t.match(harness.refusals, [{kind: 'backend-failed', isNotRun: false}]);
    t.end();
  });

  t.test('a request that reached no server goes to another one', t => {
    const harness = new RunHarness({kind: 'at-most-once', maxAttempts: 1}, ['s1', 's2']);
    harness.run.start();
    harness.tries[0].handler.onFailure(UNREACHABLE);
    t.equal(harness.tries.length, 2);
    harness.tries[1].handler.onFailure(UNREACHABLE);
    t.match(harness.refusals, [{isNotRun: true, retryAfterMs: 250}]);
    t.end();
  });

  t.test('a server that did not run it costs nothing but a try', t => {
    const harness = new RunHarness({kind: 'at-most-once', maxAttempts: 1}, ['s1', 's2']);
    harness.run.start();
    harness.tries[0].handler.onHead(NOT_RUN);
    harness.tries[0].handler.onEnd();
    harness.tries[1].handler.onHead(SUCCESS);
    harness.tries[1].handler.onEnd();
    t.ok(harness.isEnded);
    t.equal(harness.runningCount, 1);
    t.end();
  });

  t.test('without budget there is no further try', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.retriesLeft = 0;
    harness.run.start();
    harness.tries[0].handler.onFailure(BROKEN);
    t.equal(harness.tries.length, 1);
    t.equal(harness.refusals.length, 1);
    t.end();
  });

  t.test('an unsigned success is not passed on', t => {
    const harness = new RunHarness({kind: 'at-most-once'}, ['s1']);
    harness.run.start();
    harness.tries[0].handler.onHead({...SUCCESS, isSigned: false});
    harness.tries[0].handler.onEnd();
    t.equal(harness.starts.length, 0);
    t.match(harness.refusals, [{isNotRun: false}]);
    t.end();
  });

  t.test('the last failure of a server is passed on as the server gave it', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    for (const attempt of [0, 1]) {
      harness.tries[attempt].handler.onHead({...SUCCESS, status: 500});
      harness.tries[attempt].handler.onEnd();
    }
    t.match(harness.starts, [{status: 500}]);
    t.end();
  });

  t.test('a resumable stream goes on in the same answer after its last whole event', t => {
    const route = {kind: 'stream', isResumable: true} as const;
    const harness = new RunHarness(route, ['s1', 's2']);
    harness.run.start();
    const [first] = harness.tries;
    first.handler.onHead(SUCCESS);
    first.handler.onData(Buffer.concat([event(1), event(2), Buffer.from('id: 3\nda')]));
    first.handler.onFailure(BROKEN);
    const second = harness.tries[1];
    t.equal(second.call.resumeAfterEventId, '2');
    second.handler.onHead({...SUCCESS, headers: {'x-signature': 's2'}});
    second.handler.onData(Buffer.concat([event(2), event(3)]));
    second.handler.onEnd();
    t.equal(harness.text, Buffer.concat([event(1), event(2), event(3)]).toString());
    t.same(harness.starts, [{status: 200, headers: {'x-signature': 's1'}}]);
    t.ok(harness.isEnded);
    t.end();
  });

  t.test('a stream that cannot go on is broken off, so that it does not look whole', t => {
    const harness = new RunHarness({kind: 'stream'}, ['s1', 's2']);
    harness.run.start();
    harness.tries[0].handler.onHead(SUCCESS);
    harness.tries[0].handler.onData(event(1));
    harness.tries[0].handler.onFailure(BROKEN);
    t.ok(harness.isBrokenOff);
    t.notOk(harness.isEnded);
    t.equal(harness.tries.length, 1);
    t.end();
  });

  t.test('a caller that leaves ends its try at the server', t => {
    const harness = new RunHarness({}, ['s1']);
    harness.run.start();
    harness.run.abandon();
    t.ok(harness.tries[0].isCancelled);
    t.equal(harness.openCount, 0);
    t.equal(harness.outcome?.kind, 'abandoned');
    t.end();
  });
  t.end();
});
