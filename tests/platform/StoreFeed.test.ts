/** What the store's records make known, through outages and with the help of other gateways. */
import t, {type Test} from 'tap';
import {encodeKeyed} from '../../platform/records.js';
import {StoreClient} from '../../platform/StoreClient.js';
import {StoreFeed} from '../../platform/StoreFeed.js';
import {Catalog} from '../../src/catalog/index.js';
import {SharedReadings} from '../../src/gateway/index.js';
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
  store.getRecords(SERVERS).push(encodeKeyed(id, Buffer.from(JSON.stringify(value))));
}

/** A record with a key and no value drops the key. */
function removeRegistration(store: StoreStandIn, id: string): void {
  store.getRecords(SERVERS).push(encodeKeyed(id, Buffer.alloc(0)));
}

async function waitFor(check: () => boolean): Promise<void> {
  const endAtMs = getNowMs() + WAIT_MS;
  while (!check()) {
    if (getNowMs() > endAtMs) throw new Error('not within the time');
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
  const members = new MemberTable('g1', {silentAfterMs: 900, goneAfterMs: 8_000});
  const readings = new SharedReadings({
    catalog,
    members,
    events,
    describeSelf: () => createMember('g1'),
  });
  let news = 0;
  const feed = new StoreFeed({
    store: new StoreClient({address, events, onCall: () => undefined}),
    catalog,
    events,
    getNowMs,
    readings,
    onNews: () => (news += 1),
    onConfiguration: () => undefined,
  });
  t.teardown(() => {
    feed.stop();
    store.stop();
  });
  feed.start();
  const getOpenIds = () =>
    catalog.servers.getOpenServers('app', new Set()).map(({entry: {id}}) => id);
  await waitFor(() => getOpenIds().length === serverIds.length);
  return {store, catalog, members, readings, getOpenIds, getNews: () => news};
}

t.test('StoreFeed', t => {
  t.test('follows registrations as they come and go', async t => {
    const {store, getOpenIds} = await startFeed(t, ['s1', 's2']);
    register(store, 's3');
    await waitFor(() => getOpenIds().length === 3);
    register(store, 's1', 'draining');
    removeRegistration(store, 's2');
    await waitFor(() => getOpenIds().join() === 's3');
  });

  t.test('an evacuation is told to the others as soon as it is read', async t => {
    const {store, catalog, getNews} = await startFeed(t, ['s1']);
    await waitFor(() => catalog.getOperatorAgeMs(getNowMs()) < Infinity);
    const before = getNews();
    store.getRecords(OPERATOR).push(encodeKeyed('evacuate/a', Buffer.from('{}')));
    await waitFor(() => catalog.evacuatedDomains.has('a'));
    await waitFor(() => getNews() > before);
  });

  t.test(
    'registrations that lapsed in an outage are kept, those that come back for good',
    async t => {
      const {store, getOpenIds} = await startFeed(t, ['s1', 's2']);
      store.mode = 'refuses';
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

  t.test('without an outage a registration that goes is a server that went', async t => {
    const {store, getOpenIds} = await startFeed(t, ['s1', 's2']);
    await pause(2_500);
    removeRegistration(store, 's1');
    await waitFor(() => getOpenIds().join() === 's2');
  });

  t.test('a gateway that is told by the first reader hardly reads', async t => {
    const {store, catalog, members, readings} = await startFeed(t, ['s1']);
    const others = ['g2', 'g3', 'g4', 'g5', 'g6'].map(id => createMember(id));
    const tell = () => {
      const nowMs = getNowMs();
      for (const other of others) members.applyHeard(other, nowMs);
      const reading = {
        offset: readings.getKnownOffset('registrations'),
        ageMs: 0,
        digest: catalog.servers.getDigest(),
        changed: [],
        draining: [],
        removed: [],
      };
      const operator = {offset: readings.getKnownOffset('operator'), ageMs: 0};
      readings.apply(createGossipState(others[0], reading, operator), nowMs);
    };
    const timer = setInterval(tell, 250);
    t.teardown(() => clearInterval(timer));
    await pause(1_500);
    const before = store.getReads(SERVERS);
    await pause(3_000);
    const isFirst = readings.getDelayMs('registrations', 0, getNowMs()) <= 700;
    t.notOk(isFirst, 'another one is the first reader');
    t.equal(store.getReads(SERVERS), before);
    clearInterval(timer);
    await waitFor(() => store.getReads(SERVERS) > before);
  });
  t.end();
});
