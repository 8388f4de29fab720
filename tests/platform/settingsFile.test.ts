/** Settings that the platform gives a process. */
import t from 'tap';
import {decodeSettings} from '../../platform/settingsFile.js';

const FILE = {
  node: 'edge-a-1',
  ip: '10.1.0.14',
  zone: 'a',
  region: 'north',
  zones: {a: 'north', b: 'north'},
  listen: {front: '10.1.0.14:8221', ready: '10.1.0.14:8224', directory: '10.1.0.14:8220'},
  port_range: [7600, 7615],
  seeds: ['10.2.0.4:8229'],
  bootstrap: true,
  bounds: {revoke_ms: 5_000, lease_ms: 3_000, quota_overage: 0.1, usage_late_s: 10, grace_s: 8},
  provider: {addr: '10.200.1.7:8225'},
  cloud: {addr: '10.200.0.35:8225', duties: ['metering', 'autoscale']},
  something_new: {a: 1},
};

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
  const doTest = (name: string, fields: object, expected: RegExp) => {
    t.test(`names what is wrong: ${name}`, t => {
      t.throws(() => decodeSettings({...FILE, ...fields}, 'file', 42), {message: expected});
      t.end();
    });
  };
  doTest('no address', {provider: {}}, /file: provider.addr: /);
  doTest('an address without a port', {provider: {addr: '10.0.0.1'}}, /file: provider.addr: /);
  doTest('no name', {node: ''}, /file: node: /);
  doTest('a text for a number', {bounds: {revoke_ms: 'soon'}}, /file: bounds.revoke_ms: /);
  t.end();
});
