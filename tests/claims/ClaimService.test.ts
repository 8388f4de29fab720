/** Tests of `ClaimService` with a log in memory, in virtual time. */
import t from 'tap';
import {ClaimService, type ClaimAggregation, type ClaimRequest} from '../../src/claims/index.js';
import {FakeLog, type AppendBehavior} from '../support/FakeLog.js';
import {VirtualTime} from '../support/VirtualTime.js';

const CLAIM_TIMEOUT_MS = 3_000;
const ANSWER = {status: 201, contentType: 'application/json', bodyBase64: 'e30='};

function createRequest(attemptId: string, key = 'k', fingerprint = 'f1'): ClaimRequest {
  return {workspace: 'w', key, attemptId, fingerprint};
}

function createFixture(chooseAppendBehavior?: () => AppendBehavior) {
  const time = new VirtualTime();
  const log = new FakeLog({getNowMs: time.getNowMs, sleep: time.sleep, chooseAppendBehavior});
  const liveClaimants = new Set<string>();
  const createService = (claimant: string, aggregation?: ClaimAggregation) => {
    liveClaimants.add(claimant);
    const service = new ClaimService({
      aggregation,
      log,
      claimant,
      getNowMs: time.getNowMs,
      sleep: time.sleep,
      isClaimantLive: other => liveClaimants.has(other),
      claimTimeoutMs: CLAIM_TIMEOUT_MS,
    });
    service.start();
    return service;
  };
  /** Advances the virtual time, then awaits a promise that depends on it. */
  const settle = async <Value>(promise: Promise<Value>, durationMs = 5_000): Promise<Value> => {
    await time.advance(durationMs);
    return promise;
  };
  return {time, log, liveClaimants, createService, settle};
}

