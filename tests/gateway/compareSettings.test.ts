/** Which changed settings a running gateway applies, and which need a restart. */
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
  doTest('equal settings give no change', {}, [], []);
  doTest('seeds are applied', {gossipSeeds: ['10.0.0.1:1']}, ['gossipSeeds'], []);
  doTest(
    'changed limits need a restart',
    {leaseMs: 1, revocationMs: 2},
    [],
    ['revocationMs', 'leaseMs'],
  );
  doTest('maps are compared by their entries', {regionByDomain: new Map([['a', 'north']])}, [], []);
  doTest(
    'settings that differ at every start are not compared',
    {incarnation: 9, isFirstStart: true},
    [],
    [],
  );
  t.end();
});
