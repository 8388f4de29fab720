/** Tests of `FairQueue`: order, shares, displacement and what keeps requests from starving. */
import fc from 'fast-check';
import t from 'tap';
import {FairQueue, type QueuedRequest} from '../../../src/controllers/admission/index.js';

const SEED = 20_261_241;

function createRequest(requestId: string, changes: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    requestId,
    workspace: 'a',
    requestClass: 'chat',
    deadlineAtMs: 10_000,
    queuedAtMs: 0,
    priority: 1,
    shareWeight: 1,
    ...changes,
  };
}

function dequeueAll(queue: FairQueue, nowMs = 0): readonly string[] {
  const order: string[] = [];
  for (;;) {
    const next = queue.dequeueNext(nowMs);
    if (!next) return order;
    order.push(next.requestId);
  }
}

t.test('FairQueue', t => {
  t.test('serves the request with the least slack among those that can meet their targets', t => {
    const queue = new FairQueue();
    queue.addRequest(createRequest('missed', {latestStartAtMs: 50}));
    queue.addRequest(createRequest('relaxed', {latestStartAtMs: 900}));
    queue.addRequest(createRequest('tight', {latestStartAtMs: 200}));
    queue.addRequest(createRequest('none'));
    t.same(dequeueAll(queue, 100), ['tight', 'relaxed', 'none', 'missed']);
    t.end();
  });

  // A caller whose request was refused elsewhere would otherwise wait behind everyone who came later.
  t.test('serves a caller that has come back before new ones of its workspace', t => {
    const queue = new FairQueue();
    queue.addRequest(createRequest('new-1', {latestStartAtMs: 1_500, queuedAtMs: 1_000}));
    queue.addRequest(
      createRequest('back', {latestStartAtMs: 1_510, queuedAtMs: 1_010, firstTryAtMs: 300}),
    );
    queue.addRequest(createRequest('new-2', {latestStartAtMs: 1_520, queuedAtMs: 1_020}));
    t.same(dequeueAll(queue, 1_100), ['back', 'new-1', 'new-2']);
    t.end();
  });

  // Under a strict order of priorities, a kind of request with a low priority would never run in an overload.
  t.test('serves each kind and the oldest request in an overload of urgent requests', t => {
    const queue = new FairQueue();
    for (const kind of ['review', 'batch', 'report']) {
      queue.addRequest(createRequest(kind, {requestClass: kind, priority: 7}));
    }
    const positions = new Map<string, number>();
    for (let count = 0; count < 100; count += 1) {
      queue.addRequest(createRequest(`chat-${count}`, {queuedAtMs: -1_000}));
      positions.set(queue.dequeueNext(0)?.requestId ?? '', count);
    }
    for (const kind of ['review', 'batch', 'report']) {
      t.ok((positions.get(kind) ?? 100) < 64, `${kind} was number ${positions.get(kind)}`);
    }
    t.end();
  });

  t.test('skips requests whose deadline has passed until they are removed', t => {
    const queue = new FairQueue();
    queue.addRequest(createRequest('expired', {deadlineAtMs: 100}));
    queue.addRequest(createRequest('open'));
    t.equal(queue.dequeueNext(100)?.requestId, 'open');
    t.equal(queue.dequeueNext(100), undefined);
    t.equal(queue.getSize(), 1);
    t.same(
      queue.removeExpired(100).map(({requestId}) => requestId),
      ['expired'],
    );
    t.equal(queue.getSize(), 0);
    t.end();
  });

  t.test('counts a workspace with a long backlog only for its share', t => {
    const queue = new FairQueue();
    for (let count = 0; count < 50; count += 1) queue.addRequest(createRequest(`a-${count}`));
    const place = {priority: 1, shareWeight: 1};
    t.equal(queue.getCountAhead({...place, workspace: 'a'}), 50);
    t.equal(queue.getCountAhead({...place, workspace: 'b'}), 1);
    t.equal(queue.getCountAhead({...place, workspace: 'b', priority: 2}), 50);
    t.equal(queue.getCountAhead({...place, workspace: 'b', priority: 0}), 0);
    t.end();
  });

  t.test('displaces the newest request of the workspace furthest above its share', t => {
    const queue = new FairQueue();
    for (let count = 0; count < 4; count += 1) queue.addRequest(createRequest(`a-${count}`));
    for (let count = 0; count < 6; count += 1) {
      queue.addRequest(createRequest(`b-${count}`, {workspace: 'b', shareWeight: 3}));
    }
    const displaced = queue.getDisplaceableRequest({workspace: 'c', shareWeight: 1});
    t.equal(displaced?.requestId, 'a-3');
    t.equal(queue.getDisplaceableRequest({workspace: 'a', shareWeight: 1}), undefined);
    t.end();
  });

  t.test('shares by weight and loses no request in any sequence of changes', t => {
    const stepArbitrary = fc.record({
      workspace: fc.constantFrom('a', 'b', 'c'),
      priority: fc.nat(2),
      kind: fc.constantFrom('add', 'add', 'remove', 'dequeue'),
      latestStartAtMs: fc.option(fc.nat(300), {nil: undefined}),
      deadlineAtMs: fc.nat(400),
      target: fc.nat(100),
    });
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 200}), steps => {
        const queue = new FairQueue();
        const queued = new Map<string, QueuedRequest>();
        steps.forEach(({kind, target, ...fields}, nowMs) => {
          if (kind === 'add') {
            const request = createRequest(String(nowMs), {...fields, queuedAtMs: nowMs});
            queue.addRequest(request);
            queued.set(request.requestId, request);
          } else if (kind === 'remove') {
            const ids = [...queued.keys()];
            const id = ids[target % (ids.length || 1)] ?? '';
            if (queue.removeRequest(id) !== queued.get(id)) throw new Error('wrong request');
            queued.delete(id);
          } else {
            const next = queue.dequeueNext(nowMs);
            const isPossible = [...queued.values()].some(request => request.deadlineAtMs > nowMs);
            if ((next !== undefined) !== isPossible) throw new Error('nothing was served');
            if (next && next.deadlineAtMs <= nowMs) throw new Error('served after its deadline');
            queued.delete(next?.requestId ?? '');
          }
          if (queue.getSize() !== queued.size) throw new Error('wrong size');
        });
        return queue.removeExpired(1_000).length === queued.size && queue.getSize() === 0;
      }),
      {seed: SEED, numRuns: 500},
    );
    t.end();
  });
  t.end();
});
