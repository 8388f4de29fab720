/** Tests of the versions' parts of new work. */
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
  doTest('keeps the configured parts without a move', [], {v1: 100});
  doTest('divides the old part while a move runs', [createMove({sharePercent: 20})], {
    v1: 80,
    v2: 20,
  });
  doTest('gives all back when taken back', [createMove({phase: 'taken-back', sharePercent: 20})], {
    v1: 100,
    v2: 0,
  });
  doTest('keeps a done move', [done], {v1: 0, v2: 100});
  doTest(
    'keeps a done move under a later one',
    [createMove({moveId: 'm2', fromVersion: 'v2', toVersion: 'v3', sharePercent: 10}), done],
    {v1: 0, v2: 90, v3: 10},
  );
  t.end();
});
