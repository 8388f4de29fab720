/** Tests of calls to claim aggregators, in virtual time. */
import t from 'tap';
import type {ClaimAnswer, ClaimAggregationBatch} from '../../src/claims/index.js';
import {AggregatorCalls} from '../../src/claims/AggregatorCalls.js';
import {VirtualTime} from '../support/VirtualTime.js';

const TIMEOUT_MS = 500;
const CALL_INTERVAL_MS = 25;
const GRANTED: ClaimAnswer = {verdict: 'granted', isKnownNotRun: false};

function createClaim(key: string) {
  return {workspace: 'w', key, attemptId: `a-${key}`, claimant: 'e1', fingerprint: 'f'};
}

function createOutcome(key: string) {
  return {workspace: 'w', key, attemptId: `a-${key}`, run: 'ran' as const};
}

/**
 * Creates an aggregator that responds after a time, its `AggregatorCalls`, and a list of the batches that it receives.
 */
function createFixture(responseTimeMs: number) {
  const time = new VirtualTime();
  const batches: ClaimAggregationBatch[] = [];
  const state = {openCount: 0, maxOpenCount: 0};
  const aggregator = {
    instanceId: 'e2',
    aggregate: async (batch: ClaimAggregationBatch, timeoutMs: number) => {
      batches.push(batch);
      state.maxOpenCount = Math.max(state.maxOpenCount, ++state.openCount);
      await time.sleep(Math.min(responseTimeMs, timeoutMs));
      state.openCount -= 1;
      if (responseTimeMs > timeoutMs) throw new Error('timeout');
      return batch.claims.map(({key}) => ({...GRANTED, answer: createAnswer(key)}));
    },
  };
  const {getNowMs, sleep} = time;
  const options = {getNowMs, sleep, timeoutMs: TIMEOUT_MS, callIntervalMs: CALL_INTERVAL_MS};
  const calls = new AggregatorCalls(options);
  const claim = (key: string) =>
    calls.claim(aggregator, createClaim(key)).then(
      ({answer}) => answer?.contentType,
      () => `rejected at ${time.getNowMs()} ms`,
    );
  return {time, batches, state, aggregator, calls, claim};
}

function createAnswer(key: string) {
  return {status: 200, contentType: key, bodyBase64: ''};
}

t.test('AggregatorCalls', t => {
  t.test(
    'calls an idle aggregator at once, and again with all items queued during the call interval',
    async t => {
      const {time, batches, calls, aggregator, claim} = createFixture(5);
      const first = claim('k0');
      await time.advance(1);
      t.equal(batches.length, 1);
      const others = Array.from({length: 20}, (empty, index) => claim(`k${index + 1}`));
      const outcome = calls.addOutcome(aggregator, createOutcome('k0'));
      await time.advance(CALL_INTERVAL_MS + 10);
      t.equal(batches.length, 2);
      t.equal(batches[1].outcomes.length, 1);
      t.equal(await first, 'k0');
      t.same(
        await Promise.all(others),
        Array.from({length: 20}, (empty, index) => `k${index + 1}`),
      );
      await outcome;
    },
  );

  t.test('sends fewer and larger calls to a slow aggregator', async t => {
    const {time, batches, state, claim} = createFixture(200);
    const claims: Promise<unknown>[] = [];
    for (let index = 0; index < 100; index++) {
      claims.push(claim(`k${index}`));
      await time.advance(10);
    }
    await time.advance(1_000);
    t.same(
      await Promise.all(claims),
      claims.map((empty, index) => `k${index}`),
    );
    t.ok(state.maxOpenCount <= 4, `${state.maxOpenCount} concurrent calls`);
    t.ok(batches.length <= 24, `${batches.length} calls`);
  });

  t.test('rejects each claim at an unresponsive aggregator within the timeout', async t => {
    const {time, claim} = createFixture(Infinity);
    const claims = Array.from({length: 30}, async () => {
      const addedAtMs = time.getNowMs();
      await claim('k');
      return time.getNowMs() - addedAtMs;
    });
    for (let index = 0; index < 60; index++) {
      await time.advance(20);
      claims.push(
        (async () => {
          const addedAtMs = time.getNowMs();
          await claim('k');
          return time.getNowMs() - addedAtMs;
        })(),
      );
    }
    await time.advance(2_000);
    const waitsMs = await Promise.all(claims);
    t.ok(Math.max(...waitsMs) <= TIMEOUT_MS, `${Math.max(...waitsMs)} ms`);
  });

  t.test('stop rejects queued items and sends no further calls', async t => {
    const {time, batches, calls, claim} = createFixture(100);
    const claims = [claim('k1')];
    await time.advance(1);
    claims.push(claim('k2'));
    calls.stop();
    await time.advance(1_000);
    t.same(await Promise.all(claims), ['rejected at 1 ms', 'rejected at 1 ms']);
    t.equal(batches.length, 1);
  });

  t.test('rejects a claim for which the response contains no decision', async t => {
    const {time, calls} = createFixture(0);
    const aggregator = {instanceId: 'e3', aggregate: () => Promise.resolve([])};
    const answer = calls.claim(aggregator, createClaim('k')).catch(() => 'rejected');
    await time.advance(1);
    t.equal(await answer, 'rejected');
  });
  t.end();
});
