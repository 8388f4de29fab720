/** Tests of the fleet stream's fold. */
import assert from 'node:assert/strict';
import t from 'tap';
import fc from 'fast-check';
import {FleetFold} from '../../src/folds/index.js';
import type {LogBody} from '../../src/records/index.js';
import {
  claim,
  domainOrder,
  moveRequest,
  moveStep,
  placeBodies,
  quarantine,
  release,
  renewal,
} from '../support/fleetRecords.js';

t.test('FleetFold applyRecord', t => {
  function doTest(name: string, bodies: readonly LogBody[], expected: readonly string[]) {
    t.test(name, t => {
      const fold = new FleetFold();
      const verdicts = placeBodies(bodies).map(placed => {
        fold.applyRecord(placed);
        return fold.getLastVerdict().rejection ?? 'holds';
      });
      t.same(verdicts, expected);
      t.end();
    });
  }

  doTest(
    'takes the first of two claims on the same vacancy',
    [claim('a', -1), claim('b', -1)],
    ['holds', 'not-newest-lease-record'],
  );
  doTest(
    'refuses a claim that a renewal overtook',
    [claim('a', -1), renewal('a', 0), claim('b', 0), claim('b', 1)],
    ['holds', 'holds', 'not-newest-lease-record', 'holds'],
  );
  doTest(
    'refuses the renewal of a lost lease',
    [claim('a', -1), claim('b', 0), renewal('a', 0)],
    ['holds', 'holds', 'not-the-holder'],
  );
  doTest(
    'lets a claim follow a release at once',
    [claim('a', -1), release('a', 0), renewal('a', 0), claim('b', 1)],
    ['holds', 'holds', 'not-the-holder', 'holds'],
  );
  doTest(
    'takes one move of a service at a time',
    [moveRequest('m1'), moveRequest('m2'), moveRequest('m3', 'booking'), moveRequest('m1')],
    ['holds', 'move-under-way', 'holds', 'move-id-used'],
  );
  doTest(
    'takes steps of the present holder only',
    [
      claim('a', -1),
      moveRequest('m1'),
      claim('b', 0),
      moveStep('m1', 0, 'running'),
      moveStep('m1', 2, 'running'),
    ],
    ['holds', 'holds', 'holds', 'old-fencing-token', 'holds'],
  );
  doTest(
    'tells the end of a move once',
    [
      claim('a', -1),
      moveRequest('m1'),
      moveStep('m1', 0, 'soaking'),
      moveStep('m1', 0, 'running'),
      moveStep('m1', 0, 'taken-back', 0),
      moveStep('m1', 0, 'done'),
      moveRequest('m2'),
    ],
    ['holds', 'holds', 'holds', 'phase-goes-back', 'holds', 'move-ended', 'holds'],
  );
  doTest(
    'takes the first of two orders that race on a failure domain',
    [domainOrder('accra', 'out', 0), domainOrder('accra', 'in', 0), domainOrder('tema', 'out', 0)],
    ['holds', 'not-newest-revision', 'holds'],
  );
  t.end();
});

t.test('FleetFold applyRecord drops repeated appends', t => {
  const fold = new FleetFold();
  const [placed] = placeBodies([domainOrder('accra', 'out', 0)]);
  fold.applyRecord(placed);
  fold.applyRecord({...placed, offset: 1});
  t.equal(fold.getLastVerdict().rejection, 'repeat');
  t.equal(fold.getFailureDomains()[0]?.revision, 1);
  t.end();
});

t.test('FleetFold getQuarantines', t => {
  const fold = new FleetFold();
  placeBodies([quarantine('f1', 0, 1_000), quarantine('f2', 0, 5_000)]).forEach(placed =>
    fold.applyRecord(placed),
  );
  t.same(
    fold.getQuarantines(2_000).map(one => one.fingerprint),
    ['f2'],
  );
  t.end();
});

const bodyArbitrary: fc.Arbitrary<LogBody> = fc.oneof(
  fc.tuple(fc.constantFrom('a', 'b'), fc.integer({min: -1, max: 20})).map(args => claim(...args)),
  fc.tuple(fc.constantFrom('a', 'b'), fc.integer({min: -1, max: 20})).map(args => renewal(...args)),
  fc.constantFrom('m1', 'm2').map(moveId => moveRequest(moveId)),
  fc
    .tuple(
      fc.constantFrom('m1', 'm2'),
      fc.integer({min: -1, max: 20}),
      fc.constantFrom('running' as const, 'done' as const),
    )
    .map(args => moveStep(...args)),
  fc
    .tuple(fc.constantFrom('accra', 'tema'), fc.constantFrom('in' as const, 'out' as const))
    .chain(([name, state]) => fc.nat(3).map(revision => domainOrder(name, state, revision))),
);

t.test('FleetFold snapshot gives a late reader the state of a reader from the start', t => {
  fc.assert(
    fc.property(fc.array(bodyArbitrary), fc.array(bodyArbitrary), (before, after) => {
      const whole = new FleetFold();
      placeBodies(before).forEach(placed => whole.applyRecord(placed));
      const snapshot: LogBody = {
        kind: 'fleet-snapshot',
        coversOffset: before.length - 1,
        state: whole.getSnapshotState(),
      };
      const late = new FleetFold();
      late.markIncomplete();
      const rest = placeBodies([snapshot, ...after], 'w', before.length);
      for (const placed of rest) {
        whole.applyRecord(placed);
        late.applyRecord(placed);
      }
      assert.ok(late.isComplete());
      assert.deepStrictEqual(
        JSON.parse(late.getSnapshotState()),
        JSON.parse(whole.getSnapshotState()),
      );
    }),
    {seed: 20261204, numRuns: 500},
  );
  t.end();
});

t.test('FleetFold ignores a snapshot that misses a record', t => {
  const fold = new FleetFold();
  fold.markIncomplete();
  const state = new FleetFold().getSnapshotState();
  fold.applyRecord({
    offset: 7,
    record: {writer: 'w', sequence: 1, body: {kind: 'fleet-snapshot', coversOffset: 5, state}},
  });
  t.equal(fold.getLastVerdict().rejection, 'records-in-between');
  t.notOk(fold.isComplete());
  t.end();
});
