/** Tests of `StoreFeed`: following the store's records, store outages, and reads relayed by other gateways. */
import t, {type Test} from 'tap';
import {encodeKeyedRecord} from '../../platform/records.js';
import {StoreClient} from '../../platform/StoreClient.js';
import {StoreFeed} from '../../platform/StoreFeed.js';
import {Catalog} from '../../src/catalog/index.js';
import {LogReadCoordinator} from '../../src/gateway/index.js';
import {MemberTable} from '../../src/gossip/index.js';
import {silentEvents as events} from '../../src/logging/index.js';
import {createGossipState, createMember} from '../gateway/gatewayFixtures.js';
import {StoreStandIn} from './StoreStandIn.js';

const OPERATOR = 'keyed.op';
const SERVERS = 'keyed.servers';
const POLL_MS = 20;
const WAIT_MS = 10_000;
const getNowMs = () => performance.now();

function register(store: StoreStandIn, id: string, state: 'ready' | 'draining' = 'ready'): void {
  const value = {
    service: 'app',
    addr: '10.0.0.1:80',
    zone: 'a',
    version: 'v1',
    slots: 6,
    state,
    cold_left_ms: 0,
    born: 1,
  };
  store.getRecords(SERVERS).push(encodeKeyedRecord(id, Buffer.from(JSON.stringify(value))));
}

function configure(store: StoreStandIn, version: number): void {
  const value = {version, routes: [], services: [], tenants: []};
  store.getRecords(OPERATOR).push(encodeKeyedRecord('config', Buffer.from(JSON.stringify(value))));
}

function evacuate(store: StoreStandIn, domain: string, value = '{}'): void {
  store.getRecords(OPERATOR).push(encodeKeyedRecord(`evacuate/${domain}`, Buffer.from(value)));
}

/** Appends a record without a value, which deletes the key. */
function removeRegistration(store: StoreStandIn, id: string): void {
  store.getRecords(SERVERS).push(encodeKeyedRecord(id, Buffer.alloc(0)));
}

