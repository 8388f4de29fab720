/**
 * Plays days on which failure domains are reclaimed one after the other, in virtual time, and compares what callers get:
 * the time for which the servers that run are fewer than the load needs.
 */
import t from 'tap';
import type {ReplicaBounds} from '../../../src/catalog/index.js';
import {
  decideFleetSize,
  type DomainOrder,
  type FleetView,
} from '../../../src/controllers/fleetSize/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';

type Decide = (view: FleetView) => readonly DomainOrder[];

interface Server {
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  /** Instant from which it takes requests. */
  readonly servesAtMs: number;
  /** Instant from which it takes none. */
  leavesAtMs: number;
}

interface Reclaim {
  readonly failureDomain: string;
  readonly noticeAtMs: number;
  /** No reclaimable servers are to be had there until then. */
  readonly dryUntilMs: number;
}

interface DayResult {
  /** Missing servers, summed over time. */
  readonly missingServerMs: number;
  /** Servers that ran, reclaimable ones at their price. */
  readonly paidServerMs: number;
}

const DOMAINS = ['a', 'b', 'c', 'd'];
const DAY_MS = 60_000;
const STEP_MS = 100;
const DECISION_INTERVAL_MS = 400;
/** Age of what the decision knows of the servers. */
const VIEW_AGE_MS = 900;
const BOOT_MS = 4_000;
const COLD_MS = 3_000;
/** Time between the notice of a reclaim and its end. */
const NOTICE_MS = 2_500;
const RECLAIMABLE_PRICE = 0.18;
const NEEDED_SERVERS = 5;
const BOUNDS: ReplicaBounds = {
  minPerDomain: 0,
  maxPerDomain: 6,
  bootMs: BOOT_MS,
  reclaimablePriceShare: RECLAIMABLE_PRICE,
  domainPrices: new Map(DOMAINS.map((domain, index) => [domain, 1 + index / 10])),
};

/** Two to four reclaims, four to eight seconds apart. */
function drawReclaims(random: () => number): readonly Reclaim[] {
  let atMs = 5_000 + random() * 15_000;
  return Array.from({length: 2 + Math.floor(random() * 3)}, (_, index) => {
    atMs += 4_000 + random() * 4_000;
    return {
      failureDomain: DOMAINS[index],
      noticeAtMs: atMs,
      dryUntilMs: atMs + 13_000 + random() * 2_000,
    };
  });
}

/** A day of one fleet under one decision. */
class FleetDay {
  private readonly servers: Server[] = [];
  private readonly reclaims: readonly Reclaim[];
  private readonly decide: Decide;

  constructor(reclaims: readonly Reclaim[], decide: Decide) {
    this.reclaims = reclaims;
    this.decide = decide;
    for (const failureDomain of DOMAINS) {
      for (let count = 0; count < 2; count += 1) this.start(failureDomain, true, -DAY_MS);
    }
  }

  play(loadServers: number): DayResult {
    let missingServerMs = 0;
    let paidServerMs = 0;
    for (let nowMs = 0; nowMs < DAY_MS; nowMs += STEP_MS) {
      this.applyReclaims(nowMs);
      if (nowMs % DECISION_INTERVAL_MS === 0) this.order(nowMs);
      missingServerMs += Math.max(0, loadServers - this.countServing(nowMs)) * STEP_MS;
      paidServerMs += this.getPrice(nowMs) * STEP_MS;
    }
    return {missingServerMs, paidServerMs};
  }

  private applyReclaims(nowMs: number): void {
    for (const {failureDomain, noticeAtMs} of this.reclaims) {
      if (noticeAtMs > nowMs || noticeAtMs <= nowMs - STEP_MS) continue;
      for (const server of this.servers) {
        if (server.failureDomain !== failureDomain || !server.isReclaimable) continue;
        server.leavesAtMs = Math.min(server.leavesAtMs, nowMs + NOTICE_MS);
      }
    }
  }

  private order(nowMs: number): void {
    const domains = DOMAINS.map(failureDomain => ({
      failureDomain,
      onDemand: this.count(failureDomain, false, nowMs - VIEW_AGE_MS),
      reclaimable: this.count(failureDomain, true, nowMs - VIEW_AGE_MS),
    }));
    const view = {bounds: BOUNDS, domains, neededServers: NEEDED_SERVERS};
    for (const {failureDomain, onDemand, reclaimable} of this.decide(view)) {
      this.adjust(failureDomain, false, onDemand, nowMs);
      if (!this.isDry(failureDomain, nowMs)) {
        this.adjust(failureDomain, true, reclaimable, nowMs);
      }
    }
  }

