/** Unit tests of the estimates of servers' speeds: reports, their ageing, and responses that contradict them. */
import t from 'tap';
import type {ServerEntry} from '../../../src/catalog/index.js';
import {ServerSpeeds} from '../../../src/controllers/placement/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';
import {createServer} from '../../exchange/exchangeFixtures.js';

const SERVICE = 'llm';
const SEED = 7;
const SERVERS: readonly ServerEntry[] = ['s1', 's2', 's3', 's4', 's5'].map(createEntry);
const [FIRST] = SERVERS;

function createEntry(id: string): ServerEntry {
  return createServer(id, SERVICE).entry;
}

function createSpeeds(): ServerSpeeds {
  return new ServerSpeeds(() => true);
}

function getFactor(speeds: ServerSpeeds, server: ServerEntry, nowMs: number): number {
  return speeds.getView(SERVICE, nowMs)?.getFactor(server) ?? NaN;
}

function isNear(value: number, wanted: number, tolerance = 0.1): boolean {
  return Math.abs(value / wanted - 1) < tolerance;
}

/** Lets responses of a server take a multiple of what is expected of it, once a second. */
function addResponses(
  speeds: ServerSpeeds,
  server: ServerEntry,
  {trueFactor, fromMs, count}: {trueFactor: number; fromMs: number; count: number},
): void {
  for (let index = 0; index < count; index += 1) {
    const nowMs = fromMs + index * 1_000;
    const view = speeds.getView(SERVICE, nowMs);
    if (!view) return;
    const workFactor = view.getFactor(server);
    const expectedMs = (20_000 * workFactor) / view.promptTokensPerMs;
    const tookMs = (20_000 * trueFactor) / 66;
    const time = {promptTokens: 20_000, expectedMs, workFactor, tookMs};
    speeds.addFirstEvent(server, time, nowMs);
  }
}

