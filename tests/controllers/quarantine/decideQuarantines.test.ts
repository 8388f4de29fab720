/** Which suspects are quarantined, from crashes and survivals that gateways have collected. */
import t from 'tap';
import fc from 'fast-check';
import {
  CrashEvidence,
  decideQuarantines,
  type CrashReport,
  type Survival,
} from '../../../src/controllers/quarantine/index.js';

const DEADLY = 1n;
const SHARED = 2n;
const COMPANY = 3n;
const FIRST_PERIOD_MS = 30_000;

/** Returns the crash of a server of its own, in a failure domain of its own. */
function crash(crashedAtMs: number, suspects: readonly bigint[], failureDomain = ''): CrashReport {
  const domain = failureDomain === '' ? `domain-${crashedAtMs}` : failureDomain;
  return {serverKey: BigInt(crashedAtMs), failureDomain: domain, crashedAtMs, suspects};
}

function getQuarantined(crashes: readonly CrashReport[], survivals: readonly Survival[] = []) {
  return [...decideQuarantines({crashes, survivals}).keys()];
}

t.test('decideQuarantines', t => {
  interface Case {
    readonly crashes: readonly CrashReport[];
    readonly survivals?: readonly Survival[];
    readonly expected: readonly bigint[];
  }
  const doTest = (name: string, {crashes, survivals, expected}: Case) => {
    t.test(name, t => {
      t.same(getQuarantined(crashes, survivals), expected);
      t.end();
    });
  };
  const deadlyAndShared = [1_000, 2_000, 3_000].map(atMs => crash(atMs, [SHARED, DEADLY]));

  doTest('three crashes without any response quarantine', {
    crashes: [1_000, 2_000, 3_000].map(atMs => crash(atMs, [DEADLY])),
    expected: [DEADLY],
  });
  doTest('two crashes do not', {
    crashes: [1_000, 2_000].map(atMs => crash(atMs, [DEADLY])),
    expected: [],
  });
  doTest('a part that sound requests have too is released by a later response', {
    crashes: deadlyAndShared,
    survivals: [{suspect: SHARED, survivedAtMs: 3_100}],
    expected: [DEADLY],
  });
  doTest('a part that was answered before is released if another explains the crashes', {
    crashes: deadlyAndShared,
    survivals: [{suspect: SHARED, survivedAtMs: 900}],
    expected: [DEADLY],
  });
  doTest('company of the deadly part in all but one crash is released', {
    crashes: [
      crash(1_000, [DEADLY, COMPANY]),
      crash(2_000, [DEADLY, COMPANY]),
      crash(3_000, [DEADLY, COMPANY]),
      crash(4_000, [DEADLY]),
    ],
    expected: [DEADLY],
  });
  doTest('a part that began to crash servers after it was answered needs five crashes', {
    crashes: [1_000, 2_000, 3_000, 4_000].map(atMs => crash(atMs, [SHARED])),
    survivals: [{suspect: SHARED, survivedAtMs: 500}],
    expected: [],
  });
  doTest('and is quarantined with the fifth', {
    crashes: [1_000, 2_000, 3_000, 4_000, 5_000].map(atMs => crash(atMs, [SHARED])),
    survivals: [{suspect: SHARED, survivedAtMs: 500}],
    expected: [SHARED],
  });
  doTest('the loss of a failure domain quarantines nothing', {
    crashes: [
      crash(1_000, [COMPANY], 'a'),
      crash(1_100, [COMPANY], 'a'),
      crash(1_200, [COMPANY], 'a'),
      crash(1_300, [], 'a'),
      crash(1_400, [], 'a'),
    ],
    expected: [],
  });
  doTest('a deadly part counts also while a failure domain is lost', {
    crashes: [
      crash(1_000, [DEADLY]),
      crash(2_000, [DEADLY]),
      crash(3_000, [DEADLY]),
      crash(3_100, [], 'a'),
      crash(3_200, [], 'a'),
      crash(3_300, [], 'a'),
    ],
    expected: [DEADLY],
  });

  t.test('suspects of the same crashes are rivals', t => {
    const crashes = [1_000, 2_000, 3_000].map(atMs => crash(atMs, [DEADLY, COMPANY]));
    const quarantines = decideQuarantines({crashes, survivals: []});
    t.same(quarantines.get(DEADLY)?.rivals, [COMPANY]);
    t.same(quarantines.get(COMPANY)?.rivals, [DEADLY]);
    t.end();
  });

  t.test('two deadly parts are quarantined independently', t => {
    const crashes = [
      ...[1_000, 2_000, 3_000].map(atMs => crash(atMs, [DEADLY, SHARED])),
      ...[1_500, 2_500, 3_500, 4_500].map(atMs => crash(atMs, [COMPANY, SHARED])),
    ];
    const survivals = [{suspect: SHARED, survivedAtMs: 5_000}];
    t.same(new Set(getQuarantined(crashes, survivals)), new Set([DEADLY, COMPANY]));
    t.end();
  });

  t.test('each crash after the end of a quarantine makes the next one longer', t => {
    const firstCrashes = [1_000, 2_000, 3_000].map(atMs => crash(atMs, [DEADLY]));
    const getPeriod = (more: readonly number[]) => {
      const crashes = [...firstCrashes, ...more.map(atMs => crash(atMs, [DEADLY]))];
      return decideQuarantines({crashes, survivals: []}).get(DEADLY);
    };
    t.match(getPeriod([]), {sinceMs: 3_000, untilMs: 3_000 + FIRST_PERIOD_MS});
    t.match(getPeriod([4_000]), {sinceMs: 3_000, untilMs: 3_000 + FIRST_PERIOD_MS});
    t.match(getPeriod([40_000]), {sinceMs: 40_000, untilMs: 40_000 + 4 * FIRST_PERIOD_MS});
    t.end();
  });
  t.end();
});

