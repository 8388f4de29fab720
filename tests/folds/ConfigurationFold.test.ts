/** Tests of the configuration fold. */
import t from 'tap';
import {ConfigurationFold} from '../../src/folds/index.js';
import type {LogBody} from '../../src/records/index.js';
import {createConfiguration} from '../support/configurations.js';

/** Returns the body of a record that publishes a configuration. */
function publish(replacesRevision: number, name: string): LogBody {
  const configuration = createConfiguration(name);
  return {kind: 'configuration', replacesRevision, publishedBy: name, configuration};
}

/** Returns the body of a configuration snapshot. */
function snapshot(revision: number, name: string): LogBody {
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

  doTest('applyRecord accepts the next revision', [publish(0, 'one'), publish(1, 'two')], {
    revision: 2,
    deployment: 'two',
  });
  doTest(
    'applyRecord rejects the second of two configurations that replace the same revision',
    [publish(0, 'one'), publish(1, 'two'), publish(1, 'late')],
    {revision: 2, deployment: 'two'},
  );
  doTest(
    'applyRecord ignores a snapshot of a higher revision if no record was missed',
    [publish(0, 'one'), snapshot(9, 'wrong'), publish(1, 'two')],
    {revision: 2, deployment: 'two'},
  );
  doTest('applyRecord ignores an old snapshot', [publish(0, 'one'), snapshot(1, 'stale')], {
    revision: 1,
    deployment: 'one',
  });

  t.test('getLastResult names the publisher that won a race', t => {
    const fold = new ConfigurationFold();
    [publish(0, 'one'), publish(0, 'two')].forEach((body, offset) =>
      fold.applyRecord({offset, record: {writer: `ctl-${offset}`, sequence: 1, body}}),
    );
    t.same(fold.getLastResult(), {isAccepted: false, revision: 1, publishedBy: 'one'});
    t.end();
  });
  t.end();
});
