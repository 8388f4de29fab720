/** Tests the result for keys older than the retention of claims, as described in docs/operators/idempotency-keys.md. */
import t from 'tap';
import {decideClaim, type ClaimView} from '../../../src/controllers/claims/index.js';
import type {KeptClaim} from '../../../src/folds/index.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const NOW_MS = 1_790_000_000_000;
const FORGOTTEN_BEFORE_MS = NOW_MS - 7 * DAY_MS;
const TIME_DIGITS = 12;
const ANSWER = {status: 201, contentType: 'text/plain', bodyBase64: 'b2s='};

/** Returns a UUID of version 7 with the given creation time. */
function createKey(atMs: number): string {
  const digits = atMs.toString(16).padStart(TIME_DIGITS, '0');
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7cc1-9d3e-5b1f0a6e2c44`;
}

function createClaim(key: string, outcome?: KeptClaim['outcome']): KeptClaim {
  const claim = {workspace: 'w', key, attemptId: 'a1', claimant: 'e1', fingerprint: 'f'};
  return {...claim, offset: 1, claimedAtMs: NOW_MS, outcome};
}

t.test('decideClaim', t => {
  function doTest(name: string, key: string, expected: string, claim?: KeptClaim) {
    t.test(name, t => {
      const view: ClaimView = {
        claim,
        isHistoryComplete: true,
        keptFromMs: FORGOTTEN_BEFORE_MS,
        claimant: 'e1',
        isClaimantLive: true,
      };
      const request = {workspace: 'w', key, attemptId: 'a1', fingerprint: 'f'};
      t.equal(decideClaim(view, request)?.verdict ?? 'free', expected);
      t.end();
    });
  }

  const old = createKey(NOW_MS - 8 * DAY_MS);
  doTest('a new version 7 key is free', createKey(NOW_MS), 'free');
  doTest('the state of an old version 7 key without a claim is unknown', old, 'unknown');
  doTest(
    'a version 7 key counts as old from one hour before the end of the retention time',
    createKey(FORGOTTEN_BEFORE_MS + HOUR_MS - 1),
    'unknown',
  );
  doTest('a version 7 key is free until then', createKey(FORGOTTEN_BEFORE_MS + HOUR_MS), 'free');
  doTest('a key that contains no time is free', 'booking-17', 'free');
  doTest('a version 4 key contains no time and is free', old.replace('-7', '-4'), 'free');
  doTest('a claim on an old key is not granted', old, 'unknown', createClaim(old));
  doTest(
    'an old key with a recent claim returns the stored response',
    old,
    'done',
    createClaim(old, {run: 'ran', answer: ANSWER}),
  );
  t.end();
});
