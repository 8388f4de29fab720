/** What every gateway of a fleet learns from the others by gossip, with lost datagrams and stopped gateways. */
import t from 'tap';
import type {WorkspaceQuota} from '../../src/catalog/index.js';
import {createSeededRandom} from '../../src/utils/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';
import {GossipFleet, type GossipGateway} from '../support/GossipFleet.js';

const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  ratePerSecond: 150_000,
  burst: 150_000,
  defaultTokens: 200,
};
const WINDOW_MS = 8_000;
/** The platform's limit in any window: a tenth above the quota, and a fixed slack. */
const MOST_IN_WINDOW = (QUOTA.ratePerSecond * 8 + QUOTA.burst) * 1.1 + 140_000;
const MEAN_COST = 6_000;
const STEPS_PER_SECOND = 100;
const SETTLING_MS = 8_000;
const LOSS_SHARE = 0.02;
/** Bound of the large deployments for callers to be sent elsewhere than to a stopped gateway. */
const STOPPED_BOUND_MS = 7_000;
/** Bound of the small deployments for a leaving server, less the interval at which registrations are read. */
const DEPARTURE_BOUND_MS = 1_300;

/**
 * Bound for requests at a gateway that is cut off, which it passes on to others, less the time in which it finds out: by
 * then it must not choose others that are cut off too.
 */
const CUT_OFF_BOUND_MS = 2_300;
/** Two choices are made for each request, and fewer than 1 in 50 requests may fail. */
const MAX_OUTDATED_SHARE = 0.14;

function createFleet(gatewayCount: number, seed = 1): GossipFleet {
  const options = {gatewayCount, failureDomains: 5, serverCount: 10, seed, lossShare: LOSS_SHARE};
  const fleet = new GossipFleet(options);
  fleet.run(SETTLING_MS);
  return fleet;
}

function getRunning(fleet: GossipFleet): readonly GossipGateway[] {
  return fleet.gateways.filter(({isRunning}) => isRunning);
}

function getLiveCounts(fleet: GossipFleet): readonly number[] {
  const counts = getRunning(fleet).map(({members}) => members.getLiveMembers(fleet.nowMs).length);
  return [...new Set(counts)];
}

function getLoads(fleet: GossipFleet, serverId: string): readonly number[] {
  const loads = getRunning(fleet).map(
    ({loads}) => loads.getLoad(serverId, fleet.nowMs).openRequests,
  );
  return [...new Set(loads)];
}

/** Returns the share of the gateways' views of others that are cut off in which these reach the servers. */
function getOutdatedShare(fleet: GossipFleet, cutOffIds: ReadonlySet<string>): number {
  const views = fleet.gateways.flatMap(({members}) =>
    members.getLiveMembers(fleet.nowMs).filter(({id}) => cutOffIds.has(id)),
  );
  return views.filter(({isCutOff}) => !isCutOff).length / views.length;
}

function testCutOff(gatewayCount: number): void {
  t.test(`${gatewayCount} gateways: those that are cut off are known to all in time`, t => {
    const fleet = createFleet(gatewayCount);
    const setCutOff = (gateways: readonly GossipGateway[], isCutOff: boolean) => {
      for (const gateway of gateways) {
        gateway.member = {...gateway.member, isCutOff};
        gateway.gossip.broadcast();
      }
      fleet.run(CUT_OFF_BOUND_MS);
    };
    for (const isCut of [
      (index: number) => index % 5 < 3,
      (index: number) => index % 5 === 0,
      () => true,
    ]) {
      const cut = fleet.gateways.filter((_, index) => isCut(index));
      setCutOff(cut, true);
      const share = getOutdatedShare(fleet, new Set(cut.map(({member}) => member.id)));
      t.ok(share < MAX_OUTDATED_SHARE, `${share} of the views are outdated`);
      setCutOff(cut, false);
      const stillCutOff = fleet.gateways.flatMap(({members}) =>
        members.getLiveMembers(fleet.nowMs).filter(({isCutOff}) => isCutOff),
      );
      t.equal(stillCutOff.length, 0, 'and that they are back');
    }
    t.end();
  });
}

for (const gatewayCount of [7, 70, 300]) testCutOff(gatewayCount);

