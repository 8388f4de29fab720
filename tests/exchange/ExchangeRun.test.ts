/** Tests of `ExchangeRun`: what callers and backend servers receive when attempts succeed or fail. */
import t from 'tap';
import type {Route, RouteKind} from '../../src/catalog/index.js';
import type {BackendHead} from '../../src/exchange/index.js';
import {BufferBudget} from '../../src/utils/index.js';
import {NOT_RUN, REQUEST, RunHarness, SUCCESS, type SentAttempt} from './exchangeFixtures.js';

const BROKEN = {kind: 'broken', isSent: true, message: 'reset'} as const;
const UNREACHABLE = {kind: 'unreachable', isSent: false, message: 'refused'} as const;

/** More than a gateway with the least memory could buffer. */
const ENDLESS_CHUNKS = 4_000;
const CHUNK_BYTES = 65_536;

/** Sends chunks until the attempt is cancelled. */
function sendWithoutEnd(attempt: SentAttempt, text: string): void {
  const chunk = Buffer.from(text.repeat(CHUNK_BYTES / text.length));
  for (let count = 0; count < ENDLESS_CHUNKS && !attempt.isCancelled; count += 1) {
    attempt.handler.onData(chunk);
  }
}

/** An integer above 2^53: a Unix time in milliseconds, and 16 bits that count events. */
const LARGE_EVENT_ID = 1_790_000_000_000n << 16n;

function createEvent(id: number | bigint): Buffer {
  return Buffer.from(`id: ${id}\ndata: x\n\n`);
}

const WAIT_MS = 5_000;

async function waitFor(check: () => boolean): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS;
  while (!check()) {
    if (performance.now() > endAtMs) throw new Error('the condition did not become true in time');
    await new Promise(resolve => setImmediate(resolve));
  }
}

