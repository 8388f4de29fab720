/** Claims of the duties in the store: one holder at a time, and nothing written by an earlier one. */
import t, {type Test} from 'tap';
import {StoreClient} from '../../platform/StoreClient.js';
import {StoreDutyLog} from '../../platform/StoreDutyLog.js';
import type {UsageReport} from '../../src/gateway/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {StoreStandIn} from './StoreStandIn.js';

async function createWorld(t: Test): Promise<{store: StoreStandIn; createLog: () => StoreDutyLog}> {
  const store = new StoreStandIn();
  const address = await store.start();
  t.teardown(() => store.stop());
  const onCall = () => undefined;
  return {
    store,
    createLog: () => new StoreDutyLog(new StoreClient({address, events: silentEvents, onCall})),
  };
}

function report(window: number, requests: number): UsageReport {
  return {window, counts: new Map([['w', requests]])};
}

t.test('StoreDutyLog', t => {
  t.test(
    'of processes that claim at once only the one with the newest claim can write',
    async t => {
      const {createLog} = await createWorld(t);
      const logs = [createLog(), createLog(), createLog()];
      const claims = await Promise.all(logs.map((log, index) => log.claim(`g${index}`)));
      const tokens = claims.flatMap(claimed => (claimed ? [claimed.claim.token] : []));
      t.equal(new Set(tokens).size, tokens.length, 'no token is given twice');
      const results: string[] = [];
      for (const [index, claimed] of claims.entries()) {
        if (claimed)
          results.push(await logs[index].writeReports([report(1, index)], claimed.claim));
      }
      t.equal(results.filter(result => result === 'done').length, 1);
    },
  );

  t.test('a later claim has a higher token and tells the earlier holder', async t => {
    const {createLog} = await createWorld(t);
    const first = await createLog().claim('g1');
    const second = await createLog().claim('g2');
    t.same(first?.previous, {token: 0, holderId: ''});
    t.same(second?.previous, first?.claim);
    t.ok((second?.claim.token ?? 0) > (first?.claim.token ?? 0));
  });

  t.test('an earlier holder can write no report any more', async t => {
    const {createLog} = await createWorld(t);
    const earlier = createLog();
    const first = await earlier.claim('g1');
    if (!first) {
      t.fail('not claimed');
      return;
    }
    t.equal(await earlier.writeReports([report(1, 5)], first.claim), 'done');
    const later = createLog();
    const second = await later.claim('g2');
    t.equal(await earlier.writeReports([report(2, 9)], first.claim), 'superseded');
    t.same(await later.read(), {claim: second?.claim, reports: [report(1, 5)]});
  });

  t.test('a write whose answer is lost ends the claim', async t => {
    const {store, createLog} = await createWorld(t);
    const log = createLog();
    const first = await log.claim('g1');
    if (!first) {
      t.fail('not claimed');
      return;
    }
    store.mode = 'loses-answers';
    t.equal(await log.writeReports([report(1, 5)], first.claim), 'superseded');
  });

  t.test('without the store there is no claim and no history', async t => {
    const {store, createLog} = await createWorld(t);
    store.mode = 'refuses';
    t.equal(await createLog().claim('g1'), undefined);
    t.equal(await createLog().read(), undefined);
  });
  t.end();
});
