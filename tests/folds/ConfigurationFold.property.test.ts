/** Property tests of the configuration fold: racing operators, duplicate records, correct and wrong snapshots. */
import fc from 'fast-check';
import t from 'tap';
import {ConfigurationFold} from '../../src/folds/index.js';
import type {LogBody, PlacedRecord} from '../../src/records/index.js';
import {createConfiguration} from '../support/configurations.js';

const RUNS = 3_000;

/** The next append: a proposal that replaces a revision, a duplicate, or a correct or wrong snapshot. */
type Step =
  | {readonly kind: 'publish'; readonly replacesRevision: number}
  | {readonly kind: 'repeat'; readonly choice: number}
  | {readonly kind: 'snapshot'; readonly isCorrect: boolean};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.nat({max: 8}).map(replacesRevision => ({kind: 'publish', replacesRevision}) as const),
  fc.nat().map(choice => ({kind: 'repeat', choice}) as const),
  fc.boolean().map(isCorrect => ({kind: 'snapshot', isCorrect}) as const),
);

/** Returns the body of a record that publishes a configuration. */
function publish(replacesRevision: number, name: string): LogBody {
  const configuration = createConfiguration(name);
  return {kind: 'configuration', replacesRevision, publishedBy: name, configuration};
}

/**
 * Converts steps to records. A fold that reads every record creates the correct snapshots.
 * @param includesWrong - Whether to include wrong snapshots.
 */
function createRecords(steps: readonly Step[], includesWrong: boolean): readonly PlacedRecord[] {
  const reader = new ConfigurationFold();
  const records: PlacedRecord[] = [];
  const append = (body: LogBody) => {
    const offset = records.length;
    const placed = {offset, record: {writer: 'w', sequence: offset + 1, body}};
    records.push(placed);
    reader.applyRecord(placed);
  };
  steps.forEach((step, index) => {
    if (step.kind === 'publish') append(publish(step.replacesRevision, `c${index}`));
    else if (step.kind === 'repeat' && records.length > 0) {
      append(records[step.choice % records.length].record.body);
    } else if (step.kind === 'snapshot' && step.isCorrect) {
      reader.createSnapshot(records.length - 1).forEach(append);
    } else if (step.kind === 'snapshot' && includesWrong) {
      const coversOffset = records.length - 1;
      const configuration = createConfiguration('false');
      append({kind: 'configuration-snapshot', coversOffset, revision: 99, configuration});
    }
  });
  return records;
}

function readState(fold: ConfigurationFold): string {
  return `${fold.getRevision()} ${fold.getConfiguration()?.deployment}`;
}

t.test('ConfigurationFold', t => {
  t.test('increments the revision by one whenever the configuration changes', t => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 30}), steps => {
        const fold = new ConfigurationFold();
        return createRecords(steps, true).every(placed => {
          const before = fold.getRevision();
          const state = readState(fold);
          fold.applyRecord(placed);
          const grown = fold.getRevision() - before;
          return grown === 1 || (grown === 0 && readState(fold) === state);
        });
      }),
      {seed: 4_501, numRuns: RUNS},
    );
    t.end();
  });

  t.test('has the state of a reader of the whole stream once complete again after a gap', t => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 30}), fc.nat(), (steps, choice) => {
        const records = createRecords(steps, false);
        const start = choice % (records.length + 1);
        const [all, late] = [new ConfigurationFold(), new ConfigurationFold()];
        if (start > 0) late.markIncomplete();
        return records.every(placed => {
          all.applyRecord(placed);
          if (placed.offset >= start) late.applyRecord(placed);
          return !late.isComplete() || placed.offset < start || readState(all) === readState(late);
        });
      }),
      {seed: 4_502, numRuns: RUNS},
    );
    t.end();
  });
  t.end();
});