t.test('ExchangeRun', t => {
  t.test('delivers a plain response only when it is complete', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    const [{handler}] = harness.sentAttempts;
    handler.onHead(SUCCESS);
    handler.onData(Buffer.from('half'));
    t.equal(harness.startedResponses.length, 0);
    handler.onEnd();
    t.equal(harness.text, 'half');
    t.ok(harness.isResponseEnded);
    t.equal(harness.openCount, 0);
    t.end();
  });

  t.test('retries an idempotent request with a broken response on another server', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    harness.sentAttempts[0].handler.onData(Buffer.from('lost'));
    harness.sentAttempts[0].handler.onFailure(BROKEN);
    harness.sentAttempts[1].handler.onHead(SUCCESS);
    harness.sentAttempts[1].handler.onData(Buffer.from('whole'));
    harness.sentAttempts[1].handler.onEnd();
    t.equal(harness.text, 'whole');
    t.equal(harness.openCount, 0);
    t.end();
  });

  t.test('closes the connection of a server that sends a body without end', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    sendWithoutEnd(harness.sentAttempts[0], 'x');
    t.ok(harness.sentAttempts[0].isCancelled);
    harness.sentAttempts[1].handler.onHead(SUCCESS);
    harness.sentAttempts[1].handler.onData(Buffer.from('whole'));
    harness.sentAttempts[1].handler.onEnd();
    t.equal(harness.text, 'whole');
    t.equal(harness.openCount, 0);
    t.end();
  });

  // Each response was bounded, all of them together weren't.
  t.test('ends the largest response when all together take too much memory', t => {
    const buffers = new BufferBudget(100_000);
    const createHarness = () =>
      new RunHarness({kind: 'at-most-once'}, ['s1'], REQUEST, 1_000, buffers);
    const [small, large, next] = [createHarness(), createHarness(), createHarness()];
    for (const {run, sentAttempts} of [small, large, next]) {
      run.start();
      sentAttempts[0].handler.onHead(SUCCESS);
    }
    small.sentAttempts[0].handler.onData(Buffer.alloc(30_000));
    large.sentAttempts[0].handler.onData(Buffer.alloc(60_000));
    t.equal(buffers.totalBytes, 90_000);
    next.sentAttempts[0].handler.onData(Buffer.alloc(20_000));
    t.ok(large.sentAttempts[0].isCancelled);
    t.match(large.refusals, [{kind: 'backend-failed', isNotRun: false}]);
    t.equal(buffers.totalBytes, 50_000);
    for (const {sentAttempts} of [small, next]) sentAttempts[0].handler.onEnd();
    t.ok(small.isResponseEnded && next.isResponseEnded);
    t.equal(buffers.totalBytes, 0);
    t.end();
  });

  t.test('releases the memory of a response, however its request ends', t => {
    const buffers = new BufferBudget(Infinity);
    const ends = [
      (harness: RunHarness) => harness.sentAttempts[0].handler.onEnd(),
      (harness: RunHarness) => harness.sentAttempts[0].handler.onFailure(BROKEN),
      (harness: RunHarness) => harness.run.abandon(),
      (harness: RunHarness) => harness.run.stop(),
    ];
    for (const kind of ['at-most-once', 'idempotent', 'stream'] as const) {
      for (const end of ends) {
        const harness = new RunHarness({kind}, ['s1'], REQUEST, 1_000, buffers);
        harness.run.start();
        harness.sentAttempts[0].handler.onHead(SUCCESS);
        harness.sentAttempts[0].handler.onData(Buffer.from('id: 1'));
        t.ok(buffers.totalBytes > 0);
        end(harness);
        t.equal(buffers.totalBytes, 0);
      }
    }
    t.end();
  });

  t.test('closes the connection of a server that sends an event without end', t => {
    const harness = new RunHarness({kind: 'stream'}, ['s1']);
    harness.run.start();
    const [attempt] = harness.sentAttempts;
    attempt.handler.onHead(SUCCESS);
    attempt.handler.onData(createEvent(1));
    sendWithoutEnd(attempt, 'data: x');
    t.ok(attempt.isCancelled);
    t.equal(harness.text, createEvent(1).toString());
    t.ok(harness.isResponseAborted);
    t.equal(harness.openCount, 0);
    t.end();
  });

  const doTestStreamEnd = (name: string, received: string, isComplete: boolean) => {
    t.test(`a stream that ${name}`, t => {
      const harness = new RunHarness({kind: 'stream'}, ['s1']);
      harness.run.start();
      const [{handler}] = harness.sentAttempts;
      handler.onHead(SUCCESS);
      handler.onData(Buffer.from(received));
      handler.onEnd();
      t.equal(harness.isResponseEnded, isComplete);
      t.equal(harness.isResponseAborted || harness.refusals.length > 0, !isComplete);
      t.equal(harness.openCount, 0);
      t.end();
    });
  };
  doTestStreamEnd('ends after an event is complete', 'id: 1\ndata: x\n\n', true);
  doTestStreamEnd('ends with more line ends is complete', 'id: 1\ndata: x\n\n\r\n', true);
  doTestStreamEnd('ends inside its first event is broken off', 'id: 1\ndata: x', false);
  doTestStreamEnd('ends inside a later event is broken off', 'id: 1\ndata: x\n\nid: 2\n', false);
  doTestStreamEnd('ends without any event is broken off', '', false);

  t.test('a stream that ends inside an event is resumed after the last complete one', t => {
    const harness = new RunHarness({kind: 'stream', isResumable: true}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    harness.sentAttempts[0].handler.onData(Buffer.from('id: 1\ndata: x\n\nid: 2\nda'));
    harness.sentAttempts[0].handler.onEnd();
    t.equal(harness.sentAttempts[1].call.resumeAfterEventId, '1');
    harness.sentAttempts[1].handler.onHead(SUCCESS);
    harness.sentAttempts[1].handler.onData(createEvent(2));
    harness.sentAttempts[1].handler.onEnd();
    t.equal(harness.text, `${createEvent(1)}${createEvent(2)}`);
    t.ok(harness.isResponseEnded);
    t.end();
  });

  t.test(
    'a server that did not run a request has not run it, even if its response has no end',
    t => {
      const harness = new RunHarness({kind: 'at-most-once'}, ['s1']);
      harness.run.start();
      harness.sentAttempts[0].handler.onHead(NOT_RUN);
      sendWithoutEnd(harness.sentAttempts[0], 'x');
      t.ok(harness.sentAttempts[0].isCancelled);
      t.match(harness.refusals, [{isNotRun: true}]);
      t.end();
    },
  );

  t.test('never retries an at-most-once request that may have run', t => {
    const harness = new RunHarness({kind: 'at-most-once'}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onFailure(BROKEN);
    t.equal(harness.sentAttempts.length, 1);
    t.match(harness.refusals, [{kind: 'backend-failed', isNotRun: false}]);
    t.end();
  });

  t.test('sends a request that reached no server to another one', t => {
    const harness = new RunHarness({kind: 'at-most-once', maxAttempts: 1}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onFailure(UNREACHABLE);
    t.equal(harness.sentAttempts.length, 2);
    harness.sentAttempts[1].handler.onFailure(UNREACHABLE);
    t.match(harness.refusals, [{isNotRun: true, retryAfterMs: 250}]);
    t.end();
  });

  t.test('retries an at-most-once request that a server did not run', t => {
    const harness = new RunHarness({kind: 'at-most-once', maxAttempts: 1}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onHead(NOT_RUN);
    harness.sentAttempts[0].handler.onEnd();
    harness.sentAttempts[1].handler.onHead(SUCCESS);
    harness.sentAttempts[1].handler.onEnd();
    t.ok(harness.isResponseEnded);
    t.equal(harness.runningCount, 1);
    t.end();
  });

  t.test('does not send a request again whose key was revoked in the meantime', t => {
    const notRun = new RunHarness({}, ['s1', 's2']);
    notRun.run.start();
    notRun.recheckRefusal = 'no-key';
    notRun.sentAttempts[0].handler.onHead(NOT_RUN);
    notRun.sentAttempts[0].handler.onEnd();
    t.equal(notRun.sentAttempts.length, 1);
    t.match(notRun.refusals, [{kind: 'no-key', isNotRun: true}]);
    const mayHaveRun = new RunHarness({}, ['s1', 's2']);
    mayHaveRun.run.start();
    mayHaveRun.recheckRefusal = 'not-current';
    mayHaveRun.sentAttempts[0].handler.onFailure(BROKEN);
    t.equal(mayHaveRun.sentAttempts.length, 1);
    t.match(mayHaveRun.refusals, [{kind: 'backend-failed', isNotRun: false}]);
    t.end();
  });

  const doTestSecondServer = (name: string, head: BackendHead) => {
    t.test(`a stream that broke off does not continue with ${name} of the next server`, t => {
      const harness = new RunHarness({kind: 'stream', isResumable: true}, ['s1', 's2']);
      harness.run.start();
      const [first] = harness.sentAttempts;
      first.handler.onHead(SUCCESS);
      first.handler.onData(createEvent(1));
      first.handler.onFailure(BROKEN);
      const [, second] = harness.sentAttempts;
      second.handler.onHead(head);
      second.handler.onData(Buffer.from('HTTP/1.1 500 x\r\n\r\nid: 2\ndata: error\n\n'));
      second.handler.onEnd();
      t.equal(harness.text, createEvent(1).toString());
      t.equal(harness.isResponseEnded, false);
      t.equal(harness.isResponseAborted, true);
      t.equal(harness.startedResponses.length, 1);
      t.end();
    });
  };
  doTestSecondServer('an error', {...SUCCESS, status: 500});
  doTestSecondServer('an error of the request', {...SUCCESS, status: 404});
  doTestSecondServer('a refusal', NOT_RUN);
  doTestSecondServer('an unsigned response', {...SUCCESS, isSigned: false});
  doTestSecondServer('a redirect', {...SUCCESS, status: 302});

  t.test('does not retry when the retry budget is exhausted', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.remainingRetries = 0;
    harness.run.start();
    harness.sentAttempts[0].handler.onFailure(BROKEN);
    t.equal(harness.sentAttempts.length, 1);
    t.equal(harness.refusals.length, 1);
    t.end();
  });

  t.test('does not deliver an unsigned success', t => {
    const harness = new RunHarness({kind: 'at-most-once'}, ['s1']);
    harness.run.start();
    harness.sentAttempts[0].handler.onHead({...SUCCESS, isSigned: false});
    harness.sentAttempts[0].handler.onEnd();
    t.equal(harness.startedResponses.length, 0);
    t.match(harness.refusals, [{isNotRun: false}]);
    t.end();
  });

  t.test('delivers the error response of the last attempt unchanged', t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.run.start();
    for (const attempt of [0, 1]) {
      harness.sentAttempts[attempt].handler.onHead({...SUCCESS, status: 500});
      harness.sentAttempts[attempt].handler.onEnd();
    }
    t.match(harness.startedResponses, [{status: 500}]);
    t.end();
  });

  // A 503 without the statement that nothing has run was handed on, and callers ran the request a second time.
  const doTestNotRunStatus = (route: Partial<Route>, isDelivered: boolean) => {
    const {kind, isResumable = false} = route;
    const name = `${isResumable ? 'resumable ' : ''}${kind} request`;
    t.test(`a server that ran a ${name} and answered with a not-run status`, t => {
      const harness = new RunHarness({...route, maxAttempts: 1}, ['s1']);
      harness.run.start();
      const [{handler}] = harness.sentAttempts;
      handler.onHead({...SUCCESS, status: 503, hasNotRunStatus: true});
      handler.onData(Buffer.from('the next step failed'));
      handler.onEnd();
      if (isDelivered) t.match(harness.startedResponses, [{status: 503}]);
      else t.same(harness.startedResponses, []);
      const refusal = {kind: 'backend-failed', isNotRun: false, retryAfterMs: undefined} as const;
      t.same(harness.refusals, isDelivered ? [] : [refusal]);
      t.equal(harness.openCount, 0);
      t.end();
    });
  };
  doTestNotRunStatus({kind: 'at-most-once'}, false);
  doTestNotRunStatus({kind: 'stream'}, false);
  doTestNotRunStatus({kind: 'stream', isResumable: true}, true);
  doTestNotRunStatus({kind: 'idempotent'}, true);

  t.test('resumes a resumable stream in the same response after its last complete event', t => {
    const route = {kind: 'stream', isResumable: true} as const;
    const harness = new RunHarness(route, ['s1', 's2']);
    harness.run.start();
    const [first] = harness.sentAttempts;
    first.handler.onHead(SUCCESS);
    first.handler.onData(Buffer.concat([createEvent(1), createEvent(2), Buffer.from('id: 3\nda')]));
    first.handler.onFailure(BROKEN);
    const second = harness.sentAttempts[1];
    t.equal(second.call.resumeAfterEventId, '2');
    second.handler.onHead({...SUCCESS, headers: {'x-signature': 's2'}});
    second.handler.onData(Buffer.concat([createEvent(2), createEvent(3)]));
    second.handler.onEnd();
    t.equal(
      harness.text,
      Buffer.concat([createEvent(1), createEvent(2), createEvent(3)]).toString(),
    );
    t.same(harness.startedResponses, [{status: 200, headers: {'x-signature': 's1'}}]);
    t.ok(harness.isResponseEnded);
    t.end();
  });

  // Ids above 2^53 were compared as numbers, so that neighbours were equal and their events were left out.
  const doTestLargeEventIds = (name: string, route: {isResumable: boolean}) => {
    t.test(`forwards every event of ${name} whose ids exceed the safe integers`, t => {
      const harness = new RunHarness({kind: 'stream', ...route}, ['s1']);
      harness.run.start();
      const [{handler}] = harness.sentAttempts;
      const events = Array.from({length: 20}, (_, index) =>
        createEvent(LARGE_EVENT_ID + BigInt(index)),
      );
      handler.onHead(SUCCESS);
      for (const event of events) handler.onData(event);
      handler.onEnd();
      t.equal(harness.text, Buffer.concat(events).toString());
      t.ok(harness.isResponseEnded);
      t.end();
    });
  };
  doTestLargeEventIds('a stream', {isResumable: false});
  doTestLargeEventIds('a resumable stream', {isResumable: true});

  // The same comparison left out the first events of a resumed stream.
  t.test('resumes a stream whose ids exceed the safe integers without losing an event', t => {
    const harness = new RunHarness({kind: 'stream', isResumable: true}, ['s1', 's2']);
    harness.run.start();
    const events = Array.from({length: 6}, (_, index) =>
      createEvent(LARGE_EVENT_ID + BigInt(index)),
    );
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    for (const event of events.slice(0, 3)) harness.sentAttempts[0].handler.onData(event);
    harness.sentAttempts[0].handler.onFailure(BROKEN);
    t.equal(harness.sentAttempts[1].call.resumeAfterEventId, String(LARGE_EVENT_ID + 2n));
    harness.sentAttempts[1].handler.onHead(SUCCESS);
    for (const event of events.slice(1)) harness.sentAttempts[1].handler.onData(event);
    harness.sentAttempts[1].handler.onEnd();
    t.equal(harness.text, Buffer.concat(events).toString());
    t.end();
  });

  // A response that isn't resumed has no repeated events, whatever its ids are.
  t.test(
    'forwards a stream that is not resumed unchanged, also with ids that do not increase',
    t => {
      const harness = new RunHarness({kind: 'stream'}, ['s1'], {...REQUEST, lastEventId: '9'});
      harness.run.start();
      const [{handler}] = harness.sentAttempts;
      const received = 'id: 5\ndata: a\n\nid: 4\ndata: b\n\nid:\ndata: c\n\nid: 5\ndata: d\n\n';
      handler.onHead(SUCCESS);
      handler.onData(Buffer.from(received));
      handler.onEnd();
      t.equal(harness.text, received);
      t.end();
    },
  );

  // Nothing made a server wait: the gateway kept what a caller didn't read until it was out of memory.
  t.test('makes the server wait while the caller does not take its events', t => {
    const harness = new RunHarness({kind: 'stream'}, ['s1']);
    harness.run.start();
    const [attempt] = harness.sentAttempts;
    attempt.handler.onHead(SUCCESS);
    attempt.handler.onData(createEvent(1));
    t.notOk(attempt.isPaused);
    harness.isSinkFull = true;
    attempt.handler.onData(createEvent(2));
    t.ok(attempt.isPaused);
    attempt.handler.onData(createEvent(3));
    harness.drain();
    t.notOk(attempt.isPaused);
    attempt.handler.onData(createEvent(4));
    attempt.handler.onEnd();
    t.equal(harness.text, [1, 2, 3, 4].map(createEvent).join(''));
    t.ok(harness.isResponseEnded);
    t.match(harness.measurements, [{interEventMs: undefined}], 'the server is not called slow');
    t.end();
  });

  t.test('makes the next server of a resumed stream wait for the caller as well', t => {
    const harness = new RunHarness({kind: 'stream', isResumable: true}, ['s1', 's2']);
    harness.run.start();
    harness.isSinkFull = true;
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    harness.sentAttempts[0].handler.onData(createEvent(1));
    harness.sentAttempts[0].handler.onFailure(BROKEN);
    t.ok(harness.sentAttempts[1].isPaused);
    harness.drain();
    t.notOk(harness.sentAttempts[1].isPaused);
    harness.run.abandon();
    t.end();
  });

  t.test('aborts a stream that cannot be resumed, so that it does not look complete', t => {
    const harness = new RunHarness({kind: 'stream'}, ['s1', 's2']);
    harness.run.start();
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    harness.sentAttempts[0].handler.onData(createEvent(1));
    harness.sentAttempts[0].handler.onFailure(BROKEN);
    t.ok(harness.isResponseAborted);
    t.notOk(harness.isResponseEnded);
    t.equal(harness.sentAttempts.length, 1);
    t.end();
  });

  t.test('at a stop, a request that was sent may have run, and one that was refused has not', t => {
    const sent = new RunHarness({}, ['s1']);
    sent.run.start();
    sent.run.stop();
    t.ok(sent.sentAttempts[0].isCancelled);
    t.match(sent.refusals, [{kind: 'stopping', isNotRun: false, retryAfterMs: undefined}]);
    t.equal(sent.openCount, 0);
    const started = new RunHarness({kind: 'stream'}, ['s1']);
    started.run.start();
    started.sentAttempts[0].handler.onHead(SUCCESS);
    started.sentAttempts[0].handler.onData(Buffer.from('id: 1\ndata: x\n\n'));
    started.run.stop();
    t.ok(started.isResponseAborted, 'a stream that has begun is broken off');
    t.end();
  });
  const doTestStall = (
    name: string,
    {kind, isKept, retries}: {kind: RouteKind; isKept: boolean; retries: number},
    attempts: number,
  ) => {
    t.test(name, async t => {
      const harness = new RunHarness({kind}, ['s1', 's2']);
      harness.stallMs = 1;
      harness.isConnectionKept = isKept;
      harness.remainingRetries = retries;
      harness.run.start();
      await waitFor(() => harness.sentAttempts[0].isStalled);
      t.equal(harness.sentAttempts[0].isCancelled, attempts > 1);
      t.equal(harness.sentAttempts.length, attempts);
      t.equal(harness.openCount, 1);
      t.same(harness.refusals, [], 'the caller is not refused');
      harness.run.abandon();
    });
  };
  doTestStall(
    'sends an overdue idempotent request again if its connection was kept',
    {kind: 'idempotent', isKept: true, retries: 1},
    2,
  );
  doTestStall(
    'waits for an overdue request on a new connection',
    {kind: 'idempotent', isKept: false, retries: 1},
    1,
  );
  doTestStall(
    'waits for an overdue request if no retry is allowed',
    {kind: 'idempotent', isKept: true, retries: 0},
    1,
  );
  doTestStall(
    'never sends an overdue request again that may run at most once',
    {kind: 'at-most-once', isKept: true, retries: 1},
    1,
  );
  doTestStall('waits for an overdue stream', {kind: 'stream', isKept: true, retries: 1}, 1);
  t.test('reads what has arrived during a suspension before time limits are applied', async t => {
    const deadlineMs = 5;
    const harness = new RunHarness({}, ['s1', 's2'], {...REQUEST, deadlineMs}, deadlineMs);
    harness.stallMs = deadlineMs;
    harness.run.start();
    const {handler} = harness.sentAttempts[0];
    const suspendedUntilMs = performance.now() + 4 * deadlineMs;
    while (performance.now() < suspendedUntilMs);
    setImmediate(() => {
      handler.onHead(SUCCESS);
      handler.onData(Buffer.from('late'));
      handler.onEnd();
    });
    await waitFor(() => harness.outcome !== undefined);
    t.equal(harness.text, 'late');
    t.equal(harness.outcome?.kind, 'answered');
    t.notOk(harness.sentAttempts[0].isStalled);
  });
  t.test('an attempt with a response is not overdue', async t => {
    const harness = new RunHarness({}, ['s1', 's2']);
    harness.stallMs = 5;
    harness.run.start();
    harness.sentAttempts[0].handler.onHead(SUCCESS);
    await new Promise(resolve => setTimeout(resolve, 20));
    t.notOk(harness.sentAttempts[0].isStalled);
    harness.run.abandon();
  });
  // A caller that left after its request was sent got its tokens back, though the server ran it.
  t.test('tells at every moment whether the request may have run', t => {
    /** What the servers sent before the end: by attempt, their heads, chunks and failures. */
    const moments: readonly {
      readonly name: string;
      readonly servers: readonly string[];
      readonly play: (attempts: readonly SentAttempt[]) => void;
      readonly mayHaveRun: boolean;
    }[] = [
      {name: 'no server', servers: [], play: () => undefined, mayHaveRun: false},
      {name: 'sent', servers: ['s1'], play: () => undefined, mayHaveRun: true},
      {
        name: 'a head',
        servers: ['s1'],
        play: ([{handler}]) => handler.onHead(SUCCESS),
        mayHaveRun: true,
      },
      {
        name: 'a first event',
        servers: ['s1'],
        play: ([{handler}]) => {
          handler.onHead(SUCCESS);
          handler.onData(createEvent(1));
        },
        mayHaveRun: true,
      },
      {
        name: 'a complete response without an event',
        servers: ['s1'],
        play: ([{handler}]) => {
          handler.onHead(SUCCESS);
          handler.onEnd();
        },
        mayHaveRun: true,
      },
      {
        name: 'the head of a statement that it did not run',
        servers: ['s1'],
        play: ([{handler}]) => handler.onHead(NOT_RUN),
        mayHaveRun: false,
      },
      {
        name: 'a complete statement that it did not run',
        servers: ['s1'],
        play: ([{handler}]) => {
          handler.onHead(NOT_RUN);
          handler.onEnd();
        },
        mayHaveRun: false,
      },
      {
        name: 'a server that is not reached',
        servers: ['s1'],
        play: ([{handler}]) => handler.onFailure(UNREACHABLE),
        mayHaveRun: false,
      },
      {
        name: 'a lost connection',
        servers: ['s1'],
        play: ([{handler}]) => handler.onFailure(BROKEN),
        mayHaveRun: true,
      },
      {
        name: 'sent to a second server after one that did not run it',
        servers: ['s1', 's2'],
        play: ([{handler}]) => {
          handler.onHead(NOT_RUN);
          handler.onEnd();
        },
        mayHaveRun: true,
      },
      {
        name: 'a statement of the second server after a loss at the first',
        servers: ['s1', 's2'],
        play: attempts => {
          attempts[0].handler.onFailure(BROKEN);
          attempts.at(1)?.handler.onHead(NOT_RUN);
        },
        mayHaveRun: true,
      },
    ];
    for (const kind of ['at-most-once', 'idempotent', 'stream'] as const) {
      for (const end of ['abandon', 'stop'] as const) {
        for (const {name, servers, play, mayHaveRun} of moments) {
          const harness = new RunHarness({kind}, servers);
          harness.run.start();
          play(harness.sentAttempts);
          harness.run[end]();
          t.equal(harness.outcome?.hasRun, mayHaveRun, `${kind}, ${end}: ${name}`);
        }
      }
    }
    t.end();
  });
  t.test('cancels the attempt when the caller disconnects', t => {
    const harness = new RunHarness({}, ['s1']);
    harness.run.start();
    harness.run.abandon();
    t.ok(harness.sentAttempts[0].isCancelled);
    t.equal(harness.openCount, 0);
    t.equal(harness.outcome?.kind, 'abandoned');
    t.end();
  });
  t.end();
});
