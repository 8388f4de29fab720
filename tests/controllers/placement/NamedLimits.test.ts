/** The limits that servers name, as gateways merge them. */
import t from 'tap';
import fc from 'fast-check';
import {NamedLimits, type NamedLimit} from '../../../src/controllers/placement/index.js';

const SERVER = 1n;

t.test('NamedLimits', t => {
  t.test('a limit holds until a later response names none', t => {
    const limits = new NamedLimits();
    t.ok(limits.applyResponse(SERVER, 2, 1_000));
    t.notOk(limits.applyResponse(SERVER, 2, 1_100));
    t.ok(limits.applyResponse(SERVER, 1.5, 1_200));
    t.equal(limits.getLimit(SERVER, 1_300), 1.5);
    t.ok(limits.applyResponse(SERVER, undefined, 2_000));
    t.equal(limits.getLimit(SERVER, 2_000), undefined);
    t.ok(limits.applyResponse(SERVER, 3, 2_100));
    t.equal(limits.getLimit(SERVER, 2_100), 3);
    t.end();
  });

  t.test('a response without a limit that may have been overtaken ends nothing', t => {
    const limits = new NamedLimits();
    limits.applyResponse(SERVER, 2, 1_000);
    t.notOk(limits.applyResponse(SERVER, undefined, 1_300));
    t.equal(limits.getLimit(SERVER, 1_300), 2);
    t.end();
  });

  t.test('a server without a limit is not recorded', t => {
    const limits = new NamedLimits();
    t.notOk(limits.applyResponse(SERVER, undefined, 1_000));
    t.same(limits.getAll(1_000), []);
    t.end();
  });

  t.test('a limit of 0 still lets a request through now and then', t => {
    const limits = new NamedLimits();
    limits.applyResponse(SERVER, 0, 1_000);
    t.ok((limits.getLimit(SERVER, 1_000) ?? 0) > 0);
    t.end();
  });

  t.test('retelling does not renew a limit', t => {
    const limits = new NamedLimits();
    limits.applyResponse(SERVER, 2, 1_000);
    const [old] = limits.getAll(50_000);
    t.notOk(limits.merge(old, 50_000));
    t.equal(limits.getLimit(SERVER, 61_001), undefined);
    t.same(limits.getAll(61_001), []);
    t.end();
  });

  const doTestIgnored = (name: string, fields: Partial<NamedLimit>) => {
    t.test(`ignores ${name}`, t => {
      const limits = new NamedLimits();
      const limit = {serverKey: SERVER, perSecond: 1, namedAtMs: 1_000, endedAtMs: 0, ...fields};
      t.notOk(limits.merge(limit, 1_000));
      t.same(limits.getAll(1_000), []);
      t.end();
    });
  };
  doTestIgnored('a negative limit', {perSecond: -1});
  doTestIgnored('a limit that is no number', {perSecond: NaN});
  doTestIgnored('a limit from the future', {namedAtMs: 100_000});

  t.test('does not depend on the order of reports, nor on repeated ones', t => {
    const reports = fc.array(
      fc.record({
        serverKey: fc.bigInt({min: 1n, max: 3n}),
        perSecond: fc.integer({min: 1, max: 4}),
        namedAtMs: fc.integer({min: 1_000, max: 1_010}),
        endedAtMs: fc.constantFrom(0, 1_005, 1_600),
      }),
      {maxLength: 12},
    );
    fc.assert(
      fc.property(reports, fc.integer({min: 0, max: 11}), (all, shift) => {
        const describe = (ordered: readonly NamedLimit[]) => {
          const limits = new NamedLimits();
          for (const limit of ordered) limits.merge(limit, 2_000);
          return limits
            .getAll(2_000)
            .map(limit => Object.values(limit).join())
            .sort();
        };
        t.same(describe([...all.slice(shift), ...all.slice(0, shift), ...all]), describe(all));
      }),
      {seed: 22, numRuns: 300},
    );
    t.end();
  });
  t.end();
});
