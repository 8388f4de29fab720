/** Usage reports and server orders of the duty holder, and when it stops making them. */
import t from 'tap';
import {Catalog, type ServerEntry} from '../../src/catalog/index.js';
import {UsageLedger} from '../../src/controllers/duties/index.js';
import type {ServiceLoad} from '../../src/controllers/fleetSize/index.js';
import {FleetDuty} from '../../src/gateway/FleetDuty.js';
import {UsageDuty, type UsageHistory} from '../../src/gateway/UsageDuty.js';
import type {
  DutyCalls,
  DutyLog,
  DutyResult,
  ServerOrder,
  UsageReport,
} from '../../src/gateway/index.js';
import {silentEvents as events} from '../../src/logging/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

const CLAIM = {token: 3, holderId: 'g1'};
const DUE_MS = 10_000;

/** Records calls and returns the configured results. */
class DutyPlatform implements DutyCalls, DutyLog {
  readonly reported: UsageReport[] = [];
  readonly orders: ServerOrder[] = [];
  written: readonly UsageReport[] = [];
  reportResult: DutyResult = 'done';
  writeResult: DutyResult = 'done';
  orderResult: DutyResult = 'done';

  async reportUsage(report: UsageReport): Promise<DutyResult> {
    if (this.reportResult === 'done') this.reported.push(report);
    return this.reportResult;
  }

  async orderServers(order: ServerOrder): Promise<DutyResult> {
    this.orders.push(order);
    return this.orderResult;
  }

  async writeReports(reports: readonly UsageReport[]): Promise<DutyResult> {
    if (this.writeResult === 'done') this.written = reports;
    return this.writeResult;
  }

  async read(): Promise<undefined> {
    return undefined;
  }

  async claim(): Promise<undefined> {
    return undefined;
  }
}

function createUsageDuty(
  written: readonly UsageReport[],
  wallMs: number,
  history: Partial<UsageHistory> = {},
) {
  const platform = new DutyPlatform();
  const ledger = new UsageLedger(5);
  const options = {
    usageLedger: ledger,
    calls: platform,
    log: platform,
    events,
    reportDueMs: DUE_MS,
  };
  const fullHistory = {written, own: [], reportedWindow: 0, hasLostRecords: false, ...history};
  return {platform, ledger, duty: new UsageDuty(options, fullHistory, wallMs)};
}

