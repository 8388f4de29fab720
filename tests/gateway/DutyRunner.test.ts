/** When a gateway takes over the duties, and when it first acts on them. */
import t from 'tap';
import {Catalog} from '../../src/catalog/index.js';
import {UsageLedger} from '../../src/controllers/duties/index.js';
import {DutyRunner} from '../../src/gateway/DutyRunner.js';
import type {
  ClaimResult,
  DutyCalls,
  DutyHistory,
  DutyLog,
  DutyResult,
  UsageReport,
} from '../../src/gateway/index.js';
import {MemberTable, type DutyClaim} from '../../src/gossip/index.js';
import {silentEvents as events} from '../../src/logging/index.js';
import {createSettings} from './gatewayFixtures.js';

/** In-memory duty log and platform calls: stores claims and accepts all reports. */
class DutyStandIn implements DutyLog, DutyCalls {
  claims: DutyClaim[];
  readonly reportedBy: number[] = [];
  reads = 0;
  writeResult: DutyResult = 'done';

  constructor(claims: readonly DutyClaim[]) {
    this.claims = [...claims];
  }

  async read(): Promise<DutyHistory> {
    this.reads += 1;
    return {claim: this.getNewest(), reports: []};
  }

  async claim(holderId: string): Promise<ClaimResult> {
    const previous = this.getNewest();
    const claim = {token: previous.token + 1, holderId};
    this.claims.push(claim);
    return {claim, previous, hasLostRecords: false};
  }

  async writeReports(): Promise<DutyResult> {
    return this.writeResult;
  }

  async reportUsage(report: UsageReport, claim: DutyClaim): Promise<DutyResult> {
    this.reportedBy.push(claim.token);
    return 'done';
  }

  async orderServers(): Promise<DutyResult> {
    return 'done';
  }

  private getNewest(): DutyClaim {
    return this.claims.at(-1) ?? {token: 0, holderId: ''};
  }
}

function createRunner(standIn: DutyStandIn, isFirstStart = false) {
  const clock = {nowMs: 0};
  const settings = createSettings({id: 'g1', isFirstStart});
  const runner = new DutyRunner({
    settings,
    catalog: new Catalog(),
    members: new MemberTable('g1', {unresponsiveAfterMs: 900, removedAfterMs: 8_000}),
    usageLedger: new UsageLedger(settings.usageWindowSeconds),
    calls: standIn,
    log: standIn,
    events,
    isReady: () => true,
    getNowMs: () => clock.nowMs,
    getServiceLoad: () => ({openRequests: 0, promptTokensPerSecond: 0, pendingPromptTokens: 0}),
    isMoving: () => false,
    getWallMs: () => 1_000_000 + clock.nowMs,
  });
  const tickAt = async (nowMs: number) => {
    clock.nowMs = nowMs;
    await runner.tick(0);
  };
  return {runner, tickAt};
}

t.test('DutyRunner', t => {
  t.test('a restarted duty holder claims the duties and acts at once', async t => {
    const standIn = new DutyStandIn([{token: 4, holderId: 'g1'}]);
    const {tickAt} = createRunner(standIn);
    await tickAt(10);
    t.same(standIn.claims.at(-1), {token: 5, holderId: 'g1'});
    await tickAt(20);
    t.same([...new Set(standIn.reportedBy)], [5]);
  });

  t.test(
    'another gateway waits until the holder times out, and after its claim until the lease has passed',
    async t => {
      const standIn = new DutyStandIn([{token: 4, holderId: 'g0'}]);
      const {tickAt} = createRunner(standIn);
      await tickAt(1_400);
      t.equal(standIn.claims.length, 1);
      await tickAt(1_500);
      t.same(standIn.claims.at(-1), {token: 5, holderId: 'g1'});
      await tickAt(4_499);
      t.same(standIn.reportedBy, []);
      await tickAt(4_500);
      t.ok(standIn.reportedBy.length > 0);
    },
  );

  t.test(
    'a holder with an in-doubt write continues under a new claim without waiting for the lease',
    async t => {
      const standIn = new DutyStandIn([{token: 4, holderId: 'g1'}]);
      const {tickAt} = createRunner(standIn);
      await tickAt(10);
      standIn.writeResult = 'superseded';
      await tickAt(20);
      t.same(standIn.reportedBy, []);
      standIn.writeResult = 'done';
      await tickAt(520);
      await tickAt(530);
      t.same(standIn.claims.at(-1), {token: 6, holderId: 'g1'});
      t.same([...new Set(standIn.reportedBy)], [6]);
    },
  );

  t.test(
    'the duty log is read once, and not at all at the first start of the deployment',
    async t => {
      const standIn = new DutyStandIn([{token: 4, holderId: 'g0'}]);
      const {tickAt} = createRunner(standIn);
      await tickAt(10);
      await tickAt(20);
      t.equal(standIn.reads, 1);
      const first = new DutyStandIn([]);
      await createRunner(first, true).tickAt(10);
      t.equal(first.reads, 0);
    },
  );
  t.end();
});
