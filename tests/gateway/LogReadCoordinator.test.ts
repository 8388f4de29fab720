/** Gateways share their reads of the logs by gossip, so that few of them read the store. */
import t from 'tap';
import {Catalog, type ServerEntry} from '../../src/catalog/index.js';
import {LogReadCoordinator} from '../../src/gateway/index.js';
import {MemberTable, type GatewayMember, type GossipState} from '../../src/gossip/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';
import {createGossipState, createMember} from './gatewayFixtures.js';

/** The parts of a gateway that take part in shared reads. */
class TestGateway {
  readonly catalog = new Catalog();
  readonly logReadCoordinator: LogReadCoordinator;
  readonly member: GatewayMember;
  operatorUpdates = 0;

  constructor(id: string) {
    this.member = createMember(id);
    this.logReadCoordinator = new LogReadCoordinator({
      catalog: this.catalog,
      members: new MemberTable(id, {unresponsiveAfterMs: 900, removedAfterMs: 8_000}),
      events: silentEvents,
      describeSelf: () => this.member,
      getAwareNowMs: () => 0,
    });
    this.logReadCoordinator.setOperatorRecordsListener(() => (this.operatorUpdates += 1));
  }

  /** Applies registrations that were read from the log, as the adapter does. */
  read(entries: readonly ServerEntry[], nextOffset: number, nowMs: number, era = 0): void {
    for (const entry of entries) this.catalog.servers.applyEntry(entry, nowMs);
    this.logReadCoordinator.recordRead('registrations', {era, offset: nextOffset}, nowMs);
  }

  getState(nowMs: number): GossipState {
    return createGossipState(
      this.member,
      this.logReadCoordinator.getRegistrationsUpdate(true, nowMs),
      {
        position: this.logReadCoordinator.getKnownPosition('operator'),
        read: this.logReadCoordinator.getOperatorRead(nowMs),
      },
    );
  }

  getAvailableIds(): readonly string[] {
    return this.catalog.servers.getAvailableServers('app', new Set()).map(({entry: {id}}) => id);
  }
}

function createPair() {
  return {reader: new TestGateway('g1'), other: new TestGateway('g2')};
}

const S1 = createServer('s1').entry;
const S2 = createServer('s2').entry;