t.test('gossip', t => {
  const doTest = (gatewayCount: number) => {
    t.test(`${gatewayCount} gateways`, t => {
      t.test('all gateways are live for each other', t => {
        t.same(getLiveCounts(createFleet(gatewayCount)), [gatewayCount - 1]);
        t.end();
      });

      t.test('every gateway knows the load that all put on a server', t => {
        const fleet = createFleet(gatewayCount);
        fleet.gateways.forEach(({loads}, index) => {
          for (let request = 0; request <= index % 3; request += 1) loads.addRequest('s1', 100);
        });
        const total = fleet.gateways.reduce((sum, _, index) => sum + 1 + (index % 3), 0);
        fleet.run(3_000);
        t.same(getLoads(fleet, 's1'), [total]);
        t.end();
      });

      t.test('a stopped gateway is no longer live, and its load is no longer counted', t => {
        const fleet = createFleet(gatewayCount);
        for (const {loads} of fleet.gateways) loads.addRequest('s1', 100);
        fleet.run(3_000);
        const stopped = fleet.gateways.filter((_, index) => index % 5 === 0 && index < 20);
        for (const gateway of stopped) gateway.isRunning = false;
        fleet.run(STOPPED_BOUND_MS);
        t.same(getLiveCounts(fleet), [gatewayCount - stopped.length - 1]);
        t.same(getLoads(fleet, 's1'), [gatewayCount - stopped.length]);
        t.end();
      });

      t.test('a restarted gateway replaces its earlier start', t => {
        const fleet = createFleet(gatewayCount);
        fleet.gateways[3].isRunning = false;
        fleet.run(1_500);
        fleet.addGateway(3, 2);
        fleet.run(SETTLING_MS);
        t.same(getLiveCounts(fleet), [gatewayCount - 1]);
        t.end();
      });

      t.test('a departure that one gateway reads is known to all in time', t => {
        for (let seed = 1; seed <= 5; seed += 1) {
          const fleet = createFleet(gatewayCount, seed);
          const reader = fleet.gateways[(seed * 7) % gatewayCount];
          const entry = {...createServer('i-server3').entry, isDraining: true};
          reader.catalog.servers.applyEntry(entry, fleet.nowMs);
          reader.logReadCoordinator.recordRead('registrations', {era: 0, offset: 10}, fleet.nowMs);
          fleet.run(DEPARTURE_BOUND_MS);
          const late = fleet.gateways.filter(({catalog}) =>
            catalog.servers.getAvailableServers('app', new Set()).some(({entry: {id}}) => {
              return id === 'i-server3';
            }),
          );
          t.equal(late.length, 0, `seed ${seed}`);
        }
        t.end();
      });

      t.test('the counts of a usage window are complete when it is reported', t => {
        const fleet = createFleet(gatewayCount);
        const random = createSeededRandom(3);
        const window = fleet.gateways[0].usageLedger.getWindow(fleet.wallMs) + 1;
        const endMs = fleet.gateways[0].usageLedger.getWindowEndMs(window);
        let expected = 0;
        fleet.run(endMs - fleet.wallMs, () => {
          for (const {usageLedger} of fleet.gateways) {
            if (random() >= 0.02) continue;
            usageLedger.addRequest('w', fleet.wallMs);
            if (usageLedger.getWindow(fleet.wallMs) === window) expected += 1;
          }
        });
        fleet.run(3_500);
        const totals = fleet.gateways.map(({usageLedger}) => usageLedger.getTotal(window).get('w'));
        t.same([...new Set(totals)], [expected]);
        t.end();
      });

      t.test('a workspace that asks for several times its quota is kept within it', t => {
        const fleet = createFleet(gatewayCount);
        const most = playQuota(fleet, 4);
        t.ok(most <= MOST_IN_WINDOW, `${Math.round(most)} of ${MOST_IN_WINDOW}`);
        t.end();
      });
      t.end();
    });
  };
  doTest(9);
  doTest(30);
  doTest(91);
  t.end();
});

/** Lets all gateways ask for a multiple of the quota; returns the largest amount that a window admits. */
function playQuota(fleet: GossipFleet, demand: number): number {
  const random = createSeededRandom(4);
  const admissions: {readonly atMs: number; readonly cost: number}[] = [];
  const perStep =
    (demand * QUOTA.ratePerSecond) / MEAN_COST / STEPS_PER_SECOND / fleet.gateways.length;
  fleet.run(20_000, () => {
    for (const {quotaLedger, members} of fleet.gateways) {
      if (random() >= perStep) continue;
      const cost = Math.round(MEAN_COST * 2 * random());
      const reach = {
        reportingGateways: members.getLiveMembers(fleet.nowMs).length + 1,
        knownGateways: members.getKnownCount(fleet.nowMs) + 1,
      };
      const decision = quotaLedger.admit('w', QUOTA, cost, reach, fleet.nowMs);
      if (decision.kind === 'admitted') admissions.push({atMs: fleet.nowMs, cost});
    }
  });
  const sums = admissions.map(({atMs: endMs}) =>
    admissions
      .filter(({atMs}) => atMs > endMs - WINDOW_MS && atMs <= endMs)
      .reduce((sum, {cost}) => sum + cost, 0),
  );
  return Math.max(...sums);
}
