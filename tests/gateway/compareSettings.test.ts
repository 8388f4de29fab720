/** Which changed settings a running gateway applies. */
import t from 'tap';
import {compareSettings} from '../../src/gateway/compareSettings.js';
import {createSettings} from './gatewayFixtures.js';

t.test('compareSettings', t => {
  const before = createSettings();
  function doTest(name: string, fields: Partial<typeof before>, applied: string[], rest: string[]) {
    t.test(name, t => {
      const change = compareSettings(before, createSettings(fields));
      t.same(change, {applied, needRestart: rest});
      t.end();
    });
  }
  doTest('nothing', {}, [], []);
  doTest('seeds are applied', {gossipSeeds: ['10.0.0.1:1']}, ['gossipSeeds'], []);
  doTest('bounds need a restart', {leaseMs: 1, revocationMs: 2}, [], ['revocationMs', 'leaseMs']);
  doTest(
    'maps are compared by what they hold',
    {regionByDomain: new Map([['a', 'north']])},
    [],
    [],
  );
  doTest(
    'what says something of a start is no change',
    {incarnation: 9, isFirstStart: true},
    [],
    [],
  );
  t.end();
});