t.test('LogReadCoordinator', t => {
  t.test('a new server and its cold time reach a gateway that reads nothing itself', t => {
    const {reader, other} = createPair();
    reader.read([S1], 5, 0);
    other.read([S1], 5, 0);
    reader.read([{...S2, coldMs: 3_000}], 6, 10_000);
    other.logReadCoordinator.apply(reader.getState(10_100), 10_100);
    t.same(other.getAvailableIds(), ['s1', 's2']);
    t.equal(other.catalog.servers.getServer('s2')?.coldUntilMs, 13_000);
    t.equal(other.catalog.getRegistrationsAgeMs(10_100), 100);
    t.same(other.logReadCoordinator.getKnownPosition('registrations'), {era: 0, offset: 6});
    t.end();
  });

  t.test('a gateway that reads nothing itself stops using a draining server', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
    reader.read([{...S2, isDraining: true}], 6, 10_000);
    other.logReadCoordinator.apply(reader.getState(10_000), 10_000);
    t.same(other.getAvailableIds(), ['s1']);
    t.equal(other.catalog.getRegistrationsAgeMs(10_000), 0);
    t.end();
  });

  t.test(
    'a registration that expired in an outage and was renewed makes the server available everywhere',
    t => {
      const {reader, other} = createPair();
      for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
      reader.catalog.servers.removeServer('s2', 10_000);
      other.logReadCoordinator.apply(reader.getState(10_000), 10_000);
      t.same(other.getAvailableIds(), ['s1']);
      reader.read([S2], 6, 11_000);
      other.logReadCoordinator.apply(reader.getState(11_000), 11_000);
      t.same(other.getAvailableIds(), ['s1', 's2']);
      t.equal(other.catalog.getRegistrationsAgeMs(11_000), 0);
      t.end();
    },
  );

  t.test(
    'a registration that expired here, but not for the reader, keeps the digests different',
    t => {
      const {reader, other} = createPair();
      for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
      reader.logReadCoordinator.recordRead('registrations', {era: 0, offset: 8}, 0);
      other.catalog.servers.markExpired('s2', 10_000);
      other.logReadCoordinator.apply(reader.getState(12_500), 12_500);
      t.same(other.getAvailableIds(), ['s1', 's2']);
      t.same(
        other.logReadCoordinator.getKnownPosition('registrations'),
        {era: 0, offset: 5},
        'so it reads for itself',
      );
      t.end();
    },
  );

  t.test('a removal is ignored if the peer has read less than this gateway', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
    reader.catalog.servers.removeServer('s2', 10_000);
    other.read([S2], 7, 10_100);
    other.logReadCoordinator.apply(reader.getState(10_200), 10_200);
    t.same(other.getAvailableIds(), ['s1', 's2']);
    t.end();
  });

  t.test('a gateway back from a cut does not bring back a server that left meanwhile', t => {
    const {reader, other} = createPair();
    const at = (offset: number) => ({era: 1, offset});
    for (const gateway of [reader, other]) gateway.read([S1], 5, 0, 1);
    reader.catalog.servers.applyEntry(S2, 6_000, at(6));
    reader.catalog.servers.removeServer('s2', 10_900, at(20));
    reader.read([], 20, 10_900, 1);
    // The other gateway reads both records at once; the removal may be a result of the outage that it has met.
    other.catalog.servers.applyEntry(S2, 11_800, at(6));
    other.catalog.servers.markExpired('s2', 11_800, at(20));
    other.read([], 30, 11_800, 1);
    reader.logReadCoordinator.apply(other.getState(11_810), 11_810);
    t.same(reader.getAvailableIds(), ['s1']);
    other.logReadCoordinator.apply(reader.getState(11_820), 11_820);
    t.same(other.getAvailableIds(), ['s1']);
    t.end();
  });

  t.test('a removal that a server has survived is ignored, if the peer has read less', t => {
    const {reader, other} = createPair();
    const at = (offset: number) => ({era: 1, offset});
    for (const gateway of [reader, other]) {
      gateway.catalog.servers.applyEntry(S1, 0, at(4));
      gateway.catalog.servers.applyEntry(S2, 0, at(5));
      gateway.read([], 5, 0, 1);
    }
    // The peer loses the store after it has read the removals of an outage, before the servers are back.
    other.catalog.servers.removeServer('s2', 10_000, at(20));
    other.read([], 22, 10_000, 1);
    reader.read([], 30, 10_100, 1);
    reader.logReadCoordinator.apply(other.getState(10_200), 10_200);
    t.same(reader.getAvailableIds(), ['s1', 's2']);
    t.end();
  });

  t.test('registrations are not marked as complete after a missed change', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1], 5, 0);
    reader.read([S2], 6, 10_000);
    reader.read([], 7, 20_000);
    other.logReadCoordinator.apply(reader.getState(20_000), 20_000);
    t.equal(other.catalog.getRegistrationsAgeMs(20_000), 20_000);
    t.same(other.logReadCoordinator.getKnownPosition('registrations'), {era: 0, offset: 5});
    t.end();
  });

  t.test('an update with a lower offset changes nothing', t => {
    const {reader, other} = createPair();
    reader.read([S1, S2], 5, 0);
    other.read([S1], 9, 1_000);
    other.logReadCoordinator.apply(reader.getState(1_000), 1_000);
    t.same(other.getAvailableIds(), ['s1']);
    t.end();
  });

  t.test('a peer that has not met the restored store renews nothing at one that has', t => {
    const {reader, other} = createPair();
    reader.logReadCoordinator.recordRead('operator', {era: 1, offset: 30}, 0);
    reader.read([S1, S2], 90, 0, 1);
    other.logReadCoordinator.recordRead('operator', {era: 2, offset: 7}, 0);
    other.read([S1], 40, 0, 2);
    other.logReadCoordinator.apply(reader.getState(5_000), 5_000);
    t.same(other.getAvailableIds(), ['s1']);
    t.equal(other.operatorUpdates, 0);
    t.equal(other.catalog.getOperatorRecordsAgeMs(5_000), 5_000);
    reader.logReadCoordinator.apply(other.getState(5_000), 5_000);
    t.equal(reader.operatorUpdates, 1, 'and is told by it to read');
    t.equal(reader.logReadCoordinator.getNextReadDelayMs('operator', 0, 5_000), 0);
    t.equal(reader.logReadCoordinator.getReportedEra(), 2);
    t.end();
  });

  t.test("operators' records that a peer reports are read at once, and only once", t => {
    const {reader, other} = createPair();
    reader.logReadCoordinator.recordRead('operator', {era: 0, offset: 3}, 0);
    other.logReadCoordinator.apply(reader.getState(0), 0);
    other.logReadCoordinator.apply(reader.getState(100), 100);
    t.equal(other.operatorUpdates, 1);
    t.equal(other.logReadCoordinator.getNextReadDelayMs('operator', 0, 100), 0);
    t.equal(other.catalog.getOperatorRecordsAgeMs(100), Infinity);
    other.logReadCoordinator.recordRead('operator', {era: 0, offset: 3}, -500);
    other.logReadCoordinator.apply(reader.getState(200), 200);
    t.equal(other.catalog.getOperatorRecordsAgeMs(200), 200);
    t.end();
  });
  t.end();
});
