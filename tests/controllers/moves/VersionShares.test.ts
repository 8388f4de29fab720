/** Tests of the shares of new requests that versions receive before, during and after moves. */
import t from 'tap';
import type {Move} from '../../../src/blackboard/index.js';
import {getVersionShares} from '../../../src/controllers/moves/index.js';
import {createMove, createService} from '../../support/fleetFixtures.js';

t.test('getVersionShares', t => {
  function doTest(
    name: string,
    moves: readonly Move[],
    expected: Readonly<Record<string, number>>,
  ) {
    t.test(name, t => {
      const shares = getVersionShares(createService(), moves);
      t.same(Object.fromEntries(shares.map(one => [one.name, one.sharePercent])), expected);
      t.end();
    });
  }

  const done = createMove({phase: 'done', sharePercent: 100});
  doTest('keeps the configured shares without a move', [], {v1: 100});
  doTest('splits the share of the old version during a move', [createMove({sharePercent: 20})], {
    v1: 80,
    v2: 20,
  });
  doTest(
    'returns the full share to the old version after a rollback',
    [createMove({phase: 'taken-back', sharePercent: 20})],
    {
      v1: 100,
      v2: 0,
    },
  );
  doTest('gives the full share to the new version after a move', [done], {v1: 0, v2: 100});
  doTest(
    'splits the share of a completed move during a later one',
    [createMove({moveId: 'm2', fromVersion: 'v2', toVersion: 'v3', sharePercent: 10}), done],
    {v1: 0, v2: 90, v3: 10},
  );
  t.end();
});
