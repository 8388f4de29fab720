/** Unit tests of `AdmissionQueue`: decisions, dequeueing order and expiry. */
import t from 'tap';
import {
  AdmissionQueue,
  type AdmissionLimits,
  type AdmissionRequest,
} from '../../../src/controllers/admission/index.js';

const LIMITS: AdmissionLimits = {
  workspaces: [
    {name: 'large', shareWeight: 1, maxOpenRequests: 50},
    {name: 'small', shareWeight: 1, maxOpenRequests: 50},
  ],
  requestClasses: [
    {name: 'chat', priority: 0},
    {name: 'review', priority: 5},
  ],
  maxRunningRequests: 1,
  maxQueuedRequests: 80,
};

function createRequest(requestId: string, changes: Partial<AdmissionRequest> = {}) {
  return {requestId, workspace: 'large', requestClass: 'chat', deadlineAtMs: 1_000, ...changes};
}

function createQueue(changes: Partial<AdmissionLimits> = {}): AdmissionQueue {
  return new AdmissionQueue({getLimits: () => ({...LIMITS, ...changes})});
}

/** Completes running requests one after the other and returns the order in which the queued ones were admitted. */
function drain(queue: AdmissionQueue, runningId: string): readonly string[] {
  const order: string[] = [];
  let admitted = queue.removeRequest(runningId, 0);
  while (admitted.length > 0) {
    order.push(...admitted);
    admitted = queue.removeRequest(admitted[0], 0);
  }
  return order;
}

t.test('AdmissionQueue', t => {
  t.test('addRequest', t => {
    function doTest(
      name: string,
      limits: Partial<AdmissionLimits>,
      request: Partial<AdmissionRequest>,
      expected: string,
    ) {
      t.test(name, t => {
        const queue = createQueue(limits);
        queue.addRequest(createRequest('first'), 0);
        const decision = queue.addRequest(createRequest('second', request), 0);
        t.equal(decision.kind === 'refused' ? decision.errorKind : decision.kind, expected);
        t.end();
      });
    }

    doTest('admits below the limit', {maxRunningRequests: 2}, {}, 'admitted');
    doTest('queues at the limit', {}, {}, 'queued');
    doTest(
      'refuses a request whose deadline has passed',
      {},
      {deadlineAtMs: 0},
      'deadline-unreachable',
    );
    doTest('refuses when the queue is full', {maxQueuedRequests: 0}, {}, 'overloaded');
    doTest(
      'refuses a request of a workspace at its limit',
      {workspaces: [{name: 'large', shareWeight: 1, maxOpenRequests: 1}]},
      {},
      'over-workspace-limit',
    );
    doTest(
      'refuses a request of an unknown workspace',
      {},
      {workspace: 'x'},
      'over-workspace-limit',
    );
    t.end();
  });

  t.test('removeRequest', t => {
    t.test('admits a request of a small workspace before the backlog of a large one', t => {
      const queue = createQueue();
      queue.addRequest(createRequest('running'), 0);
      for (let i = 0; i < 40; i++) queue.addRequest(createRequest(`large-${i}`), 0);
      queue.addRequest(createRequest('small-0', {workspace: 'small'}), 0);
      t.ok(drain(queue, 'running').indexOf('small-0') <= 1);
      t.end();
    });
    t.test('admits chat before review without starving review', t => {
      const queue = createQueue();
      queue.addRequest(createRequest('running'), 0);
      queue.addRequest(createRequest('review', {requestClass: 'review'}), 0);
      for (let i = 0; i < 20; i++) queue.addRequest(createRequest(`chat-${i}`), 1);
      const order = drain(queue, 'running');
      t.equal(order[0], 'chat-0');
      t.ok(order.indexOf('review') < 10, `review was number ${order.indexOf('review')}`);
      t.end();
    });
    t.test('removes a queued request', t => {
      const queue = createQueue();
      queue.addRequest(createRequest('running'), 0);
      queue.addRequest(createRequest('waiting'), 0);
      t.same(queue.removeRequest('waiting', 0), []);
      t.same(queue.removeRequest('running', 0), []);
      t.end();
    });
    t.end();
  });

  t.test('removeExpired', t => {
    const queue = createQueue();
    queue.addRequest(createRequest('running'), 0);
    queue.addRequest(createRequest('waiting'), 0);
    t.same(queue.removeExpired(999), []);
    t.same(queue.removeExpired(1_000), ['waiting']);
    t.end();
  });
  t.end();
});
