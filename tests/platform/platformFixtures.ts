/** Fixtures of the settings file. */

/** A valid settings file, with a field that this version doesn't know. */
export const SETTINGS = {
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
