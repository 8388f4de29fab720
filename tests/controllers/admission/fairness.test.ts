/** Property tests of `AdmissionQueue`: fair shares, limits, early refusal. */
import fc from 'fast-check';
import t from 'tap';
import {AdmissionQueue, type AdmissionLimits} from '../../../src/controllers/admission/index.js';

const SEED = 20_261_206;
const RUNS = 500;
const MAX_QUEUED_REQUESTS = 20;

const LIMITS: AdmissionLimits = {
  workspaces: [
    {name: 'large', shareWeight: 1, maxOpenRequests: 1_000},
    {name: 'small', shareWeight: 1, maxOpenRequests: 1_000},
  ],
  requestClasses: [
    {name: 'chat', priority: 0},
    {name: 'review', priority: 5},
  ],
  maxRunningRequests: 4,
  maxQueuedRequests: MAX_QUEUED_REQUESTS,
};

const arrivalArbitrary = fc.record({
  workspace: fc.constantFrom('large', 'large', 'large', 'small'),
  requestClass: fc.constantFrom('chat', 'review'),
  completionsBefore: fc.nat(2),
});

t.test('AdmissionQueue', t => {
  t.test(
    'stays within its limits and loses no request in any sequence of arrivals and completions',
    t => {
      fc.assert(
        fc.property(fc.array(arrivalArbitrary, {maxLength: 200}), arrivals => {
          const queue = new AdmissionQueue({getLimits: () => LIMITS});
          const running: string[] = [];
          const waiting = new Set<string>();
          const admit = (ids: readonly string[]) => {
            for (const id of ids) {
              waiting.delete(id);
              running.push(id);
            }
          };
          arrivals.forEach(({completionsBefore, ...request}, index) => {
            for (let i = 0; i < completionsBefore && running.length > 0; i++) {
              admit(queue.removeRequest(running.shift() ?? '', index));
            }
            const requestId = String(index);
            const decision = queue.addRequest({...request, requestId, deadlineAtMs: 1e9}, index);
            if (decision.kind === 'admitted') running.push(requestId);
            if (decision.kind === 'queued') {
              waiting.add(requestId);
              waiting.delete(decision.displacedRequestId ?? '');
            }
          });
          const isBounded = running.length <= 4 && waiting.size <= MAX_QUEUED_REQUESTS;
          const isCounted =
            queue.getRunningCount() === running.length && queue.getQueuedCount() === waiting.size;
          while (running.length > 0) admit(queue.removeRequest(running.shift() ?? '', 1e6));
          return isBounded && isCounted && waiting.size === 0;
        }),
        {seed: SEED, numRuns: RUNS},
      );
      t.end();
    },
  );

  t.test('gives a small workspace its fair share during a backlog of a large one', t => {
    const caseArbitrary = fc.record({
      backlog: fc.integer({min: 5, max: 60}),
      weight: fc.integer({min: 1, max: 3}),
    });
    fc.assert(
      fc.property(caseArbitrary, ({backlog, weight}) => {
        const workspaces = [LIMITS.workspaces[0], {...LIMITS.workspaces[1], shareWeight: weight}];
        const queue = new AdmissionQueue({getLimits: () => ({...LIMITS, workspaces})});
        const running: string[] = [];
        const add = (requestId: string, workspace: string) => {
          const decision = queue.addRequest(
            {requestId, workspace, requestClass: 'chat', deadlineAtMs: 1e9},
            0,
          );
          if (decision.kind === 'admitted') running.push(requestId);
          return decision.kind;
        };
        for (let i = 0; i < backlog; i++) add(`large-${i}`, 'large');
        const kinds = [0, 1, 2].map(i => add(`small-${i}`, 'small'));
        const order: string[] = [];
        while (running.length > 0) {
          const admitted = queue.removeRequest(running.shift() ?? '', 0);
          running.push(...admitted);
          order.push(...admitted);
        }
        const position = order.indexOf('small-2');
        return !kinds.includes('refused') && position <= 6 + 1;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });

  t.test('refuses a request that could not be admitted before its deadline', t => {
    const queue = new AdmissionQueue({getLimits: () => ({...LIMITS, maxRunningRequests: 1})});
    const add = (requestId: string, nowMs: number, deadlineAtMs: number) =>
      queue.addRequest({requestId, workspace: 'small', requestClass: 'chat', deadlineAtMs}, nowMs);
    for (let i = 0; i < 6; i++) add(`r${i}`, 0, 1e6);
    for (let i = 0; i < 3; i++) queue.removeRequest(`r${i}`, (i + 1) * 1_000);
    t.match(add('late', 3_000, 4_500), {kind: 'refused', errorKind: 'deadline-unreachable'});
    t.match(add('in-time', 3_000, 60_000), {kind: 'queued'});
    t.end();
  });
  t.end();
});