t.test('ClaimService', t => {
  t.test(
    'claim grants a key to one entry only and returns the same stored response to repeats at all entries',
    async t => {
      const {createService, settle} = createFixture();
      const [one, two] = [createService('e1'), createService('e2')];
      const answers = await settle(
        Promise.all([one.claim(createRequest('a1')), two.claim(createRequest('a2'))]),
      );
      t.same(answers.map(answer => answer.verdict).sort(), ['granted', 'held']);
      const winner = answers[0].verdict === 'granted' ? one : two;
      const attemptId = winner === one ? 'a1' : 'a2';
      const outcome = {workspace: 'w', key: 'k', attemptId, run: 'ran' as const, answer: ANSWER};
      t.equal(await settle(winner.recordOutcome(outcome)), true);
      for (const service of [one, two]) {
        const repeat = await settle(service.claim(createRequest(`again-${service === one}`)));
        t.same(repeat, {verdict: 'done', answer: ANSWER, isKnownNotRun: false});
      }
    },
  );

  t.test('claim does not grant a key twice to the same attempt id', async t => {
    const {createService, settle} = createFixture();
    const service = createService('e1');
    const both = [service.claim(createRequest('a1')), service.claim(createRequest('a1'))];
    const answers = await settle(Promise.all(both));
    t.same(answers.map(answer => answer.verdict).sort(), ['granted', 'held']);
    t.equal((await settle(service.claim(createRequest('a1')))).verdict, 'held');
  });

  t.test('claim rejects a key that is reused for a different request', async t => {
    const {createService, settle} = createFixture();
    const service = createService('e1');
    await settle(service.claim(createRequest('a1')));
    const answer = await settle(service.claim(createRequest('a2', 'k', 'f2')));
    t.equal(answer.verdict, 'fingerprint-mismatch');
  });

  t.test('claim returns unknown for a key whose claimant has stopped', async t => {
    const {createService, settle, liveClaimants} = createFixture();
    const [one, two] = [createService('e1'), createService('e2')];
    await settle(one.claim(createRequest('a1')));
    liveClaimants.delete('e1');
    const answer = await settle(two.claim(createRequest('a2')));
    t.same(answer, {verdict: 'unknown', isKnownNotRun: false});
  });

  t.test('claim returns unavailable during a log outage', async t => {
    const {createService, settle, log, time} = createFixture();
    const service = createService('e1');
    await time.advance(100);
    log.setOutage(true);
    const answer = await settle(service.claim(createRequest('a1')));
    t.same(answer, {verdict: 'unavailable', isKnownNotRun: false});
  });

  t.test('claim that appears in the log after its refusal is recorded as not run', async t => {
    const fates: AppendBehavior[] = [
      {delayMs: CLAIM_TIMEOUT_MS + 500, answerDelayMs: 1, isLost: false, isAnswerLost: true},
    ];
    const faultless = {delayMs: 1, answerDelayMs: 1, isLost: false, isAnswerLost: false};
    const {createService, settle} = createFixture(() => fates.shift() ?? faultless);
    const [one, two] = [createService('e1'), createService('e2')];
    const refused = await settle(one.claim(createRequest('a1')));
    t.equal(refused.verdict, 'unavailable');
    const repeat = await settle(two.claim(createRequest('a2')));
    t.same(repeat, {verdict: 'not-run', isKnownNotRun: true});
  });

  t.test('claim batches concurrent claims into one append', async t => {
    const {createService, settle, log} = createFixture();
    const service = createService('e1');
    const requests = Array.from({length: 50}, (empty, index) =>
      createRequest(`a${index}`, `k${index}`),
    );
    const answers = await settle(Promise.all(requests.map(request => service.claim(request))));
    t.ok(answers.every(answer => answer.verdict === 'granted'));
    t.equal(log.getAppendCount(), 1);
  });

  t.test('stop appends queued outcomes', async t => {
    const {createService, settle} = createFixture();
    const [one, two] = [createService('e1'), createService('e2')];
    await settle(one.claim(createRequest('a1')));
    void one.recordOutcome({workspace: 'w', key: 'k', attemptId: 'a1', run: 'ran', answer: ANSWER});
    await settle(one.stop());
    t.equal((await settle(two.claim(createRequest('a2')))).verdict, 'done');
  });

  t.test('stop appends an outcome that was sent to a stalled aggregator', async t => {
    const {createService, settle, time} = createFixture();
    const stalledAggregator = {
      instanceId: 'e3',
      aggregate: () => new Promise<never>(() => undefined),
    };
    let usesAggregator = false;
    const one = createService('e1', {
      getAggregator: () => (usesAggregator ? stalledAggregator : undefined),
      getAppenderCount: () => 2,
    });
    const two = createService('e2');
    await settle(one.claim(createRequest('a1')));
    usesAggregator = true;
    void one.recordOutcome({workspace: 'w', key: 'k', attemptId: 'a1', run: 'ran', answer: ANSWER});
    await time.advance(1);
    await settle(one.stop());
    t.equal((await settle(two.claim(createRequest('a2')))).verdict, 'done');
  });

  t.test('recordOutcome appends an outcome that its aggregator accepted and lost', async t => {
    const {createService, settle} = createFixture();
    const lossyAggregator = {instanceId: 'e3', aggregate: () => Promise.resolve([])};
    const one = createService('e1', {
      getAggregator: () => lossyAggregator,
      getAppenderCount: () => 2,
    });
    t.equal((await settle(one.claim(createRequest('a1')))).verdict, 'granted');
    const outcome = {workspace: 'w', key: 'k', attemptId: 'a1', run: 'ran' as const};
    t.equal(await settle(one.recordOutcome({...outcome, answer: ANSWER})), true);
  });

  t.test('recordOutcome retries until a log outage has ended', async t => {
    const {createService, settle, log} = createFixture();
    const [one, two] = [createService('e1'), createService('e2')];
    await settle(one.claim(createRequest('a1')));
    log.setOutage(true);
    const outcome = {
      workspace: 'w',
      key: 'k',
      attemptId: 'a1',
      run: 'ran' as const,
      answer: ANSWER,
    };
    t.equal(await settle(one.recordOutcome(outcome), 60_000), false);
    log.setOutage(false);
    const repeat = await settle(two.claim(createRequest('a2')), 10_000);
    t.equal(repeat.verdict, 'held', 'the outcome has not been read back yet');
    t.equal((await settle(two.claim(createRequest('a3')))).verdict, 'done');
  });
  t.end();
});
