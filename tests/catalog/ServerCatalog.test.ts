/** How registrations, departures and renewals change the set of known backend servers. */
import t from 'tap';
import {ServerCatalog, type ServerEntry} from '../../src/catalog/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

const NONE: ReadonlySet<string> = new Set();

function entry(id: string, fields: Partial<ServerEntry> = {}): ServerEntry {
  return {...createServer(id).entry, ...fields};
}

function getAvailableIds(catalog: ServerCatalog, excludedDomains = NONE): readonly string[] {
  return catalog.getAvailableServers('app', excludedDomains).map(({entry: {id}}) => id);
}

t.test('ServerCatalog', t => {
  t.test('returns servers that are neither draining nor in an excluded failure domain', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2', {isDraining: true}), 0);
    catalog.applyEntry(entry('s3', {failureDomain: 'b'}), 0);
    catalog.applyEntry(entry('s4', {service: 'other'}), 0);
    t.same(getAvailableIds(catalog), ['s1', 's3']);
    t.same(getAvailableIds(catalog, new Set(['b'])), ['s1']);
    t.end();
  });

  t.test('keeps its list of servers over renewals, but over no change', t => {
    // Placement computes data for each new list; an outdated list would send requests to servers that are gone.
    const catalog = new ServerCatalog();
    const list = () => catalog.getAvailableServers('app', NONE);
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2'), 0);
    const before = list();
    t.equal(catalog.applyEntry(entry('s1'), 10), 'same');
    t.equal(list(), before);
    catalog.applyEntry(entry('s1', {slots: 3}), 20);
    t.equal(list()[0].entry.slots, 3);
    catalog.applyEntry(entry('s1', {slots: 3, coldMs: 500}), 30);
    t.equal(list()[0].coldUntilMs, 530);
    catalog.markCold('s2', 900, 40);
    t.equal(list()[1].coldUntilMs, 900);
    catalog.applyEntry(entry('s2'), 50);
    t.equal(list()[1].coldUntilMs, 50, 'warm again by its registration');
    catalog.markExpired('s2', 60);
    t.equal(list()[1].expiredAtMs, 60);
    catalog.applyEntry(entry('s2'), 70);
    t.equal(list()[1].expiredAtMs, undefined);
    catalog.applyDeparture(entry('s1'), 'draining', 80);
    t.same(getAvailableIds(catalog), ['s2']);
    catalog.removeServer('s2', 90);
    t.same(getAvailableIds(catalog), []);
    catalog.applyEntry(entry('s3'), 100);
    t.same(getAvailableIds(catalog), ['s3']);
    t.end();
  });

  t.test('an older record does not make a draining server available again', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    t.equal(catalog.applyDeparture(entry('s1'), 'draining', 5), 'draining');
    t.equal(catalog.applyEntry(entry('s1'), 10), 'same');
    t.same(getAvailableIds(catalog), []);
    t.end();
  });

  t.test('another start under the same id is a new server', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1', {isDraining: true}), 0);
    t.equal(catalog.applyEntry(entry('s1', {startedAtMs: 2}), 10), 'added');
    t.same(getAvailableIds(catalog), ['s1']);
    t.equal(catalog.getServer('s1')?.firstSeenAtMs, 10);
    t.end();
  });

  t.test('a registration that expired in an outage is kept for two seconds', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2'), 0);
    catalog.markExpired('s1', 1_000);
    catalog.markExpired('s2', 1_000);
    catalog.applyEntry(entry('s2'), 2_000);
    t.same(catalog.removeExpired(2_999), []);
    t.same(catalog.removeExpired(3_000), ['s1']);
    t.same(getAvailableIds(catalog), ['s2']);
    t.end();
  });

  t.test('returns departures for a limited time', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2'), 0);
    catalog.applyEntry(entry('s1', {isDraining: true}), 100);
    catalog.removeServer('s2', 200);
    t.same(catalog.getRecentDepartures('draining', 300), [{id: 's1', startedAtMs: 1}]);
    t.same(catalog.getRecentDepartures('removed', 300), [{id: 's2', startedAtMs: 1}]);
    t.same(catalog.getRecentDepartures('draining', 10_000), []);
    t.end();
  });

  t.test('the departure of an earlier start does not affect a later one with the same id', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1', {startedAtMs: 2}), 0);
    t.equal(catalog.applyDeparture({id: 's1', startedAtMs: 1}, 'draining', 10), 'same');
    t.same(getAvailableIds(catalog), ['s1']);
    t.end();
  });

  t.test('a renewed registration makes a removed server available and clears its departure', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.removeServer('s1', 10);
    t.equal(catalog.applyEntry(entry('s1'), 20), 'added');
    t.same(getAvailableIds(catalog), ['s1']);
    t.same(catalog.getRecentDepartures('removed', 20), []);
    t.end();
  });

  t.test('a relayed registration is ignored if its start has announced its departure', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1', {isDraining: true}), 0);
    catalog.removeServer('s1', 10);
    const relay = (fields: Partial<ServerEntry>) => ({
      ...entry('s1', fields),
      recordPosition: undefined,
    });
    t.equal(catalog.applyRelayedEntry(relay({}), 20), 'same');
    t.equal(catalog.applyRelayedEntry(relay({startedAtMs: 2}), 30), 'added');
    t.same(getAvailableIds(catalog), ['s1']);
    t.end();
  });

  t.test('a removed server does not come back by a record from before its removal', t => {
    const catalog = new ServerCatalog();
    const at = (offset: number, era = 1) => ({era, offset});
    catalog.applyEntry(entry('s1'), 0, at(5));
    t.equal(catalog.removeServer('s1', 10, at(9)), 'removed');
    t.equal(catalog.applyEntry(entry('s1'), 20, at(5)), 'same');
    t.equal(catalog.applyRelayedEntry({...entry('s1'), recordPosition: at(8)}, 30), 'same');
    t.same(getAvailableIds(catalog), []);
    t.equal(catalog.applyEntry(entry('s1'), 40, at(10)), 'added');
    t.equal(catalog.removeServer('s1', 50, at(9)), 'same', 'removed before it registered again');
    t.equal(catalog.applyDeparture(entry('s1'), 'removed', 60, at(9)), 'same');
    catalog.markExpired('s1', 70, at(9));
    t.equal(catalog.getServer('s1')?.expiredAtMs, undefined);
    t.equal(catalog.applyEntry(entry('s1', {startedAtMs: 7}), 80, at(9)), 'same');
    t.equal(catalog.applyDeparture(entry('s1'), 'removed', 90, at(11)), 'removed');
    t.equal(catalog.applyEntry(entry('s1'), 100, at(3, 2)), 'added', 'after a restoration');
    t.end();
  });

  t.test('an expired registration is not reported as a changed one', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1', {coldMs: 900}), 0, {era: 1, offset: 5});
    catalog.markExpired('s1', 10, {era: 1, offset: 9});
    t.same(catalog.getRecentlyChanged(100, 20), []);
    t.same(catalog.getColdServers(20), []);
    t.end();
  });

  t.test('catalogs with the same servers, apart from draining ones, have equal digests', t => {
    const first = new ServerCatalog();
    const second = new ServerCatalog();
    for (const id of ['s1', 's2', 's3']) first.applyEntry(entry(id), 0);
    for (const id of ['s3', 's1']) second.applyEntry(entry(id), 50);
    t.not(first.getDigest(), second.getDigest());
    first.applyDeparture(entry('s2'), 'draining', 60);
    t.equal(first.getDigest(), second.getDigest());
    second.applyEntry(entry('s1', {startedAtMs: 2}), 70);
    t.not(first.getDigest(), second.getDigest());
    t.end();
  });

  t.test('returns recently changed servers, and cold ones', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2', {coldMs: 9_000}), 0);
    catalog.applyEntry(entry('s3'), 4_000);
    catalog.applyEntry(entry('s1'), 4_500);
    const changed = catalog.getRecentlyChanged(2_000, 5_000).map(({entry: {id}}) => id);
    t.same(changed, ['s3']);
    t.same(
      catalog.getColdServers(5_000).map(({entry: {id}}) => id),
      ['s2'],
    );
    t.end();
  });

  t.test('removes a server that has been draining for a long time', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1', {isDraining: true}), 0);
    t.same(catalog.removeStaleDraining(30_000), []);
    t.same(catalog.removeStaleDraining(30_001), ['s1']);
    t.end();
  });
  t.end();
});
