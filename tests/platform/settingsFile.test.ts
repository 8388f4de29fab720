/** Tests of decoding the settings file. */
import t from 'tap';
import {decodeSettings} from '../../platform/settingsFile.js';
import {SETTINGS as FILE} from './platformFixtures.js';

t.test('decodeSettings', t => {
  t.match(decodeSettings(FILE, 'file', 42), {
    gateway: {
      id: 'edge-a-1',
      incarnation: 42,
      failureDomain: 'a',
      gossipPort: 7600,
      gossipSeeds: ['10.2.0.4:7600'],
      isFirstStart: true,
      revocationMs: 5_000,
      stopGraceMs: 8_000,
      usageDueMs: 10_000,
      duties: {reportsUsage: true, ordersServers: true},
    },
    trafficAddress: '10.1.0.14:8221',
    metricsAddress: '10.1.0.14:7601',
    dutyAddress: '10.200.0.35:8225',
  });
  t.match(decodeSettings({...FILE, cloud: undefined, bounds: {}}, 'file', 42), {
    gateway: {duties: {reportsUsage: false, ordersServers: false}},
    dutyAddress: undefined,
  });
  const {callerBounds} = decodeSettings(
    {...FILE, limits: {memory_mb: 100, max_fds: 1_000}},
    'file',
    42,
  );
  t.same(callerBounds, {maxIncomingBytes: 15_728_640, maxConnections: 400});
  t.match(decodeSettings(FILE, 'file', 42), {callerBounds: {maxConnections: 1_006}});
  const doTest = (name: string, fields: object, expected: RegExp) => {
    t.test(`names the invalid field: ${name}`, t => {
      t.throws(() => decodeSettings({...FILE, ...fields}, 'file', 42), {message: expected});
      t.end();
    });
  };
  doTest('missing address', {provider: {}}, /file: provider.addr: /);
  doTest('address without a port', {provider: {addr: '10.0.0.1'}}, /file: provider.addr: /);
  doTest('empty node name', {node: ''}, /file: node: /);
  doTest('string instead of a number', {bounds: {revoke_ms: 'soon'}}, /file: bounds.revoke_ms: /);
  t.end();
});
