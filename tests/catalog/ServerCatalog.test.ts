/** Backend servers as they come, leave and come back. */
import t from 'tap';
import {ServerCatalog, type ServerEntry} from '../../src/catalog/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

const NONE: ReadonlySet<string> = new Set();

function entry(id: string, fields: Partial<ServerEntry> = {}): ServerEntry {
  return {...createServer(id).entry, ...fields};
}

function openIds(catalog: ServerCatalog, closed = NONE): readonly string[] {
  return catalog.getOpenServers('app', closed).map(({entry: {id}}) => id);
}

t.test('ServerCatalog', t => {
  t.test('offers servers that neither leave nor stand in a closed failure domain', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2', {isDraining: true}), 0);
    catalog.applyEntry(entry('s3', {failureDomain: 'b'}), 0);
    catalog.applyEntry(entry('s4', {service: 'other'}), 0);
    t.same(openIds(catalog), ['s1', 's3']);
    t.same(openIds(catalog, new Set(['b'])), ['s1']);
    t.end();
  });

  t.test('a server that leaves is not offered again by an older record', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    t.equal(catalog.markDraining('s1'), 'draining');
    t.equal(catalog.applyEntry(entry('s1'), 10), 'same');
    t.same(openIds(catalog), []);
    t.end();
  });

  t.test('another start under the same id is a new server', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1', {isDraining: true}), 0);
    t.equal(catalog.applyEntry(entry('s1', {startedAtMs: 2}), 10), 'added');
    t.same(openIds(catalog), ['s1']);
    t.equal(catalog.getServer('s1')?.firstSeenAtMs, 10);
    t.end();
  });

  t.test('a registration that lapsed in an outage is kept for two seconds', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2'), 0);
    catalog.markLapsed('s1', 1_000);
    catalog.markLapsed('s2', 1_000);
    catalog.applyEntry(entry('s2'), 2_000);
    t.same(catalog.removeLapsed(2_999), []);
    t.same(catalog.removeLapsed(3_000), ['s1']);
    t.same(openIds(catalog), ['s2']);
    t.end();
  });

  t.test('tells for a while which servers leave', t => {
    const catalog = new ServerCatalog();
    catalog.applyEntry(entry('s1'), 0);
    catalog.applyEntry(entry('s2'), 0);
    catalog.applyEntry(entry('s1', {isDraining: true}), 100);
    catalog.removeServer('s2', 200);
    t.same(catalog.getLeaving(300), ['s1', 's2']);
    t.same(catalog.getLeaving(10_000), []);
    t.end();
  });
  t.end();
});
