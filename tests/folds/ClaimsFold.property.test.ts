/** Property tests of the claims fold: duplicate records, and readers that start from a snapshot. */
import fc from 'fast-check';
import t from 'tap';
import {ClaimsFold} from '../../src/folds/index.js';
import type {LogBody, OutcomeProposal, PlacedRecord} from '../../src/records/index.js';

const KEYS = ['k1', 'k2', 'k3', 'k4'];
const KEEP_MS = 40;
const RUNS = 5_000;

const keyArbitrary = fc.constantFrom(...KEYS);
const attemptArbitrary = fc.constantFrom('a1', 'a2', 'a3');
const runArbitrary = fc.constantFrom<OutcomeProposal['run']>('ran', 'not-run', 'unknown');

const claimArbitrary: fc.Arbitrary<LogBody> = fc
  .tuple(keyArbitrary, attemptArbitrary)
  .map(([key, attemptId]) => {
    const claim = {workspace: 'w', key, attemptId, claimant: 'e1', fingerprint: attemptId};
    return {kind: 'claim-batch', claims: [claim]};
  });

const outcomeArbitrary: fc.Arbitrary<LogBody> = fc
  .tuple(keyArbitrary, attemptArbitrary, runArbitrary)
  .map(([key, attemptId, run]) => {
    return {kind: 'outcome-batch', outcomes: [{workspace: 'w', key, attemptId, run}]};
  });

const bodiesArbitrary = fc.array(fc.oneof(claimArbitrary, outcomeArbitrary), {
  minLength: 1,
  maxLength: 40,
});

/** Returns the bodies as records of one writer, stored `stepMs` apart by the log's clock. */
function place(bodies: readonly LogBody[], stepMs: number): readonly PlacedRecord[] {
  return bodies.map((body, offset) => {
    return {offset, atMs: offset * stepMs, record: {writer: 'e1', sequence: offset + 1, body}};
  });
}

function readState(fold: ClaimsFold): string {
  return JSON.stringify(KEYS.map(key => fold.getClaim('w', key) ?? null));
}

/** Returns a fold that has applied the records, after a gap that ends at `gapEnd` if given. */
function createFold(records: readonly PlacedRecord[], gapEnd?: number): ClaimsFold {
  const fold = new ClaimsFold({retentionMs: KEEP_MS});
  if (gapEnd !== undefined) fold.markIncomplete(gapEnd);
  records.forEach(record => fold.applyRecord(record));
  return fold;
}

t.test('ClaimsFold', t => {
  t.test('ignores a duplicate claim record', t => {
    fc.assert(
      fc.property(bodiesArbitrary, fc.nat(), (bodies, choice) => {
        const duplicate = bodies[choice % bodies.length];
        const original = createFold(place(bodies, 0));
        const withDuplicate = createFold(place([...bodies, duplicate], 0));
        const isOutcome = duplicate.kind === 'outcome-batch';
        return isOutcome || readState(original) === readState(withDuplicate);
      }),
      {seed: 4_301, numRuns: RUNS},
    );
    t.end();
  });

  t.test('has the same state after a snapshot as a reader of the whole stream', t => {
    fc.assert(
      fc.property(
        bodiesArbitrary,
        fc.nat(),
        fc.nat(),
        fc.nat({max: 3}),
        (bodies, coversChoice, indexChoice, stepMs) => {
          const covers = coversChoice % bodies.length;
          const snapshots = createFold(place(bodies, stepMs).slice(0, covers + 1)).createSnapshot(
            covers,
          );
          const snapshotIndex = covers + 1 + (indexChoice % (bodies.length - covers));
          const withSnapshot = place(
            [...bodies.slice(0, snapshotIndex), ...snapshots, ...bodies.slice(snapshotIndex)],
            stepMs,
          );
          const all = createFold(withSnapshot);
          const lateReader = createFold(withSnapshot.slice(covers + 1), covers + 1);
          if (snapshots.length === 0) return true;
          return lateReader.isComplete() && readState(all) === readState(lateReader);
        },
      ),
      {seed: 4_302, numRuns: RUNS},
    );
    t.end();
  });

  t.test('ignores a wrong snapshot if it has read the whole stream', t => {
    fc.assert(
      fc.property(bodiesArbitrary, bodiesArbitrary, (bodies, otherBodies) => {
        const snapshots = createFold(place(otherBodies, 0)).createSnapshot(bodies.length - 1);
        const plain = createFold(place(bodies, 0));
        return readState(plain) === readState(createFold(place([...bodies, ...snapshots], 0)));
      }),
      {seed: 4_303, numRuns: RUNS},
    );
    t.end();
  });
  t.end();
});