t.test('UsageDuty', t => {
  t.test('writes a window to the duty log before reporting it, and reports it once', async t => {
    const {platform, ledger, duty} = createUsageDuty([], 1_000_000);
    ledger.addRequest('w', 1_001_000);
    await duty.run(CLAIM, 1_008_400);
    t.notOk(platform.written.some(({window}) => window === 200));
    await duty.run(CLAIM, 1_008_500);
    t.same(platform.reported.at(-1), {window: 200, counts: new Map([['w', 1]])});
    const count = platform.reported.length;
    await duty.run(CLAIM, 1_009_000);
    t.equal(platform.reported.length, count);
  });

  t.test('reports nothing that could not be written to the duty log', async t => {
    const {platform, ledger, duty} = createUsageDuty([], 1_000_000);
    ledger.addRequest('w', 1_001_000);
    platform.writeResult = 'unavailable';
    await duty.run(CLAIM, 1_009_000);
    t.same(platform.reported, []);
    platform.writeResult = 'done';
    await duty.run(CLAIM, 1_010_000);
    t.ok(platform.reported.some(({window}) => window === 200));
  });

  t.test('repeats exactly the reports that an earlier holder wrote', async t => {
    const written = {window: 199, counts: new Map([['w', 17]])};
    const {platform, ledger, duty} = createUsageDuty([written], 1_001_000);
    ledger.addRequest('w', 999_000);
    await duty.run(CLAIM, 1_001_000);
    t.same(platform.reported, [written]);
  });

  t.test(
    'a window whose report a restored store has lost is not reported with other counts',
    async t => {
      const own = [{window: 199, counts: new Map([['w', 17]])}];
      const kept = createUsageDuty([], 1_001_000, {own, reportedWindow: 199, hasLostRecords: true});
      kept.ledger.addRequest('w', 999_000);
      await kept.duty.run(CLAIM, 1_001_000);
      t.same(kept.platform.written, own, 'the holder writes its reports again');
      t.same(kept.platform.reported, own);
      const told = createUsageDuty([], 1_001_000, {reportedWindow: 199, hasLostRecords: true});
      told.ledger.addRequest('w', 999_000);
      await told.duty.run(CLAIM, 1_008_500);
      t.same(
        told.platform.reported.map(({window}) => window),
        [200],
        'a successor leaves it out',
      );
      const unknown = createUsageDuty([], 1_001_000, {hasLostRecords: true});
      unknown.ledger.addRequest('w', 999_000);
      await unknown.duty.run(CLAIM, 1_008_500);
      t.same(
        unknown.platform.reported.map(({window}) => window),
        [200],
        'so does one that knows nothing',
      );
    },
  );

  t.test('stops when a newer holder has written', async t => {
    const {platform, duty} = createUsageDuty([], 1_000_000);
    platform.writeResult = 'superseded';
    t.equal(await duty.run(CLAIM, 1_008_000), 'superseded');
    t.same(platform.reported, []);
  });

  t.test('drops a window whose report is overdue', async t => {
    const {platform, duty} = createUsageDuty([], 1_000_000);
    platform.reportResult = 'unavailable';
    await duty.run(CLAIM, 1_008_000);
    platform.reportResult = 'done';
    await duty.run(CLAIM, 1_060_000);
    t.notOk(platform.reported.some(({window}) => window === 200));
  });
  t.end();
});

function createFleet() {
  const catalog = new Catalog();
  const bounds = {
    minPerDomain: 1,
    maxPerDomain: 6,
    bootMs: 4_000,
    reclaimablePriceShare: 0.15,
    domainPrices: new Map([
      ['a', 1],
      ['b', 0.8],
    ]),
  };
  const service = {
    name: 'app',
    maxConnections: 10,
    coldStartMs: 0,
    coldRequestsPerSecond: 0,
    engine: undefined,
    replicaBounds: bounds,
  };
  catalog.applyConfiguration({
    version: 1,
    routes: [],
    services: new Map([['app', service]]),
    workspaces: [],
    limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  });
  const platform = new DutyPlatform();
  let load: ServiceLoad = {openRequests: 0, promptTokensPerSecond: 0, pendingPromptTokens: 0};
  let isMoving = false;
  const duty = new FleetDuty({
    catalog,
    calls: platform,
    events,
    failureDomains: ['a', 'b'],
    getLoad: () => load,
    isMoving: () => isMoving,
  });
  const setMoving = (moving: boolean) => {
    isMoving = moving;
  };
  const setLoad = (openRequests: number, promptTokensPerSecond: number) => {
    load = {openRequests, promptTokensPerSecond, pendingPromptTokens: 0};
  };
  const add = (id: string, fields: Partial<ServerEntry>) =>
    catalog.servers.applyEntry({...createServer(id).entry, ...fields}, 0);
  return {platform, duty, add, setLoad, setMoving};
}

/** Returns the sum of the latest orders of all failure domains and types. */
function getOrderedServers({orders}: DutyPlatform): number {
  const latest = new Map(
    orders.map(order => [`${order.failureDomain} ${order.isReclaimable}`, order.count]),
  );
  return [...latest.values()].reduce((sum, count) => sum + count, 0);
}

/** Runs the duty for as long as the servers provided at first may still be registering. */
async function settle(duty: FleetDuty): Promise<void> {
  await duty.run(CLAIM, 0);
  await duty.run(CLAIM, 4_000);
}

