/** Tests of lease decisions: single cases, and property tests against a model in virtual time. */
import assert from 'node:assert/strict';
import t from 'tap';
import fc from 'fast-check';
import {
  decideLease,
  decideOrderPermission,
  type LeaseView,
  type OrderPermission,
  type OrderView,
} from '../../../src/controllers/lease/index.js';
import {LeaseModel, type StepFaults} from '../../support/LeaseModel.js';

const SEED = 20261204;
const RUNS = 3_000;
const STEPS = 240;
/**
 * Steps within which a holder must be elected once faults have ended: the sum of the term, the margin, the timeout of a
 * pending proposal, and the time to read the log.
 */
const RECOVERY_STEPS = 60;

const VIEW: LeaseView = {
  candidate: 'a',
  timing: {termMs: 1_000, marginMs: 100, claimDelayMs: 50},
  lease: {holder: 'b', fencingToken: 4, termMs: 2_000, newestOffset: 9},
  isHistoryComplete: true,
  newestReadAtMs: 10_000,
  confirmedSentAtMs: undefined,
  hasPendingProposal: false,
  isStopping: false,
};

t.test('decideLease', t => {
  function doTest(
    name: string,
    changes: Partial<LeaseView>,
    nowMs: number,
    expected: readonly string[],
  ) {
    t.test(name, t => {
      const {effects, changes: after} = decideLease({...VIEW, ...changes}, nowMs);
      t.same([...(after.isHeld ? ['held'] : []), ...effects.map(one => one.kind)], expected);
      t.end();
    });
  }

  const ownLease = {lease: {...VIEW.lease, holder: 'a'}, confirmedSentAtMs: 9_900};
  doTest("waits for the holder's own term and the margin", {}, 12_149, []);
  doTest('claims after term, margin and delay', {}, 12_150, ['propose-claim']);
  doTest('does not claim before the log has been read', {isHistoryComplete: false}, 99_000, []);
  doTest('does not claim while a proposal is pending', {hasPendingProposal: true}, 99_000, []);
  doTest('does not claim while the daemon stops', {isStopping: true}, 99_000, []);
  doTest('holds the lease for a term after sending the claim', ownLease, 10_000, ['held']);
  doTest('renews after a third of a term', ownLease, 10_600, ['held', 'propose-renewal']);
  doTest('no longer holds the lease after the term', ownLease, 11_900, ['propose-renewal']);
  doTest('releases the lease when the daemon stops', {...ownLease, isStopping: true}, 10_000, [
    'held',
    'propose-release',
  ]);
  t.end();
});

t.test('decideOrderPermission', t => {
  function doTest(
    name: string,
    changes: Partial<OrderView>,
    nowMs: number,
    expected: OrderPermission,
  ) {
    t.test(name, t => {
      const view = {
        heldUntilMs: 2_000,
        claimReadAtMs: 1_000,
        maxOrderDelayMs: 500,
        honoursFencingTokens: true,
        ...changes,
      };
      t.equal(decideOrderPermission(view, nowMs), expected);
      t.end();
    });
  }

  doTest('allows an order of the holder', {}, 1_999, 'allowed');
  doTest('rejects an order at the end of the term', {}, 2_000, 'not-the-holder');
  doTest('rejects an order of another daemon', {heldUntilMs: undefined}, 0, 'not-the-holder');
  const withoutFencing = {honoursFencingTokens: false};
  doTest('waits for older orders without fencing', withoutFencing, 1_499, 'older-orders-in-flight');
  doTest('allows an order once older ones have taken effect', withoutFencing, 1_500, 'allowed');
  t.end();
});

const NO_FAULTS: StepFaults = {
  isLogOut: false,
  isAppendLost: false,
  isAppendRepeated: false,
  appendDelayMs: 0,
  isReadSlow: false,
  orderDelayMs: 0,
};

/** Draws a value in `percent` of the cases and undefined in the others. */
const optionally = <Value>(percent: number, arbitrary: fc.Arbitrary<Value>) =>
  fc.oneof(
    {weight: 100 - percent, arbitrary: fc.constant(undefined)},
    {weight: percent, arbitrary},
  );

/** Draws true in `percent` of the cases and false in the others. */
const trueIn = (percent: number) => optionally(percent, fc.constant(true)).map(Boolean);

const faultsArbitrary: fc.Arbitrary<StepFaults> = fc.record({
  isLogOut: fc.constant(false),
  isAppendLost: trueIn(20),
  isAppendRepeated: trueIn(20),
  appendDelayMs: fc.oneof(
    {weight: 4, arbitrary: fc.constant(0)},
    {weight: 2, arbitrary: fc.integer({min: 0, max: 400})},
    {weight: 1, arbitrary: fc.integer({min: 400, max: 4_000})},
  ),
  isReadSlow: trueIn(30),
  freeze: optionally(
    4,
    fc.record({index: fc.nat(4), durationMs: fc.integer({min: 100, max: 5_000})}),
  ),
  cut: optionally(
    14,
    fc.record({index: fc.nat(4), durationMs: fc.integer({min: 100, max: 3_000})}),
  ),
  restartIndex: optionally(4, fc.nat(4)),
  orderDelayMs: fc.constantFrom(0, 100, 350),
});

const outageArbitrary = fc.record({from: fc.nat(STEPS), steps: fc.integer({min: 1, max: 80})});

t.test('lease: orders of two holders never both take effect', {timeout: 200_000}, t => {
  let holders = 0;
  let heldSteps = 0;
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 5}),
      fc.array(faultsArbitrary, {minLength: 24, maxLength: 48}),
      fc.array(outageArbitrary, {maxLength: 2}),
      (candidateCount, faults, outages) => {
        const isLogOut = (step: number) =>
          outages.some(({from, steps}) => step >= from && step < from + steps);
        const result = new LeaseModel(candidateCount).run(STEPS, step => ({
          ...faults[step % faults.length],
          isLogOut: isLogOut(step),
        }));
        holders += result.holders;
        heldSteps += result.heldSteps;
        assert.deepEqual(result.violations, []);
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  t.comment(`${RUNS} cases, ${holders} holders, ${heldSteps} held steps`);
  t.ok(holders > 2 * RUNS, 'the cases include changes of the holder');
  t.ok(heldSteps > 80 * RUNS, 'the cases include steps in which the lease is held');
  t.end();
});

t.test('lease: a holder is elected soon after the faults end', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 5}),
      fc.array(faultsArbitrary, {minLength: 24, maxLength: 48}),
      (candidateCount, faults) => {
        const lastFaultStep = 100;
        const drainSteps = 100;
        const result = new LeaseModel(candidateCount).run(
          lastFaultStep + drainSteps + RECOVERY_STEPS,
          step => (step <= lastFaultStep ? faults[step % faults.length] : NO_FAULTS),
        );
        assert.ok(result.isHeldAtEnd);
      },
    ),
    {seed: SEED, numRuns: 500},
  );
  t.end();
});