  private adjust(failureDomain: string, isReclaimable: boolean, wanted: number, nowMs: number) {
    const present = this.servers.filter(
      server =>
        server.failureDomain === failureDomain &&
        server.isReclaimable === isReclaimable &&
        server.leavesAtMs === Infinity,
    );
    for (let count = present.length; count < wanted; count += 1) {
      this.start(failureDomain, isReclaimable, nowMs + BOOT_MS + COLD_MS);
    }
    for (const server of present.slice(wanted)) server.leavesAtMs = nowMs;
  }

  private start(failureDomain: string, isReclaimable: boolean, servesAtMs: number): void {
    this.servers.push({failureDomain, isReclaimable, servesAtMs, leavesAtMs: Infinity});
  }

  private isDry(failureDomain: string, nowMs: number): boolean {
    return this.reclaims.some(
      reclaim =>
        reclaim.failureDomain === failureDomain &&
        nowMs >= reclaim.noticeAtMs &&
        nowMs < reclaim.dryUntilMs,
    );
  }

  private count(failureDomain: string, isReclaimable: boolean, atMs: number): number {
    return this.servers.filter(
      server =>
        server.failureDomain === failureDomain &&
        server.isReclaimable === isReclaimable &&
        server.servesAtMs - COLD_MS <= atMs &&
        server.leavesAtMs - NOTICE_MS > atMs,
    ).length;
  }

  private countServing(nowMs: number): number {
    return this.servers.filter(
      ({servesAtMs, leavesAtMs}) => servesAtMs <= nowMs && nowMs < leavesAtMs,
    ).length;
  }

  private getPrice(nowMs: number): number {
    return this.servers
      .filter(({leavesAtMs}) => nowMs < leavesAtMs)
      .reduce((sum, {isReclaimable}) => sum + (isReclaimable ? RECLAIMABLE_PRICE : 1), 0);
  }
}

/** The decision before there was a reserve: on demand is ordered only what is missing now. */
function decideWithoutReserve(view: FleetView): readonly DomainOrder[] {
  const {domains, neededServers, bounds} = view;
  let missing = neededServers - domains.reduce((sum, {reclaimable}) => sum + reclaimable, 0);
  return [...domains]
    .sort((a, b) => getPrice(bounds, a.failureDomain) - getPrice(bounds, b.failureDomain))
    .map(({failureDomain}) => {
      const onDemand = missing > 0 ? 1 : 0;
      missing -= onDemand;
      return {failureDomain, onDemand, reclaimable: 2};
    });
}

function getPrice({domainPrices}: ReplicaBounds, failureDomain: string): number {
  return domainPrices.get(failureDomain) ?? 1;
}

function playDays(days: number, loadServers: number, decide: Decide): DayResult {
  const results = Array.from({length: days}, (_, seed) => {
    const reclaims = drawReclaims(createSeededRandom(seed + 1));
    return new FleetDay(reclaims, decide).play(loadServers);
  });
  return {
    missingServerMs: results.reduce((sum, {missingServerMs}) => sum + missingServerMs, 0) / days,
    paidServerMs: results.reduce((sum, {paidServerMs}) => sum + paidServerMs, 0) / days,
  };
}

t.test('failure domains reclaimed one after the other', t => {
  const DAYS = 200;
  for (const loadServers of [3, 4, 5]) {
    t.test(`callers miss less than before at a load of ${loadServers} servers`, t => {
      const before = playDays(DAYS, loadServers, decideWithoutReserve);
      const now = playDays(DAYS, loadServers, decideFleetSize);
      t.comment({before, now});
      t.ok(now.missingServerMs < before.missingServerMs / 2, 'less than half of it');
      t.end();
    });
  }
  t.test('a day without reclaims costs what it cost before', t => {
    const none = new FleetDay([], decideWithoutReserve).play(4);
    t.same(new FleetDay([], decideFleetSize).play(4), none);
    t.end();
  });
  t.end();
});
