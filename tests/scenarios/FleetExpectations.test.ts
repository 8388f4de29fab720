/** Tests that the expectations about lease holders' orders and weight loads report each kind of violation. */
import t from 'tap';
import {checkFencing} from '../../scenarios/runner/FleetExpectations.js';
import {checkLoadQueue} from '../../scenarios/runner/LoadQueueExpectation.js';
import type {
  LedgerLoad,
  LedgerStart,
  PlatformLedgers,
} from '../../scenarios/runner/PlatformLedgers.js';
import {encodeRecord, type LogBody} from '../../src/records/index.js';

const NO_LEDGERS: PlatformLedgers = {
  starts: [],
  stops: [],
  notices: [],
  loads: [],
  fleetRecords: [],
};
const DRAIN = {
  kind: 'instance-drain',
  instanceId: 'a',
  service: 's',
  fencingToken: 1,
  decidedAtMs: 20,
  stopAtMs: 30,
} as const;

function createRecords(bodies: readonly LogBody[]) {
  return bodies.map((body, offset) => ({
    offset,
    atMs: offset * 10,
    payload: encodeRecord({writer: 'w', sequence: offset + 1, body}),
  }));
}

function createClaim(followsOffset: number): LogBody {
  return {kind: 'lease-claim', followsOffset, holder: `holder-${followsOffset}`, termMs: 1_000};
}

function createLoad(instanceId: string, fencingToken: number, askedAtMs: number): LedgerLoad {
  return {instanceId, fencingToken, askedAtMs, startsAtMs: askedAtMs, endsAtMs: askedAtMs + 10};
}

t.test('checkFencing', t => {
  const fleetRecords = createRecords([createClaim(-1), createClaim(0), DRAIN]);
  function doTest(name: string, ledgers: Partial<PlatformLedgers>, expectedCount: number) {
    t.test(name, t => {
      const violations = checkFencing({...NO_LEDGERS, fleetRecords, ...ledgers}, 2);
      t.equal(violations.length, expectedCount, violations.join());
      t.end();
    });
  }

  const start: LedgerStart = {
    instanceId: 'i-1',
    clientToken: 's/v1/after-a/0',
    service: 's',
    version: 'v1',
    atMs: 0,
  };
  doTest('orders of the last lease holder', {stops: [{instanceId: 'a', atMs: 25}]}, 0);
  doTest('only one lease holder', {fleetRecords: createRecords([createClaim(-1)])}, 1);
  doTest(
    'no order of the last lease holder',
    {fleetRecords: createRecords([createClaim(-1), createClaim(0)])},
    1,
  );
  doTest('stop without a drain', {stops: [{instanceId: 'b', atMs: 25}]}, 1);
  doTest('stop before its drain', {stops: [{instanceId: 'a', atMs: 15}]}, 1);
  doTest(
    'load of an earlier lease holder',
    {loads: [createLoad('a', 1, 30), createLoad('b', 0, 40)]},
    1,
  );
  doTest('duplicate load', {loads: [createLoad('a', 1, 30), createLoad('a', 1, 40)]}, 1);
  doTest('vacancy filled twice', {starts: [start, {...start, clientToken: 's/v1/after-a/1'}]}, 1);
  t.end();
});

t.test('checkLoadQueue', t => {
  const starts: readonly LedgerStart[] = ['s-1', 's-2', 'r-1', 'r-2'].map(instanceId => ({
    instanceId,
    clientToken: instanceId,
    service: instanceId.charAt(0),
    version: 'v1',
    atMs: 0,
  }));
  const services = ['s', 'r'].map(name => ({name, replicas: 2, instanceIds: []}));
  function doTest(name: string, loads: readonly LedgerLoad[], expectedCount: number) {
    t.test(name, t => {
      const bound = {minLoads: 3, maxOpenLoads: 1};
      const violations = checkLoadQueue({...NO_LEDGERS, starts, loads}, services, bound);
      t.equal(violations.length, expectedCount, violations.join());
      t.end();
    });
  }

  const inTurn = ['s-1', 'r-1', 's-2', 'r-2'];
  const atOnce = inTurn.map(instanceId => createLoad(instanceId, 1, 10_000));
  const ordered = inTurn.map((instanceId, index) =>
    createLoad(instanceId, 1, 10_000 * (index + 1)),
  );
  const oneSided = ['s-1', 's-2', 'r-1'].map((instanceId, index) =>
    createLoad(instanceId, 1, 10_000 * (index + 1)),
  );
  doTest('loads one after another', ordered, 0);
  doTest('too few loads', ordered.slice(0, 1), 1);
  doTest('all loads at the same time', atOnce, 4);
  doTest('load of a service with a higher ready fraction', oneSided, 1);
  t.end();
});
