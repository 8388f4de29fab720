/** Property tests of the duplicate filter: the writers it remembers are bounded and the same in every reader. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import {FleetFold, DuplicateFilter} from '../../src/folds/index.js';
import type {LogBody, PlacedRecord} from '../../src/records/index.js';
import {createDomainOrder} from '../support/fleetRecords.js';

const KEEP_RECORDS = 6;
const RUNS = 5_000;

interface Step {
  /** A record of an order, a snapshot record, or a reader that restores a peer's state. */
  readonly kind: 'order' | 'snapshot' | 'relay';
  readonly writer: string;
  readonly sequence: number;
  readonly revision: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('order', 'order', 'order', 'order', 'snapshot', 'relay'),
  writer: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'),
  sequence: fc.integer({min: 1, max: 4}),
  revision: fc.nat({max: 3}),
});

interface WriterState {
  readonly lastSequences: readonly unknown[];
}

function countWriters(fold: FleetFold): number {
  return (JSON.parse(fold.getSnapshotState()) as WriterState).lastSequences.length;
}

function createReader(): FleetFold {
  return new FleetFold({keepRecords: KEEP_RECORDS});
}

function createBody(step: Step, whole: FleetFold, offset: number): LogBody {
  if (step.kind === 'order') return createDomainOrder('accra', 'out', step.revision);
  return {kind: 'fleet-snapshot', coversOffset: offset - 1, state: whole.getSnapshotState()};
}

/**
 * Applies steps to a reader of the whole stream and to readers that start from a snapshot or a peer's state. Asserts
 * after each record that all readers have the same result, and returns the readers.
 */
function applySteps(steps: readonly Step[]): readonly FleetFold[] {
  const whole = createReader();
  const readers = [whole];
  let offset = 0;
  for (const step of steps) {
    const body = createBody(step, whole, offset);
    const lateReader = createReader();
    if (step.kind !== 'order') readers.push(lateReader);
    if (step.kind === 'relay') {
      lateReader.restoreSnapshot(body);
      continue;
    }
    if (step.kind === 'snapshot') lateReader.markIncomplete();
    const {writer, sequence} = step;
    const placed: PlacedRecord = {offset: offset++, record: {writer, sequence, body}};
    for (const reader of readers) reader.applyRecord(placed);
    for (const reader of readers) {
      assert.deepStrictEqual(reader.getLastResult(), whole.getLastResult());
    }
  }
  return readers;
}

t.test('FleetFold', t => {
  t.test('remembers a bounded set of writers that is the same in every reader', t => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 60, size: 'max'}), steps => {
        const readers = applySteps(steps);
        const states = new Set(readers.map(reader => reader.getSnapshotState()));
        assert.equal(states.size, 1);
        assert.ok(countWriters(readers[0]) <= KEEP_RECORDS + 1);
      }),
      {seed: 4_401, numRuns: RUNS},
    );
    t.end();
  });

  t.test('detects duplicates after a snapshot of an older daemon that stored no offsets', t => {
    const whole = createReader();
    const body = createDomainOrder('accra', 'out', 0);
    whole.applyRecord({offset: 0, record: {writer: 'a', sequence: 1, body}});
    const state = whole.getSnapshotState().replaceAll(',"offset":0', '');
    const lateReader = createReader();
    lateReader.restoreSnapshot({kind: 'fleet-snapshot', coversOffset: 0, state});
    lateReader.applyRecord({offset: 1, record: {writer: 'a', sequence: 1, body}});
    t.equal(lateReader.getLastResult().rejection, 'repeat');
    t.end();
  });
  t.end();
});

t.test('DuplicateFilter', t => {
  function doTest(name: string, duplicateOffset: number, expected: boolean) {
    t.test(name, t => {
      const filter = new DuplicateFilter({keepRecords: KEEP_RECORDS});
      const body = createDomainOrder('accra', 'out', 0);
      const record = {writer: 'a', sequence: 1, body};
      t.notOk(filter.isDuplicate({offset: 0, record}));
      for (let offset = 1; offset < duplicateOffset; offset++) {
        filter.isDuplicate({offset, record: {writer: 'b', sequence: offset, body}});
      }
      t.equal(filter.isDuplicate({offset: duplicateOffset, record}), expected);
      t.end();
    });
  }

  doTest('isDuplicate remembers a writer for the configured number of records', KEEP_RECORDS, true);
  doTest('isDuplicate forgets a writer after that number of records', KEEP_RECORDS + 1, false);
  t.end();
});
