/** What gateways read for each other. */
import t from 'tap';
import {Catalog, type ServerEntry} from '../../src/catalog/index.js';
import {SharedReadings} from '../../src/gateway/index.js';
import {MemberTable, type GatewayMember, type GossipState} from '../../src/gossip/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';
import {createGossipState, createMember} from './gatewayFixtures.js';

class ReadingGateway {
  readonly catalog = new Catalog();
  readonly readings: SharedReadings;
  readonly member: GatewayMember;
  news = 0;

  constructor(id: string) {
    this.member = createMember(id);
    this.readings = new SharedReadings({
      catalog: this.catalog,
      members: new MemberTable(id, {silentAfterMs: 900, goneAfterMs: 8_000}),
      events: silentEvents,
      describeSelf: () => this.member,
    });
    this.readings.setNewsListener(() => (this.news += 1));
  }

  /** Reads registrations as the adapter does. */
  read(entries: readonly ServerEntry[], nextOffset: number, nowMs: number): void {
    for (const entry of entries) this.catalog.servers.applyEntry(entry, nowMs);
    this.catalog.markServersCurrent(nowMs);
    this.readings.noteRead('registrations', nextOffset);
  }

  tell(nowMs: number): GossipState {
    return createGossipState(this.member, this.readings.describeRegistrations(nowMs), {
      offset: this.readings.getKnownOffset('operator'),
      ageMs: this.catalog.getOperatorAgeMs(nowMs),
    });
  }

  getOpenIds(): readonly string[] {
    return this.catalog.servers.getOpenServers('app', new Set()).map(({entry: {id}}) => id);
  }
}

function createPair() {
  return {reader: new ReadingGateway('g1'), other: new ReadingGateway('g2')};
}

const S1 = createServer('s1').entry;
const S2 = createServer('s2').entry;

t.test('SharedReadings', t => {
  t.test('a new server and its cold time reach a gateway that does not read', t => {
    const {reader, other} = createPair();
    reader.read([S1], 5, 0);
    other.read([S1], 5, 0);
    reader.read([{...S2, coldMs: 3_000}], 6, 10_000);
    other.readings.apply(reader.tell(10_100), 10_100);
    t.same(other.getOpenIds(), ['s1', 's2']);
    t.equal(other.catalog.servers.getServer('s2')?.coldUntilMs, 13_000);
    t.equal(other.catalog.getServersAgeMs(10_100), 100);
    t.equal(other.readings.getKnownOffset('registrations'), 6);
    t.end();
  });

  t.test('a server that leaves gets nothing more from a gateway that does not read', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
    reader.read([{...S2, isDraining: true}], 6, 10_000);
    other.readings.apply(reader.tell(10_000), 10_000);
    t.same(other.getOpenIds(), ['s1']);
    t.equal(other.catalog.getServersAgeMs(10_000), 0);
    t.end();
  });

  t.test('a registration that lapsed in an outage and came back opens the server everywhere', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
    reader.catalog.servers.removeServer('s2', 10_000);
    other.readings.apply(reader.tell(10_000), 10_000);
    t.same(other.getOpenIds(), ['s1']);
    reader.read([S2], 6, 11_000);
    other.readings.apply(reader.tell(11_000), 11_000);
    t.same(other.getOpenIds(), ['s1', 's2']);
    t.equal(other.catalog.getServersAgeMs(11_000), 0);
    t.end();
  });

  t.test(
    'a registration that lapsed here and came back for the reader is no proof of anything here',
    t => {
      const {reader, other} = createPair();
      for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
      reader.readings.noteRead('registrations', 8);
      other.catalog.servers.markLapsed('s2', 10_000);
      other.readings.apply(reader.tell(12_500), 12_500);
      t.same(other.getOpenIds(), ['s1', 's2']);
      t.equal(other.readings.getKnownOffset('registrations'), 5, 'so it reads for itself');
      t.end();
    },
  );

  t.test('a removal that was read further back than here is ignored', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1, S2], 5, 0);
    reader.catalog.servers.removeServer('s2', 10_000);
    other.read([S2], 7, 10_100);
    other.readings.apply(reader.tell(10_200), 10_200);
    t.same(other.getOpenIds(), ['s1', 's2']);
    t.end();
  });

  t.test('news that was missed is no proof that all servers are known', t => {
    const {reader, other} = createPair();
    for (const gateway of [reader, other]) gateway.read([S1], 5, 0);
    reader.read([S2], 6, 10_000);
    reader.read([], 7, 20_000);
    other.readings.apply(reader.tell(20_000), 20_000);
    t.equal(other.catalog.getServersAgeMs(20_000), 20_000);
    t.equal(other.readings.getKnownOffset('registrations'), 5);
    t.end();
  });

  t.test('an older reading changes nothing', t => {
    const {reader, other} = createPair();
    reader.read([S1, S2], 5, 0);
    other.read([S1], 9, 1_000);
    other.readings.apply(reader.tell(1_000), 1_000);
    t.same(other.getOpenIds(), ['s1']);
    t.end();
  });

  t.test("operators' records that others know of are read at once, and each once", t => {
    const {reader, other} = createPair();
    reader.readings.noteRead('operator', 3);
    reader.catalog.markOperatorCurrent(0);
    other.readings.apply(reader.tell(0), 0);
    other.readings.apply(reader.tell(100), 100);
    t.equal(other.news, 1);
    t.equal(other.readings.getDelayMs('operator', 0, 100), 0);
    t.equal(other.catalog.getOperatorAgeMs(100), Infinity);
    other.readings.noteRead('operator', 3);
    other.readings.apply(reader.tell(200), 200);
    t.equal(other.catalog.getOperatorAgeMs(200), 200);
    t.end();
  });
  t.end();
});