t.test('FleetDuty', t => {
  t.test('orders nothing while servers of two versions are there, and some time after', async t => {
    const {platform, duty, add, setLoad, setMoving} = createFleet();
    for (const id of ['o1', 'o2', 'o3']) add(id, {failureDomain: 'a'});
    await settle(duty);
    const count = platform.orders.length;
    setMoving(true);
    setLoad(60, 0);
    for (let nowMs = 5_000; nowMs <= 30_000; nowMs += 400) await duty.run(CLAIM, nowMs);
    setMoving(false);
    await duty.run(CLAIM, 33_000);
    t.equal(platform.orders.length, count, 'neither surplus nor missing servers');
    for (let nowMs = 36_000; nowMs <= 40_000; nowMs += 400) await duty.run(CLAIM, nowMs);
    t.ok(platform.orders.length > count);
  });

  t.test('orders reclaimable servers and keeps on-demand ones until those serve', async t => {
    const {platform, duty, add} = createFleet();
    for (const id of ['o1', 'o2', 'o3']) add(id, {failureDomain: 'a'});
    await settle(duty);
    t.same(
      platform.orders.filter(({isReclaimable}) => isReclaimable).map(({count}) => count),
      [2, 2],
    );
    t.notOk(
      platform.orders.some(({isReclaimable, failureDomain, count}) => {
        return !isReclaimable && failureDomain === 'a' && count === 0;
      }),
    );
  });

  t.test('returns no server while those provided at first are still registering', async t => {
    const {platform, duty, add} = createFleet();
    for (let index = 0; index < 6; index += 1) {
      add(`s${index}`, {failureDomain: 'a'});
      await duty.run(CLAIM, index * 1_000);
    }
    t.ok(platform.orders.every(({isReclaimable}) => isReclaimable));
    await duty.run(CLAIM, 9_000);
    t.ok(getOrderedServers(platform) >= 6);
  });

  t.test('a fleet that carries its load is not returned for a few servers per domain', async t => {
    const {platform, duty, add, setLoad} = createFleet();
    for (let index = 0; index < 20; index += 1) {
      add(`s${index}`, {failureDomain: index % 2 === 0 ? 'a' : 'b', slots: 8});
    }
    await settle(duty);
    t.same(getOrderedServers(platform), 12, 'before any load: all that the limits allow');
    for (let nowMs = 5_000; nowMs <= 120_000; nowMs += 1_000) {
      setLoad(50, 0);
      await duty.run(CLAIM, nowMs);
      t.ok(getOrderedServers(platform) * 8 >= 50 / 0.6, `${nowMs} ms`);
    }
  });

  t.test('returns servers once the load has been low for some time', async t => {
    const {platform, duty, add, setLoad} = createFleet();
    for (let index = 0; index < 12; index += 1) {
      const failureDomain = index % 2 === 0 ? 'a' : 'b';
      add(`s${index}`, {failureDomain, isReclaimable: true});
    }
    setLoad(8, 0);
    for (let nowMs = 0; nowMs < 30_000; nowMs += 400) await duty.run(CLAIM, nowMs);
    t.same(platform.orders, [], 'not before the load has been observed');
    for (let nowMs = 30_000; nowMs <= 90_000; nowMs += 400) await duty.run(CLAIM, nowMs);
    t.equal(getOrderedServers(platform), 4);
  });

  t.test('does not repeat an order before its delay has passed', async t => {
    const {platform, duty} = createFleet();
    await settle(duty);
    const count = platform.orders.length;
    await duty.run(CLAIM, 4_400);
    t.equal(platform.orders.length, count);
    await duty.run(CLAIM, 10_000);
    t.ok(platform.orders.length > count, 'an order without effect is repeated');
  });

  t.test('repeats a rejected order after a short delay', async t => {
    const {platform, duty} = createFleet();
    platform.orderResult = 'rejected';
    await settle(duty);
    const count = platform.orders.length;
    await duty.run(CLAIM, 5_000);
    t.ok(platform.orders.length > count);
  });
  t.end();
});
