/** Tests of the configuration fold. */
import t from 'tap';
import {ConfigurationFold} from '../../src/folds/index.js';
import type {LogBody} from '../../src/records/index.js';
import {createConfiguration} from '../support/configurations.js';

function createConfigurationBody(replacesRevision: number, name: string): LogBody {
  const configuration = createConfiguration(name);
  return {kind: 'configuration', replacesRevision, publishedBy: name, configuration};
}

function createSnapshotBody(revision: number, name: string): LogBody {
  const configuration = createConfiguration(name);
  return {kind: 'configuration-snapshot', coversOffset: 0, revision, configuration};
}

t.test('ConfigurationFold', t => {
  function doTest(
    name: string,
    bodies: readonly LogBody[],
    expected: {readonly revision: number; readonly deployment: string},
  ) {
    t.test(name, t => {
      const fold = new ConfigurationFold();
      bodies.forEach((body, offset) =>
        fold.applyRecord({offset, record: {writer: 'ctl', sequence: offset + 1, body}}),
      );
      t.equal(fold.getRevision(), expected.revision);
      t.equal(fold.getConfiguration()?.deployment, expected.deployment);
      t.end();
    });
  }

  doTest(
    'applyRecord accepts the next revision',
    [createConfigurationBody(0, 'one'), createConfigurationBody(1, 'two')],
    {
      revision: 2,
      deployment: 'two',
    },
  );
  doTest(
    'applyRecord rejects the second of two configurations that replace the same revision',
    [
      createConfigurationBody(0, 'one'),
      createConfigurationBody(1, 'two'),
      createConfigurationBody(1, 'late'),
    ],
    {revision: 2, deployment: 'two'},
  );
  doTest(
    'applyRecord ignores a snapshot of a higher revision if no record was missed',
    [
      createConfigurationBody(0, 'one'),
      createSnapshotBody(9, 'wrong'),
      createConfigurationBody(1, 'two'),
    ],
    {revision: 2, deployment: 'two'},
  );
  doTest(
    'applyRecord ignores an old snapshot',
    [createConfigurationBody(0, 'one'), createSnapshotBody(1, 'stale')],
    {
      revision: 1,
      deployment: 'one',
    },
  );

  t.test('getLastVerdict names the publisher that won a race', t => {
    const fold = new ConfigurationFold();
    [createConfigurationBody(0, 'one'), createConfigurationBody(0, 'two')].forEach((body, offset) =>
      fold.applyRecord({offset, record: {writer: `ctl-${offset}`, sequence: 1, body}}),
    );
    t.same(fold.getLastVerdict(), {isAccepted: false, revision: 1, publishedBy: 'one'});
    t.end();
  });
  t.end();
});
