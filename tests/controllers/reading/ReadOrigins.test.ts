/** Reads of a log that gateways tell each other, by paths of any length and in any order. */
import t from 'tap';
import fc from 'fast-check';
import {ReadOrigins} from '../../../src/controllers/reading/index.js';

const READER = 7;

t.test('ReadOrigins', t => {
  t.test('a read that is told again does not become newer', t => {
    const origins = new ReadOrigins();
    origins.apply({readerKey: READER, readNumber: 1, ageMs: 100}, 1_000);
    origins.apply({readerKey: READER, readNumber: 1, ageMs: 100}, 5_000);
    t.equal(origins.getNewestAtMs(), 900);
    t.same(origins.getNewest(5_000), {readerKey: READER, readNumber: 1, ageMs: 4_100});
    t.end();
  });

  t.test('and becomes older if a shorter path shows it', t => {
    const origins = new ReadOrigins();
    origins.apply({readerKey: READER, readNumber: 1, ageMs: 100}, 1_000);
    origins.apply({readerKey: READER, readNumber: 1, ageMs: 300}, 1_100);
    t.equal(origins.getNewestAtMs(), 800);
    t.end();
  });

  t.test('a later read of any reader counts', t => {
    const origins = new ReadOrigins();
    origins.addOwnRead(1, 500);
    origins.apply({readerKey: READER, readNumber: 4, ageMs: 0}, 1_000);
    t.equal(origins.getNewestAtMs(), 1_000);
    origins.addOwnRead(1, 1_200);
    t.match(origins.getNewest(1_200), {readerKey: 1, readNumber: 2});
    t.end();
  });

  const doTestIgnored = (name: string, readNumber: number, ageMs: number, readerKey = READER) => {
    t.test(`ignores ${name}`, t => {
      const origins = new ReadOrigins();
      origins.apply({readerKey: READER, readNumber: 5, ageMs: 100}, 1_000);
      origins.apply({readerKey, readNumber, ageMs}, 2_000);
      t.equal(origins.getNewestAtMs(), 900);
      t.end();
    });
  };
  doTestIgnored('a read without a reader, as older versions send it', 6, 0, 0);
  doTestIgnored('a read without a number', 0, 0, 8);
  doTestIgnored('a read from the future', 6, -1);
  doTestIgnored('a read of long ago', 6, 100_000);
  doTestIgnored('an earlier read of a reader that was overtaken', 4, 0);

  t.test(
    'no schedule makes a read newer than the transit of the path on which it first came',
    t => {
      const tellings = fc.array(
        fc.record({
          from: fc.integer({min: 0, max: 5}),
          to: fc.integer({min: 0, max: 5}),
          afterMs: fc.integer({min: 0, max: 400}),
          transitMs: fc.integer({min: 1, max: 150}),
          restarts: fc.boolean(),
        }),
        {maxLength: 60},
      );
      fc.assert(
        fc.property(tellings, schedule => {
          const gateways = Array.from({length: 6}, () => new ReadOrigins());
          // Largest sum of transit times on the paths by which a gateway may have first heard of the read.
          const errorsMs = gateways.map(() => Infinity);
          gateways[0].addOwnRead(READER, 0);
          errorsMs[0] = 0;
          let nowMs = 0;
          for (const {from, to, afterMs, transitMs, restarts} of schedule) {
            if (restarts && to !== 0) {
              gateways[to] = new ReadOrigins();
              errorsMs[to] = Infinity;
            }
            nowMs += afterMs;
            const told = gateways[from].getNewest(nowMs);
            nowMs += transitMs;
            gateways[to].apply(told, nowMs);
            errorsMs[to] = Math.min(errorsMs[to], errorsMs[from] + transitMs);
            const believedMs = gateways[to].getNewestAtMs();
            t.ok(believedMs <= errorsMs[to] || believedMs === -Infinity);
          }
        }),
        {seed: 23, numRuns: 300},
      );
      t.end();
    },
  );
  t.end();
});
