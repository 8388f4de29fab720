/**
 * Simulates reclaims of several failure domains in close succession, in virtual time, and compares two policies by the
 * time for which fewer servers run than the load needs. Ordering on demand only what is missing at the moment leaves
 * callers without servers whenever the next failure domain is reclaimed before the new ones have booted.
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
  /** Time from which it accepts requests. */
  readonly servesAtMs: number;
  /** Time from which it accepts no more requests; infinite while no stop is known. */
  leavesAtMs: number;
}

interface Reclaim {
  readonly failureDomain: string;
  readonly noticeAtMs: number;
  /** Time until which the failure domain offers no reclaimable servers. */
  readonly unavailableUntilMs: number;
}

interface DayResult {
  /** Number of missing servers, integrated over time. */
  readonly missingServerMs: number;
  /** Number of running servers weighted by price, integrated over time. */
  readonly paidServerMs: number;
}

const DOMAINS = ['a', 'b', 'c', 'd'];
const DAY_MS = 60_000;
const STEP_MS = 100;
const DECISION_INTERVAL_MS = 400;
/** Age of the server state that the decision sees. */
const VIEW_AGE_MS = 900;
const BOOT_MS = 4_000;
const COLD_MS = 3_000;
/** Time for which a refusal counts, as at the gateways. */
const REFUSAL_MEMORY_MS = BOOT_MS + 4_000;
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

/** Draws two to four reclaims, four to eight seconds apart. */
function drawReclaims(random: () => number): readonly Reclaim[] {
  let atMs = 5_000 + random() * 15_000;
  return Array.from({length: 2 + Math.floor(random() * 3)}, (_, index) => {
    atMs += 4_000 + random() * 4_000;
    return {
      failureDomain: DOMAINS[index],
      noticeAtMs: atMs,
      unavailableUntilMs: atMs + 13_000 + random() * 2_000,
    };
  });
}

/** Simulates one day of a fleet under one policy. */
class FleetDay {
  private readonly servers: Server[] = [];
  private readonly reclaims: readonly Reclaim[];
  private readonly decide: Decide;
  private readonly bounds: ReplicaBounds;

  constructor(reclaims: readonly Reclaim[], decide: Decide, bounds = BOUNDS) {
    this.bounds = bounds;
    this.reclaims = reclaims;
    this.decide = decide;
    for (const failureDomain of DOMAINS) {
      for (let count = 0; count < 2; count += 1) this.start(failureDomain, true, -DAY_MS);
    }
  }

  run(loadServers: number): DayResult {
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
      refusesReclaimable: this.wasUnavailable(failureDomain, nowMs - REFUSAL_MEMORY_MS, nowMs),
    }));
    const view = {
      bounds: this.bounds,
      domains,
      neededServers: NEEDED_SERVERS,
      leastServers: NEEDED_SERVERS,
      loadServers: NEEDED_SERVERS,
    };
    for (const {failureDomain, onDemand, reclaimable} of this.decide(view)) {
      this.adjust(failureDomain, false, onDemand, nowMs);
      if (!this.isUnavailable(failureDomain, nowMs)) {
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

  private isUnavailable(failureDomain: string, nowMs: number): boolean {
    return this.reclaims.some(
      reclaim =>
        reclaim.failureDomain === failureDomain &&
        nowMs >= reclaim.noticeAtMs &&
        nowMs < reclaim.unavailableUntilMs,
    );
  }

  private wasUnavailable(failureDomain: string, fromMs: number, untilMs: number): boolean {
    return this.reclaims.some(
      reclaim =>
        reclaim.failureDomain === failureDomain &&
        reclaim.noticeAtMs <= untilMs &&
        reclaim.unavailableUntilMs > fromMs,
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

/** The policy without a reserve: orders on demand only what is missing at the moment. */
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

function simulateDays(days: number, loadServers: number, decide: Decide): DayResult {
  const results = Array.from({length: days}, (_, seed) => {
    const reclaims = drawReclaims(createSeededRandom(seed + 1));
    return new FleetDay(reclaims, decide).run(loadServers);
  });
  return {
    missingServerMs: results.reduce((sum, {missingServerMs}) => sum + missingServerMs, 0) / days,
    paidServerMs: results.reduce((sum, {paidServerMs}) => sum + paidServerMs, 0) / days,
  };
}

t.test('failure domains reclaimed in close succession', t => {
  const DAYS = 200;
  for (const loadServers of [3, 4, 5]) {
    t.test(`the reserve halves the shortage at a load of ${loadServers} servers`, t => {
      const before = simulateDays(DAYS, loadServers, decideWithoutReserve);
      const now = simulateDays(DAYS, loadServers, decideFleetSize);
      t.comment({before, now});
      t.ok(now.missingServerMs < before.missingServerMs / 2, 'less than half of the shortage');
      t.end();
    });
  }
  t.test('a failure domain full of reclaimable servers gets on-demand ones after a reclaim', t => {
    const bounds = {...BOUNDS, maxPerDomain: 2};
    const reclaims = DOMAINS.map((failureDomain, index) => ({
      failureDomain,
      noticeAtMs: 8_000 + index * 6_000,
      unavailableUntilMs: 40_000,
    }));
    const day = new FleetDay(reclaims, decideFleetSize, bounds).run(4);
    const lastReclaimAtMs = 26_000;
    const bootedAtMs = lastReclaimAtMs + VIEW_AGE_MS + DECISION_INTERVAL_MS + BOOT_MS + COLD_MS;
    const gapMs = bootedAtMs - (lastReclaimAtMs + NOTICE_MS);
    t.ok(day.missingServerMs < 2 * gapMs, 'no more than two servers lack while others boot');
    t.end();
  });
  t.test('a day without reclaims costs the same with and without the reserve', t => {
    const none = new FleetDay([], decideWithoutReserve).run(4);
    t.same(new FleetDay([], decideFleetSize).run(4), none);
    t.end();
  });
  t.end();
});