t.test('ServerSpeeds', t => {
  t.test('is active only for services whose servers report a factor', t => {
    // Elsewhere placements must not change.
    const speeds = createSpeeds();
    t.notOk(speeds.isActive(SERVICE, 0));
    t.equal(speeds.getView(SERVICE, 0), undefined);
    const time = {promptTokens: 0, expectedMs: 9, workFactor: 1, tookMs: 9};
    speeds.addFirstEvent(FIRST, time, 0);
    speeds.addDuration(FIRST, 9, 0);
    t.notOk(speeds.isActive(SERVICE, 0), 'responses alone do not activate it');
    speeds.addReport(FIRST, 1, 1_000);
    t.ok(speeds.isActive(SERVICE, 1_000));
    t.notOk(speeds.isActive('app', 1_000));
    t.notOk(speeds.isActive(SERVICE, 10_000_000), 'not long after the last report');
    t.end();
  });

  t.test('believes a report at once, and the lasting factor again a second later', t => {
    // A machine must get less load while a neighbour slows it down, and not much longer.
    const speeds = createSpeeds();
    for (let nowMs = 0; nowMs < 30_000; nowMs += 1_000) speeds.addReport(FIRST, 0.7, nowMs);
    speeds.addReport(FIRST, 4.25, 30_000);
    t.equal(getFactor(speeds, FIRST, 30_000), 4.25);
    const later = getFactor(speeds, FIRST, 31_000);
    t.ok(later < 1.2 && later > 0.69, `${later}`);
    t.end();
  });

  t.test('short peaks hardly change the lasting factor', t => {
    const speeds = createSpeeds();
    const random = createSeededRandom(SEED);
    let nowMs = 0;
    for (; nowMs < 120_000; nowMs += 1_000) {
      speeds.addReport(FIRST, random() < 0.05 ? 4.25 : 0.7, nowMs);
    }
    const factor = getFactor(speeds, FIRST, nowMs + 2_000);
    t.ok(factor > 0.65 && factor < 0.95, `${factor}`);
    t.end();
  });

  t.test('learns the speed of the service from servers of all speeds', t => {
    const speeds = createSpeeds();
    const factors = [0.7, 0.7, 1, 1.3, 1.75];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
      SERVERS.forEach((server, index) => {
        speeds.addReport(server, factors[index], nowMs);
        addResponses(speeds, server, {trueFactor: factors[index], fromMs: nowMs, count: 1});
      });
    }
    const view = speeds.getView(SERVICE, 60_000);
    t.ok(isNear(view?.promptTokensPerMs ?? NaN, 66, 0.03), `${view?.promptTokensPerMs}`);
    SERVERS.forEach((server, index) =>
      t.ok(isNear(getFactor(speeds, server, 60_000), factors[index])),
    );
    t.end();
  });

  t.test('judges a server by its responses if they contradict its reports persistently', t => {
    // A server that reports to be fast and is slow would otherwise get most of the requests.
    const speeds = createSpeeds();
    for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
      for (const server of SERVERS) speeds.addReport(server, 0.7, nowMs);
      for (const server of SERVERS.slice(1)) {
        addResponses(speeds, server, {trueFactor: 0.7, fromMs: nowMs, count: 1});
      }
    }
    addResponses(speeds, FIRST, {trueFactor: 2.8, fromMs: 20_000, count: 1});
    t.ok(isNear(getFactor(speeds, FIRST, 20_100), 0.7), 'one response is no proof');
    addResponses(speeds, FIRST, {trueFactor: 2.8, fromMs: 21_000, count: 20});
    speeds.addReport(FIRST, 0.7, 41_000);
    const corrected = getFactor(speeds, FIRST, 41_000);
    t.ok(corrected > 2 && corrected < 3.5, `${corrected}`);
    t.ok(isNear(getFactor(speeds, SERVERS[1], 20_000), 0.7), 'the others are still believed');
    for (let nowMs = 42_000; nowMs < 82_000; nowMs += 1_000) speeds.addReport(FIRST, 0.7, nowMs);
    addResponses(speeds, FIRST, {trueFactor: 0.7, fromMs: 82_000, count: 40});
    speeds.addReport(FIRST, 0.7, 122_000);
    t.ok(isNear(getFactor(speeds, FIRST, 122_000), 0.7, 0.2), 'it may recover');
    t.end();
  });

  t.test('a report that comes with a late response explains it', t => {
    // A peak that was reported must not count as a false report.
    const speeds = createSpeeds();
    for (const server of SERVERS) {
      speeds.addReport(server, 1, 0);
      addResponses(speeds, server, {trueFactor: 1, fromMs: 0, count: 20});
    }
    for (let nowMs = 20_000; nowMs < 60_000; nowMs += 4_000) {
      const view = speeds.getView(SERVICE, nowMs);
      const workFactor = view?.getFactor(FIRST) ?? NaN;
      const expectedMs = (20_000 * workFactor) / (view?.promptTokensPerMs ?? NaN);
      speeds.addReport(FIRST, 2.5, nowMs);
      const time = {promptTokens: 20_000, expectedMs, workFactor, tookMs: (20_000 * 2.5) / 66};
      speeds.addFirstEvent(FIRST, time, nowMs);
    }
    t.ok(isNear(getFactor(speeds, FIRST, 56_000), 2.5, 0.2));
    t.end();
  });

  t.test('servers without reports have the median of their service', t => {
    const speeds = createSpeeds();
    [0.7, 0.7, 1.3, 1.75].forEach((factor, index) => {
      speeds.addReport(SERVERS[index], factor, 0);
    });
    for (const nowMs of [2_000, 3_500]) speeds.addReport(SERVERS[1], 0.7, nowMs);
    t.ok(isNear(getFactor(speeds, SERVERS[4], 4_000), 1.3, 0.01));
    const restarted = {...FIRST, startedAtMs: 2};
    t.ok(isNear(getFactor(speeds, restarted, 4_000), 1.3, 0.01), 'and so has a new start');
    const [, , , slow] = SERVERS;
    speeds.addReport(SERVERS[1], 0.7, 200_000);
    t.ok(isNear(getFactor(speeds, slow, 200_000), 1.3, 0.05), 'and one that stopped reporting');
    t.end();
  });

  t.test('expects more pending tokens than reported where there usually are some', t => {
    // Reports are old when they arrive; all gateways would send their requests to the same idle servers.
    const speeds = createSpeeds();
    const [, second, third] = SERVERS;
    for (const server of [FIRST, second]) speeds.addReport(server, 1, 0);
    const view = speeds.getView(SERVICE, 0);
    for (let index = 0; index < 50; index += 1) view?.expectPendingTokens(FIRST, 10_000);
    const expected = view?.expectPendingTokens(FIRST, 0) ?? NaN;
    t.ok(expected > 1_000 && expected < 3_000, `${expected}`);
    t.equal(view?.expectPendingTokens(second, 0), 0);
    t.equal(view?.expectPendingTokens(third, 500), 500, 'a server without reports');
    t.end();
  });

  t.test('learns how long plain requests take', t => {
    const speeds = createSpeeds();
    for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
      speeds.addReport(FIRST, 2.5, nowMs);
      const time = {promptTokens: 0, expectedMs: 100, workFactor: 2.5, tookMs: 100};
      speeds.addFirstEvent(FIRST, time, nowMs);
    }
    t.ok(isNear(speeds.getView(SERVICE, 19_000)?.plainMs ?? NaN, 40, 0.01));
    t.end();
  });

  t.test('reports a large change of the lasting factor once', t => {
    const speeds = createSpeeds();
    const changes = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
      changes.push(speeds.addReport(FIRST, nowMs < 20_000 ? 0.7 : 1.4, nowMs));
    }
    const notable = changes.filter(change => change !== undefined);
    t.equal(notable.length, 1);
    t.equal(notable[0].before, 0.7);
    t.end();
  });

  t.test('forgets servers that are gone, and keeps a bounded number', t => {
    // Servers come and go for months; a fault may register many.
    const gone = new Set<string>();
    const speeds = new ServerSpeeds(id => !gone.has(id));
    for (const server of SERVERS) speeds.addReport(server, 1, 0);
    gone.add('s1').add('s2');
    speeds.addReport(SERVERS[4], 1, 5_000);
    t.equal(speeds.serverCount, 3);
    for (let index = 0; index < 10_100; index += 1) {
      speeds.addReport(createEntry(`x${index}`), 1, 5_000);
    }
    t.equal(speeds.serverCount, 10_000);
    t.end();
  });
  t.end();
});