t.test('CrashEvidence', t => {
  const reports = fc.array(
    fc.record({
      serverKey: fc.bigInt({min: 1n, max: 6n}),
      failureDomain: fc.constantFrom('a', 'b'),
      crashedAtMs: fc.integer({min: 1_000, max: 9_000}),
      suspects: fc.array(fc.bigInt({min: 1n, max: 5n}), {maxLength: 4}),
    }),
    {maxLength: 12},
  );

  t.test('does not depend on the order of reports, nor on repeated ones', t => {
    fc.assert(
      fc.property(reports, fc.integer({min: 0, max: 11}), (all, shift) => {
        const describe = (ordered: readonly CrashReport[]) => {
          const evidence = new CrashEvidence();
          for (const report of ordered) evidence.addCrash(report, 10_000);
          return evidence
            .getFindings()
            .crashes.map(({serverKey, crashedAtMs, suspects}) =>
              [serverKey, crashedAtMs, [...suspects].sort()].join(),
            )
            .sort();
        };
        const rotated = [...all.slice(shift), ...all.slice(0, shift)];
        t.same(describe([...rotated, ...all]), describe(all));
      }),
      {seed: 22, numRuns: 300},
    );
    t.end();
  });

  t.test('a report from the future or of long ago is ignored', t => {
    const evidence = new CrashEvidence();
    t.notOk(evidence.addCrash(crash(100_000, [DEADLY]), 10_000));
    t.notOk(evidence.addCrash(crash(10_000, [DEADLY]), 10_000_000));
    t.ok(evidence.isEmpty);
    t.end();
  });

  t.test('a survival is news once for each crash', t => {
    const evidence = new CrashEvidence();
    t.notOk(evidence.addSurvival({suspect: SHARED, survivedAtMs: 900}, 1_000));
    evidence.addCrash(crash(1_000, [SHARED]), 1_000);
    t.ok(evidence.addSurvival({suspect: SHARED, survivedAtMs: 900}, 1_000));
    t.ok(evidence.addSurvival({suspect: SHARED, survivedAtMs: 1_200}, 1_300));
    t.notOk(evidence.addSurvival({suspect: SHARED, survivedAtMs: 1_400}, 1_500));
    evidence.addCrash(crash(1_600, [SHARED]), 1_600);
    t.ok(evidence.addSurvival({suspect: SHARED, survivedAtMs: 1_700}, 1_700));
    t.end();
  });

  t.test('crashes are forgotten after a time', t => {
    const evidence = new CrashEvidence();
    evidence.addCrash(crash(1_000, [DEADLY]), 1_000);
    t.notOk(evidence.removeOld(600_000));
    t.ok(evidence.removeOld(1_300_000));
    t.ok(evidence.isEmpty);
    t.end();
  });
  t.end();
});
