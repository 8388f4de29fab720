/** Property tests of the writers that the fleet's fold remembers: bounded, and alike in every reader. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import {FleetFold, RepeatFilter} from '../../src/folds/index.js';
import type {LogBody, PlacedRecord} from '../../src/records/index.js';
import {domainOrder} from '../support/fleetRecords.js';

const KEEP_RECORDS = 6;
const RUNS = 5_000;

interface Step {
  /** An order of a writer, a snapshot in the log, or a reader that starts from a peer's state. */
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
  if (step.kind === 'order') return domainOrder('accra', 'out', step.revision);
  return {kind: 'fleet-snapshot', coversOffset: offset - 1, state: whole.getSnapshotState()};
}

/** Plays steps; returns the reader from the start and those that began at a snapshot or at a peer's state. */
function play(steps: readonly Step[]): readonly FleetFold[] {
  const whole = createReader();
  const readers = [whole];
  let offset = 0;
  for (const step of steps) {
    const body = createBody(step, whole, offset);
    const late = createReader();
    if (step.kind !== 'order') readers.push(late);
    if (step.kind === 'relay') {
      late.restoreSnapshot(body);
      continue;
    }
    if (step.kind === 'snapshot') late.markIncomplete();
    const {writer, sequence} = step;
    const placed: PlacedRecord = {offset: offset++, record: {writer, sequence, body}};
    for (const reader of readers) reader.applyRecord(placed);
    for (const reader of readers) {
      assert.deepStrictEqual(reader.getLastVerdict(), whole.getLastVerdict());
    }
  }
  return readers;
}

t.test('FleetFold', t => {
  t.test('readers remember the same writers, wherever they began, and few of them', t => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 60, size: 'max'}), steps => {
        const readers = play(steps);
        const states = new Set(readers.map(reader => reader.getSnapshotState()));
        assert.equal(states.size, 1);
        assert.ok(countWriters(readers[0]) <= KEEP_RECORDS + 1);
      }),
      {seed: 4_401, numRuns: RUNS},
    );
    t.end();
  });

  t.test('a snapshot of a daemon that kept no offsets still tells repeats', t => {
    const whole = createReader();
    const body = domainOrder('accra', 'out', 0);
    whole.applyRecord({offset: 0, record: {writer: 'a', sequence: 1, body}});
    const state = whole.getSnapshotState().replaceAll(',"offset":0', '');
    const late = createReader();
    late.restoreSnapshot({kind: 'fleet-snapshot', coversOffset: 0, state});
    late.applyRecord({offset: 1, record: {writer: 'a', sequence: 1, body}});
    t.equal(late.getLastVerdict().rejection, 'repeat');
    t.end();
  });
  t.end();
});

t.test('RepeatFilter', t => {
  function doTest(name: string, repeatOffset: number, expected: boolean) {
    t.test(name, t => {
      const filter = new RepeatFilter({keepRecords: KEEP_RECORDS});
      const body = domainOrder('accra', 'out', 0);
      const record = {writer: 'a', sequence: 1, body};
      t.notOk(filter.isRepeat({offset: 0, record}));
      for (let offset = 1; offset < repeatOffset; offset++) {
        filter.isRepeat({offset, record: {writer: 'b', sequence: offset, body}});
      }
      t.equal(filter.isRepeat({offset: repeatOffset, record}), expected);
      t.end();
    });
  }

  doTest('isRepeat knows a writer up to the bound', KEEP_RECORDS, true);
  doTest('isRepeat has forgotten it beyond', KEEP_RECORDS + 1, false);
  t.end();
});
