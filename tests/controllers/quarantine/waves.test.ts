/**
 * Simulations of waves of server crashes that no request causes. A harmless request whose servers crash in a wave must
 * not be quarantined as poison; a poison request still must be.
 */
import fc from 'fast-check';
import t from 'tap';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../../../src/controllers/quarantine/index.js';
import {createRandom} from '../../support/random.js';
import {
  CrashWaveSimulation,
  type UnrelatedCrash,
  type CrashWaveSimulationOptions,
} from '../../support/CrashWaveSimulation.js';

const SEED = 20_261_212;
const RUNS = 1_000;
const SIMULATIONS = 2_000;
/** Mean time to the crash of a server in the test of independent crashes. */
const MEAN_TIME_TO_CRASH_MS = 600_000;
const DOMAINS = 4;
const SERVERS_PER_DOMAIN = 6;
const SERVERS = DOMAINS * SERVERS_PER_DOMAIN;

const gapsMs = (maxGapMs: number) =>
  fc.array(fc.integer({min: 10, max: maxGapMs}), {minLength: 5, maxLength: 12});

function createDeaths(
  servers: readonly number[],
  gaps: readonly number[],
  firstAtMs: number,
): readonly UnrelatedCrash[] {
  let atMs = firstAtMs;
  return servers.slice(0, gaps.length + 1).map((server, index) => {
    if (index > 0) atMs += gaps[index - 1];
    return {server, atMs};
  });
}

function createWorld(
  changes: Partial<CrashWaveSimulationOptions>,
  seed: number,
): CrashWaveSimulation {
  return new CrashWaveSimulation({
    domains: DOMAINS,
    serversPerDomain: SERVERS_PER_DOMAIN,
    unrelatedCrashes: [],
    firstServer: 0,
    durationMs: 3_000,
    random: createRandom(seed),
    ...changes,
  });
}

function shuffle(random: () => number): readonly number[] {
  return Array.from({length: SERVERS}, (_, server) => ({server, key: random()}))
    .sort((a, b) => a.key - b.key)
    .map(({server}) => server);
}

function countRefusals(
  createOptions: (random: () => number) => Partial<CrashWaveSimulationOptions>,
): {
  readonly hit: number;
  readonly refused: number;
} {
  let hit = 0;
  let refused = 0;
  for (let run = 0; run < SIMULATIONS; run += 1) {
    const outcome = createWorld(createOptions(createRandom(SEED + run)), SEED + run).run();
    if (outcome.hits > 0) hit += 1;
    if (outcome.end === 'refused') refused += 1;
  }
  return {hit, refused};
}

t.test('QuarantineLedger in a wave', t => {
  t.test(
    'refuses no harmless request when the servers of its failure domain crash one by one',
    t => {
      fc.assert(
        fc.property(gapsMs(900), fc.nat(), (gaps, seed) => {
          const domain = Array.from({length: SERVERS_PER_DOMAIN}, (_, server) => server);
          const unrelatedCrashes = createDeaths(domain, gaps, 500);
          return createWorld({unrelatedCrashes}, seed).run().end === 'answered';
        }),
        {seed: SEED, numRuns: RUNS},
      );
      t.end();
    },
  );
  t.test('refuses no harmless request in a fast wave over all failure domains', t => {
    fc.assert(
      fc.property(gapsMs(250), fc.nat(), (gaps, seed) => {
        const servers = shuffle(createRandom(seed));
        const unrelatedCrashes = createDeaths(servers, gaps, 500);
        return (
          createWorld({unrelatedCrashes, firstServer: servers[0]}, seed).run().end === 'answered'
        );
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('limits a poison request to two crashes', t => {
    fc.assert(
      fc.property(gapsMs(900), fc.integer({min: 10, max: 2_000}), fc.nat(), (gaps, after, seed) => {
        const servers = shuffle(createRandom(seed));
        const deaths = createDeaths(servers, gaps, 500);
        // Failure domains of two servers, since three crashes in a domain are attributed to an outage of the domain.
        const domains = {domains: SERVERS / 2, serversPerDomain: 2};
        const changes = {...domains, deaths, firstServer: servers[0], crashAfterMs: after};
        const {crashes, end} = createWorld(changes, seed).run();
        return crashes <= 2 && end === 'refused';
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.test('does not attribute the crashes by copies of one request to their failure domain', t => {
    const ledger = new QuarantineLedger({...DEFAULT_QUARANTINE, ownInstanceId: 'entry-1'});
    const ids = ['a', 'b', 'c', 'd'];
    for (const instanceId of ids) {
      ledger.addAttempt({attemptId: instanceId, fingerprint: 'poison', service: 's', instanceId});
    }
    const kinds = ids.flatMap((instanceId, index) =>
      ledger.addCrash({instanceId, failureDomain: 'oslo-a', atMs: index}).map(({kind}) => kind),
    );
    const quarantined = 'poison-quarantined';
    t.same(kinds, ['poison-suspect', quarantined, quarantined, quarantined]);
    t.end();
  });
  t.test('ends the wait of a suspect while servers keep crashing', t => {
    const ledger = new QuarantineLedger({...DEFAULT_QUARANTINE, ownInstanceId: 'entry-1'});
    ledger.addAttempt({attemptId: 'x', fingerprint: 'x', service: 's', instanceId: 'first'});
    ledger.addCrash({instanceId: 'first', failureDomain: 'oslo-a', atMs: 0});
    let nowMs = 0;
    for (; ledger.decide('x', nowMs).kind === 'wait' && nowMs < 60_000; nowMs += 100) {
      ledger.addCrash({instanceId: `other-${nowMs}`, failureDomain: `d-${nowMs}`, atMs: nowMs});
    }
    t.equal(nowMs, DEFAULT_QUARANTINE.maxWaveWaitMs);
    t.end();
  });
  t.test('refuses less than 1 in 40 of the harmless requests that are hit in a slow wave', t => {
    const {hit, refused} = countRefusals(random => {
      const servers = shuffle(random);
      const gaps = Array.from({length: 9}, () => 10 + random() * 490);
      return {unrelatedCrashes: createDeaths(servers, gaps, 500), firstServer: servers[0]};
    });
    t.comment(`refused ${refused} of ${hit} that were hit`);
    t.ok(refused < hit / 40);
    t.end();
  });
  t.test(
    // Two independent crashes look like two crashes by the request, so a few wrong refusals can't be avoided.
    'refuses less than 1 in 20 of the harmless requests that are hit by independent crashes',
    t => {
      const {hit, refused} = countRefusals(random => {
        const deaths = shuffle(random).map(server => ({
          server,
          atMs: -Math.log(1 - random()) * MEAN_TIME_TO_CRASH_MS,
        }));
        const first = {server: deaths[0].server, atMs: 1_000};
        return {
          unrelatedCrashes: [first, ...deaths.slice(1)],
          firstServer: first.server,
          durationMs: 10_000,
        };
      });
      t.comment(`refused ${refused} of ${hit} that were hit`);
      t.ok(refused > 0 && refused < hit / 20);
      t.end();
    },
  );
  t.end();
});