async function waitFor(check: () => boolean): Promise<void> {
  const endAtMs = getNowMs() + WAIT_MS;
  while (!check()) {
    if (getNowMs() > endAtMs) throw new Error('the condition did not become true in time');
    await pause(POLL_MS);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function startFeed(t: Test, serverIds: readonly string[]) {
  const store = new StoreStandIn();
  const address = await store.start();
  for (const id of serverIds) register(store, id);
  const catalog = new Catalog();
  const members = new MemberTable('g1', {unresponsiveAfterMs: 900, removedAfterMs: 8_000});
  const logReadCoordinator = new LogReadCoordinator({
    catalog,
    members,
    events,
    describeSelf: () => createMember('g1'),
    getAwareNowMs: getNowMs,
  });
  let notificationCount = 0;
  const feed = new StoreFeed({
    store: new StoreClient({address, events, onCall: () => undefined}),
    catalog,
    events,
    getNowMs,
    getAwareNowMs: getNowMs,
    logReadCoordinator,
    onNewOperatorRecords: () => (notificationCount += 1),
    onConfiguration: () => undefined,
  });
  t.teardown(() => {
    feed.stop();
    store.stop();
  });
  feed.start();
  const getOpenIds = () =>
    catalog.servers.getAvailableServers('app', new Set()).map(({entry: {id}}) => id);
  await waitFor(() => getOpenIds().length === serverIds.length);
  return {
    store,
    catalog,
    members,
    logReadCoordinator,
    getOpenIds,
    getNotificationCount: () => notificationCount,
  };
}

t.test('StoreFeed', t => {
  t.test('applies new, changed and removed registrations', async t => {
    const {store, getOpenIds} = await startFeed(t, ['s1', 's2']);
    register(store, 's3');
    await waitFor(() => getOpenIds().length === 3);
    register(store, 's1', 'draining');
    removeRegistration(store, 's2');
    await waitFor(() => getOpenIds().join() === 's3');
  });

  t.test('notifies the other gateways as soon as it reads an evacuation', async t => {
    const {store, catalog, getNotificationCount} = await startFeed(t, ['s1']);
    await waitFor(() => catalog.getOperatorRecordsAgeMs(getNowMs()) < Infinity);
    const before = getNotificationCount();
    store.getRecords(OPERATOR).push(encodeKeyedRecord('evacuate/a', Buffer.from('{}')));
    await waitFor(() => catalog.evacuatedDomains.has('a'));
    await waitFor(() => getNotificationCount() > before);
  });

  t.test(
    'keeps registrations that expired in an outage, and removes them later unless they are renewed',
    async t => {
      const {store, getOpenIds} = await startFeed(t, ['s1', 's2']);
      store.mode = 'refuses';
      // Longer than the outage threshold of the follower.
      await pause(2_500);
      removeRegistration(store, 's1');
      removeRegistration(store, 's2');
      store.mode = 'works';
      await pause(1_000);
      t.same(getOpenIds(), ['s1', 's2']);
      register(store, 's2');
      await waitFor(() => getOpenIds().join() === 's2');
    },
  );

  t.test('a configuration that is acknowledged by a restored store comes into force', async t => {
    const {store, catalog} = await startFeed(t, ['s1']);
    const getVersion = () => catalog.routeTable?.configuration.version;
    for (const version of [1, 2, 3, 4]) configure(store, version);
    await waitFor(() => getVersion() === 4);
    store.restore({[OPERATOR]: 3, [SERVERS]: 0});
    configure(store, 4);
    configure(store, 5);
    await waitFor(() => getVersion() === 5);
    configure(store, 6);
    await waitFor(() => getVersion() === 6);
  });

  t.test('what was confirmed does not come back older from a restored store', async t => {
    const {store, catalog, getOpenIds} = await startFeed(t, ['s1', 's2', 's3']);
    const getEvacuated = () => [...catalog.evacuatedDomains].sort().join();
    configure(store, 1);
    evacuate(store, 'b');
    await waitFor(() => getEvacuated() === 'b');
    configure(store, 2);
    evacuate(store, 'b', '');
    evacuate(store, 'c');
    evacuate(store, 'd');
    register(store, 's2', 'draining');
    removeRegistration(store, 's3');
    await waitFor(() => getEvacuated() === 'c,d' && getOpenIds().join() === 's1');
    store.restore({[OPERATOR]: 4, [SERVERS]: 2});
    evacuate(store, 'c');
    const endAtMs = getNowMs() + 3_000;
    while (getNowMs() < endAtMs) {
      await pause(POLL_MS);
      t.equal(catalog.routeTable?.configuration.version, 2);
      if (getEvacuated() !== 'c,d' || getOpenIds().join() !== 's1') {
        t.fail(`evacuated: ${getEvacuated()}, open: ${getOpenIds().join()}`);
        return;
      }
    }
    evacuate(store, 'b', '');
    register(store, 's3');
    await waitFor(() => getOpenIds().join() === 's1,s3');
    await waitFor(() => getEvacuated() === 'c');
  });

  t.test('removes a server with its registration if there was no outage', async t => {
    const {store, getOpenIds} = await startFeed(t, ['s1', 's2']);
    await pause(2_500);
    removeRegistration(store, 's1');
    await waitFor(() => getOpenIds().join() === 's2');
  });

  t.test('does not tell the other gateways of a server that left while it was cut off', async t => {
    const {store, catalog, logReadCoordinator} = await startFeed(t, ['s1']);
    store.mode = 'silent';
    await pause(4_500);
    register(store, 's2');
    removeRegistration(store, 's2');
    store.mode = 'works';
    const endOffset = store.getRecords(SERVERS).length;
    await waitFor(() => logReadCoordinator.getKnownPosition('registrations').offset >= endOffset);
    const update = logReadCoordinator.getRegistrationsUpdate(true, getNowMs());
    t.notOk(update.changed.some(({id}) => id === 's2'));
    t.equal(catalog.servers.getServer('s2')?.entry.id, 's2', 'kept here, since it may be running');
  });

  t.test('does not read the store while another gateway relays its reads', async t => {
    const {store, catalog, members, logReadCoordinator} = await startFeed(t, ['s1']);
    const others = ['g2', 'g3', 'g4', 'g5', 'g6'].map(id => createMember(id));
    let readNumber = 0;
    const relayRead = () => {
      const nowMs = getNowMs();
      for (const other of others) members.applySender(other, nowMs);
      const registrations = {
        position: logReadCoordinator.getKnownPosition('registrations'),
        ageMs: 0,
        digest: catalog.servers.getDigest(),
        changed: [],
        draining: [],
        removed: [],
      };
      readNumber += 1;
      const operator = {
        position: logReadCoordinator.getKnownPosition('operator'),
        read: {readerKey: 1, readNumber, ageMs: 0},
      };
      logReadCoordinator.apply(createGossipState(others[0], registrations, operator), nowMs);
    };
    const timer = setInterval(relayRead, 250);
    t.teardown(() => clearInterval(timer));
    await pause(1_500);
    const before = store.getReadCount(SERVERS);
    await pause(3_000);
    const isFirstReader =
      logReadCoordinator.getNextReadDelayMs('registrations', 0, getNowMs()) <= 700;
    t.notOk(isFirstReader, 'another gateway is the first reader');
    t.equal(store.getReadCount(SERVERS), before);
    clearInterval(timer);
    await waitFor(() => store.getReadCount(SERVERS) > before);
  });
  t.end();
});
