/** Tests of the store's record format, and of decoding valid and malformed values. */
import fc from 'fast-check';
import t from 'tap';
import {decodeConfiguration, decodeRollout} from '../../platform/operatorRecords.js';
import {
  decodeBatch,
  decodeKeyedRecord,
  encodeKeyedRecord,
  encodeRecords,
} from '../../platform/records.js';
import {decodeRegistration} from '../../platform/serverRecords.js';

const SEED = 20_261_204;

function json(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

const REGISTRATION = {
  service: 'llm',
  addr: '10.128.0.9:8080',
  zone: 'a',
  version: 'v1',
  slots: 128,
  state: 'ready',
  cold_left_ms: 1_500,
  call_seq: 4,
  born: 1_780_000_000_000,
};

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r1',
      host: 'h.example',
      path_prefix: '/x/',
      kind: 'stream',
      timeout_ms: 15_000,
      goal_ms: 800,
      gap_aim_ms: 500,
      priority: 1,
      split: [
        {service: 'llm', weight: 90},
        {service: 'app', weight: 10},
      ],
      attempts: 2,
      public: false,
      sticky: true,
      resumable: true,
    },
    {
      name: 'r2',
      host: 'h.example',
      path_prefix: '/y/',
      kind: 'unsafe',
      timeout_ms: 1,
      service: 'app',
    },
  ],
  services: [
    {
      name: 'llm',
      max_conns: 620,
      cold_start_s: 3,
      cold_per_s: 18,
      engine: {slots: 128, kv_capacity: 832_651},
      scale: {min: 1, max: 4, boot_s: 4, spot_price: 0.15, zone_prices: {a: 1, b: 0.8}},
    },
    {name: 'app'},
  ],
  tenants: [
    {
      name: 'w',
      api_keys: ['k'],
      priority: 1,
      unit: 'tokens',
      plain_tokens: 200,
      rate_per_s: 9,
      burst: 8,
    },
    {name: 'free', api_keys: ['f']},
  ],
};

t.test('records', t => {
  t.test('are decoded as they were encoded', t => {
    const contents = fc.array(fc.uint8Array({maxLength: 50}), {maxLength: 10});
    fc.assert(
      fc.property(contents, records => {
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(42n);
        const written = encodeRecords(records.map(bytes => Buffer.from(bytes)));
        const batch = decodeBatch(Buffer.concat([header, written]));
        const isSame = batch.records.every((bytes, index) => bytes.equals(records[index]));
        return batch.endOffset === 42 && batch.records.length === records.length && isSame;
      }),
      {seed: SEED, numRuns: 200},
    );
    t.end();
  });
  t.test('are deletions if they have a key but no value', t => {
    t.same(decodeKeyedRecord(encodeKeyedRecord('k', Buffer.alloc(0))), {
      key: 'k',
      value: undefined,
    });
    t.same(decodeKeyedRecord(encodeKeyedRecord('k', Buffer.from('v'))), {
      key: 'k',
      value: Buffer.from('v'),
    });
    t.equal(decodeKeyedRecord(Buffer.from([9, 1])), undefined);
    t.end();
  });
  t.end();
});

t.test('decodeRegistration', t => {
  t.match(decodeRegistration('i-1', json(REGISTRATION)), {
    id: 'i-1',
    service: 'llm',
    address: '10.128.0.9:8080',
    failureDomain: 'a',
    isDraining: false,
    isReclaimable: false,
    coldMs: 1_500,
    startedAtMs: 1_780_000_000_000,
  });
  t.match(decodeRegistration('i-1', json({...REGISTRATION, state: 'draining', spot: true})), {
    isDraining: true,
    isReclaimable: true,
  });
  const doTest = (name: string, value: Buffer) => {
    t.test(`rejects ${name}`, t => {
      t.equal(decodeRegistration('i-1', value), undefined);
      t.end();
    });
  };
  doTest('invalid JSON', Buffer.from('{"service":'));
  doTest('an unknown state', json({...REGISTRATION, state: 'happy'}));
  doTest('a missing address', json({...REGISTRATION, addr: undefined}));
  doTest('a value of the wrong type', json({...REGISTRATION, slots: '128'}));
  doTest('an array', json([REGISTRATION]));
  doTest('a port out of range', json({...REGISTRATION, addr: '10.128.0.9:65536'}));
  doTest('port 0', json({...REGISTRATION, addr: '10.128.0.9:0'}));
  doTest('an address that is none', json({...REGISTRATION, addr: '10.128.0.256:8080'}));
  doTest('a start before the Unix epoch', json({...REGISTRATION, born: -1}));
  doTest('a start that no clock can show', json({...REGISTRATION, born: 8.64e15 + 1}));
  doTest('more slots than a server can have', json({...REGISTRATION, slots: 2 ** 32}));
  doTest('an infinite number', Buffer.from(JSON.stringify(REGISTRATION).replace('1500', '1e999')));
  doTest('a cold time without end', json({...REGISTRATION, cold_left_ms: 1e300}));
  doTest('an endless service name', json({...REGISTRATION, service: 'x'.repeat(70_000)}));
  doTest('deep nesting', Buffer.from('['.repeat(100_000)));
  doTest(
    'deep nesting in a field',
    Buffer.from(`{"service":${'['.repeat(100_000)}${']'.repeat(100_000)}}`),
  );
  t.test('ignores deep nesting in a field that it does not know', t => {
    const nested = `${'['.repeat(50_000)}${']'.repeat(50_000)}`;
    const text = JSON.stringify(REGISTRATION).replace('{', `{"other":${nested},`);
    t.match(decodeRegistration('i-1', Buffer.from(text)), {id: 'i-1'});
    t.end();
  });
  t.end();
});

t.test('decodeConfiguration', t => {
  const configuration = decodeConfiguration(json(CONFIGURATION));
  t.match(configuration?.routes, [
    {
      kind: 'stream',
      isResumable: true,
      maxAttempts: 2,
      latencyTargetMs: 800,
      longestPauseMs: 500,
      shares: [
        {service: 'llm', weight: 90},
        {service: 'app', weight: 10},
      ],
    },
    {kind: 'at-most-once', longestPauseMs: 0, shares: [{service: 'app', weight: 1}]},
  ]);
  t.match(configuration?.services.get('llm'), {
    coldStartMs: 3_000,
    coldRequestsPerSecond: 18,
    engine: {slots: 128},
    replicaBounds: {minPerDomain: 1, maxPerDomain: 4, bootMs: 4_000, reclaimablePriceShare: 0.15},
  });
  t.match(configuration?.workspaces, [
    {name: 'w', quota: {unit: 'tokens', ratePerSecond: 9, burst: 8, defaultTokens: 200}},
    {name: 'free', quota: undefined},
  ]);
  t.equal(decodeConfiguration(Buffer.from('no')), undefined);
  t.equal(decodeConfiguration(json({version: 1})), undefined);
  t.match(decodeRollout(json({service: 'llm', target: 'v2', duration_s: 12})), {
    durationMs: 12_000,
  });
  t.equal(decodeRollout(json({service: 'llm'})), undefined);
  t.end();
});
