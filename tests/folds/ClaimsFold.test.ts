/** Tests of the claims fold. */
import t from 'tap';
import {ClaimsFold} from '../../src/folds/index.js';
import type {LogBody} from '../../src/records/index.js';

const KEEP_MS = 1_000;

function createClaim(attemptId: string, fingerprint = 'f1'): LogBody {
  const claim = {workspace: 'w', key: 'k', attemptId, claimant: 'entry-1', fingerprint};
  return {kind: 'claim-batch', claims: [claim]};
}

function createOutcome(attemptId: string, run: 'ran' | 'not-run' | 'unknown'): LogBody {
  return {kind: 'outcome-batch', outcomes: [{workspace: 'w', key: 'k', attemptId, run}]};
}

function createFold(bodies: readonly LogBody[], stepMs = 0): ClaimsFold {
  const fold = new ClaimsFold({retentionMs: KEEP_MS});
  bodies.forEach((body, index) => {
    const record = {writer: 'entry-1', sequence: index + 1, body};
    fold.applyRecord({offset: index, atMs: index * stepMs, record});
  });
  return fold;
}

t.test('ClaimsFold', t => {
  t.test('getClaim', t => {
    function doTest(
      name: string,
      bodies: readonly LogBody[],
      expected: {readonly holder: string; readonly run?: string},
    ) {
      t.test(name, t => {
        const claim = createFold(bodies).getClaim('w', 'k');
        t.equal(claim?.attemptId, expected.holder);
        t.equal(claim?.outcome?.run, expected.run);
        t.end();
      });
    }

    const first = createClaim('a1');
    const second = createClaim('a2');
    doTest('returns the first claim on a key', [first, second], {holder: 'a1'});
    doTest('keeps the outcome of the holder', [first, createOutcome('a1', 'ran')], {
      holder: 'a1',
      run: 'ran',
    });
    doTest('ignores the outcome of another attempt', [first, createOutcome('a2', 'ran')], {
      holder: 'a1',
    });
    doTest(
      'keeps the first outcome',
      [first, createOutcome('a1', 'not-run'), createOutcome('a1', 'ran')],
      {holder: 'a1', run: 'not-run'},
    );
    doTest(
      'replaces an unknown outcome by a later known one',
      [first, createOutcome('a1', 'unknown'), createOutcome('a1', 'ran')],
      {holder: 'a1', run: 'ran'},
    );
    doTest(
      'keeps the key assigned after its request was not run',
      [first, createOutcome('a1', 'not-run'), second],
      {holder: 'a1', run: 'not-run'},
    );
    t.end();
  });

  t.test('getClaim returns undefined for a claim that has expired by the log clock', t => {
    const fold = createFold([createClaim('a1'), createOutcome('a1', 'ran')], KEEP_MS + 1);
    t.equal(fold.getClaim('w', 'k'), undefined);
    t.equal(fold.getClaimCount(), 0);
    t.equal(fold.getExpiryLimitMs(), 1);
    t.end();
  });
  t.end();
});
