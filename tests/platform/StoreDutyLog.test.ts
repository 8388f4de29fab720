/** Tests of claiming the duties: one duty holder at a time, and no reports from an earlier one. */
import t, {type Test} from 'tap';
import {StoreClient} from '../../platform/StoreClient.js';
import {StoreDutyLog} from '../../platform/StoreDutyLog.js';
import type {UsageReport} from '../../src/gateway/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {StoreStandIn} from './StoreStandIn.js';

async function createFixture(
  t: Test,
): Promise<{store: StoreStandIn; createLog: () => StoreDutyLog}> {
  const store = new StoreStandIn();
  const address = await store.start();
  t.teardown(() => store.stop());
  const onCall = () => undefined;
  return {
    store,
    createLog: () => new StoreDutyLog(new StoreClient({address, events: silentEvents, onCall})),
  };
}

function createReport(window: number, requests: number): UsageReport {
  return {window, counts: new Map([['w', requests]])};
}

t.test('StoreDutyLog', t => {
  t.test('accepts reports only under the newest of several concurrent claims', async t => {
    const {createLog} = await createFixture(t);
    const logs = [createLog(), createLog(), createLog()];
    const claims = await Promise.all(logs.map((log, index) => log.claim(`g${index}`)));
    const tokens = claims.flatMap(claimed => (claimed ? [claimed.claim.token] : []));
    t.equal(new Set(tokens).size, tokens.length, 'no token is issued twice');
    const results: string[] = [];
    for (const [index, claimed] of claims.entries()) {
      if (claimed)
        results.push(await logs[index].writeReports([createReport(1, index)], claimed.claim));
    }
    t.equal(results.filter(result => result === 'done').length, 1);
  });

  t.test('gives a later claim a higher token and returns the previous claim', async t => {
    const {createLog} = await createFixture(t);
    const first = await createLog().claim('g1');
    const second = await createLog().claim('g2');
    t.same(first?.previous, {token: 0, holderId: ''});
    t.same(second?.previous, first?.claim);
    t.ok((second?.claim.token ?? 0) > (first?.claim.token ?? 0));
  });

  t.test('gives no token twice when a restored store has lost the claim', async t => {
    const {store, createLog} = await createFixture(t);
    const tokens: number[] = [];
    for (const holder of ['g1', 'g2', 'g3', 'g4']) {
      const claimed = await createLog().claim(holder);
      if (!claimed) {
        t.fail(`${holder} has no claim`);
        return;
      }
      t.equal(claimed.hasLostRecords, holder === 'g4', holder);
      tokens.push(claimed.claim.token);
      if (holder === 'g3') store.restore({'keyed.duties': 2});
    }
    t.same(
      tokens,
      [...new Set(tokens)].sort((a, b) => a - b),
    );
  });

  t.test('rejects reports of an earlier duty holder', async t => {
    const {createLog} = await createFixture(t);
    const earlier = createLog();
    const first = await earlier.claim('g1');
    if (!first) {
      t.fail('the first claim failed');
      return;
    }
    t.equal(await earlier.writeReports([createReport(1, 5)], first.claim), 'done');
    const later = createLog();
    const second = await later.claim('g2');
    t.equal(await earlier.writeReports([createReport(2, 9)], first.claim), 'superseded');
    t.same(await later.read(), {claim: second?.claim, reports: [createReport(1, 5)]});
  });

  t.test('ends the claim if the response to an append is lost', async t => {
    const {store, createLog} = await createFixture(t);
    const log = createLog();
    const first = await log.claim('g1');
    if (!first) {
      t.fail('the first claim failed');
      return;
    }
    store.mode = 'loses-responses';
    t.equal(await log.writeReports([createReport(1, 5)], first.claim), 'superseded');
  });

  t.test('returns neither a claim nor a history while the store is unavailable', async t => {
    const {store, createLog} = await createFixture(t);
    store.mode = 'refuses';
    t.equal(await createLog().claim('g1'), undefined);
    t.equal(await createLog().read(), undefined);
  });
  t.end();
});
