/** Tests of the fleet fold. */
import assert from 'node:assert/strict';
import t from 'tap';
import fc from 'fast-check';
import {FleetFold} from '../../src/folds/index.js';
import type {LogBody} from '../../src/records/index.js';
import {
  createLeaseClaim,
  createDomainOrder,
  createMoveRequest,
  createMoveStep,
  toPlacedRecords,
  createQuarantine,
  createLeaseRelease,
  createLeaseRenewal,
} from '../support/fleetRecords.js';

t.test('FleetFold applyRecord', t => {
  function doTest(name: string, bodies: readonly LogBody[], expected: readonly string[]) {
    t.test(name, t => {
      const fold = new FleetFold();
      const verdicts = toPlacedRecords(bodies).map(placed => {
        fold.applyRecord(placed);
        return fold.getLastResult().rejection ?? 'accepted';
      });
      t.same(verdicts, expected);
      t.end();
    });
  }

  doTest(
    'accepts only the first of two claims on a free lease',
    [createLeaseClaim('a', -1), createLeaseClaim('b', -1)],
    ['accepted', 'not-newest-lease-record'],
  );
  doTest(
    'rejects a claim that names a lease record older than the newest renewal',
    [
      createLeaseClaim('a', -1),
      createLeaseRenewal('a', 0),
      createLeaseClaim('b', 0),
      createLeaseClaim('b', 1),
    ],
    ['accepted', 'accepted', 'not-newest-lease-record', 'accepted'],
  );
  doTest(
    'rejects the renewal of a lost lease',
    [createLeaseClaim('a', -1), createLeaseClaim('b', 0), createLeaseRenewal('a', 0)],
    ['accepted', 'accepted', 'not-the-holder'],
  );
  doTest(
    'accepts a claim directly after a release',
    [
      createLeaseClaim('a', -1),
      createLeaseRelease('a', 0),
      createLeaseRenewal('a', 0),
      createLeaseClaim('b', 1),
    ],
    ['accepted', 'accepted', 'not-the-holder', 'accepted'],
  );
  doTest(
    'accepts one move per service at a time',
    [
      createMoveRequest('m1'),
      createMoveRequest('m2'),
      createMoveRequest('m3', 'booking'),
      createMoveRequest('m1'),
    ],
    ['accepted', 'move-under-way', 'accepted', 'move-id-used'],
  );
  doTest(
    'accepts move steps only from the current lease holder',
    [
      createLeaseClaim('a', -1),
      createMoveRequest('m1'),
      createLeaseClaim('b', 0),
      createMoveStep('m1', 0, 'running'),
      createMoveStep('m1', 2, 'running'),
    ],
    ['accepted', 'accepted', 'accepted', 'old-fencing-token', 'accepted'],
  );
  doTest(
    'rejects steps of a move that has ended',
    [
      createLeaseClaim('a', -1),
      createMoveRequest('m1'),
      createMoveStep('m1', 0, 'soaking'),
      createMoveStep('m1', 0, 'running'),
      createMoveStep('m1', 0, 'taken-back', 0),
      createMoveStep('m1', 0, 'done'),
      createMoveRequest('m2'),
    ],
    ['accepted', 'accepted', 'accepted', 'phase-goes-back', 'accepted', 'move-ended', 'accepted'],
  );
  doTest(
    'accepts only the first of two orders on the same revision of a failure domain',
    [
      createDomainOrder('accra', 'out', 0),
      createDomainOrder('accra', 'in', 0),
      createDomainOrder('tema', 'out', 0),
    ],
    ['accepted', 'not-newest-revision', 'accepted'],
  );
  t.end();
});

t.test('FleetFold applyRecord rejects duplicate appends', t => {
  const fold = new FleetFold();
  const [placed] = toPlacedRecords([createDomainOrder('accra', 'out', 0)]);
  fold.applyRecord(placed);
  fold.applyRecord({...placed, offset: 1});
  t.equal(fold.getLastResult().rejection, 'repeat');
  t.equal(fold.getFailureDomains()[0]?.revision, 1);
  t.end();
});

t.test('FleetFold getQuarantines leaves out expired ones', t => {
  const fold = new FleetFold();
  toPlacedRecords([createQuarantine('f1', 0, 1_000), createQuarantine('f2', 0, 5_000)]).forEach(
    placed => fold.applyRecord(placed),
  );
  t.same(
    fold.getQuarantines(2_000).map(active => active.fingerprint),
    ['f2'],
  );
  t.end();
});

const bodyArbitrary: fc.Arbitrary<LogBody> = fc.oneof(
  fc
    .tuple(fc.constantFrom('a', 'b'), fc.integer({min: -1, max: 20}))
    .map(args => createLeaseClaim(...args)),
  fc
    .tuple(fc.constantFrom('a', 'b'), fc.integer({min: -1, max: 20}))
    .map(args => createLeaseRenewal(...args)),
  fc.constantFrom('m1', 'm2').map(moveId => createMoveRequest(moveId)),
  fc
    .tuple(
      fc.constantFrom('m1', 'm2'),
      fc.integer({min: -1, max: 20}),
      fc.constantFrom('running' as const, 'done' as const),
    )
    .map(args => createMoveStep(...args)),
  fc
    .tuple(fc.constantFrom('accra', 'tema'), fc.constantFrom('in' as const, 'out' as const))
    .chain(([name, state]) => fc.nat(3).map(revision => createDomainOrder(name, state, revision))),
);

t.test('FleetFold restores from a snapshot the state of a reader of the whole stream', t => {
  fc.assert(
    fc.property(fc.array(bodyArbitrary), fc.array(bodyArbitrary), (before, after) => {
      const whole = new FleetFold();
      toPlacedRecords(before).forEach(placed => whole.applyRecord(placed));
      const snapshot: LogBody = {
        kind: 'fleet-snapshot',
        coversOffset: before.length - 1,
        state: whole.getSnapshotState(),
      };
      const lateReader = new FleetFold();
      lateReader.markIncomplete();
      const recordsAfter = toPlacedRecords([snapshot, ...after], 'w', before.length);
      for (const placed of recordsAfter) {
        whole.applyRecord(placed);
        lateReader.applyRecord(placed);
      }
      assert.ok(lateReader.isComplete());
      assert.deepStrictEqual(
        JSON.parse(lateReader.getSnapshotState()),
        JSON.parse(whole.getSnapshotState()),
      );
    }),
    {seed: 20261204, numRuns: 500},
  );
  t.end();
});

t.test('FleetFold rejects a snapshot that does not cover the preceding record', t => {
  const fold = new FleetFold();
  fold.markIncomplete();
  const state = new FleetFold().getSnapshotState();
  fold.applyRecord({
    offset: 7,
    record: {writer: 'w', sequence: 1, body: {kind: 'fleet-snapshot', coversOffset: 5, state}},
  });
  t.equal(fold.getLastResult().rejection, 'records-in-between');
  t.notOk(fold.isComplete());
  t.end();
});
