/** Tests of calls to gatherers, in virtual time. */
import t from 'tap';
import type {ClaimAnswer, GatheredBatch} from '../../src/claims/index.js';
import {GathererCalls} from '../../src/claims/GathererCalls.js';
import {VirtualTime} from '../support/VirtualTime.js';

const TIMEOUT_MS = 500;
const CALL_GAP_MS = 25;
const GRANTED: ClaimAnswer = {verdict: 'granted', isKnownNotRun: false};

function createClaim(key: string) {
  return {workspace: 'w', key, attemptId: `a-${key}`, claimant: 'e1', fingerprint: 'f'};
}

function createOutcome(key: string) {
  return {workspace: 'w', key, attemptId: `a-${key}`, run: 'ran' as const};
}

/** Returns calls to a gatherer that answers after a time, and the batches that it got. */
function createWorld(answerAfterMs: number) {
  const time = new VirtualTime();
  const batches: GatheredBatch[] = [];
  const state = {openCount: 0, maxOpenCount: 0};
  const gatherer = {
    instanceId: 'e2',
    gather: async (batch: GatheredBatch, timeoutMs: number) => {
      batches.push(batch);
      state.maxOpenCount = Math.max(state.maxOpenCount, ++state.openCount);
      await time.sleep(Math.min(answerAfterMs, timeoutMs));
      state.openCount -= 1;
      if (answerAfterMs > timeoutMs) throw new Error('timeout');
      return batch.claims.map(({key}) => ({...GRANTED, answer: createAnswer(key)}));
    },
  };
  const {getNowMs, sleep} = time;
  const options = {getNowMs, sleep, timeoutMs: TIMEOUT_MS, callGapMs: CALL_GAP_MS};
  const calls = new GathererCalls(options);
  const claim = (key: string) =>
    calls.claim(gatherer, createClaim(key)).then(
      ({answer}) => answer?.contentType,
      () => `no answer at ${time.getNowMs()} ms`,
    );
  return {time, batches, state, gatherer, calls, claim};
}

function createAnswer(key: string) {
  return {status: 200, contentType: key, bodyBase64: ''};
}

t.test('GathererCalls', t => {
  t.test('calls an idle gatherer at once, then once for all that came in the gap', async t => {
    const {time, batches, calls, gatherer, claim} = createWorld(5);
    const first = claim('k0');
    await time.advance(1);
    t.equal(batches.length, 1);
    const others = Array.from({length: 20}, (empty, index) => claim(`k${index + 1}`));
    const outcome = calls.addOutcome(gatherer, createOutcome('k0'));
    await time.advance(CALL_GAP_MS + 10);
    t.equal(batches.length, 2);
    t.equal(batches[1].outcomes.length, 1);
    t.equal(await first, 'k0');
    t.same(
      await Promise.all(others),
      Array.from({length: 20}, (empty, index) => `k${index + 1}`),
    );
    await outcome;
  });

  t.test('a slow gatherer gets fewer and larger calls', async t => {
    const {time, batches, state, claim} = createWorld(200);
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
    t.ok(state.maxOpenCount <= 4, `${state.maxOpenCount} calls were open at once`);
    t.ok(batches.length <= 24, `${batches.length} calls`);
  });

  t.test('each claim at a dead gatherer is given up in time', async t => {
    const {time, claim} = createWorld(Infinity);
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

  t.test('stop rejects what waits and sends it no more', async t => {
    const {time, batches, calls, claim} = createWorld(100);
    const claims = [claim('k1')];
    await time.advance(1);
    claims.push(claim('k2'));
    calls.stop();
    await time.advance(1_000);
    t.same(await Promise.all(claims), ['no answer at 1 ms', 'no answer at 1 ms']);
    t.equal(batches.length, 1);
  });

  t.test('a claim that the answer passes over is given up', async t => {
    const {time, calls} = createWorld(0);
    const gatherer = {instanceId: 'e3', gather: () => Promise.resolve([])};
    const answer = calls.claim(gatherer, createClaim('k')).catch(() => 'no answer');
    await time.advance(1);
    t.equal(await answer, 'no answer');
  });
  t.end();
});
