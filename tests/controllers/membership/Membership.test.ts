/** Property tests of the membership protocol in virtual time. */
import fc from 'fast-check';
import t from 'tap';
import {MembershipWorld} from '../../support/MembershipWorld.js';
import {createRandom} from '../../support/random.js';

/** "Within seconds": the bound on noticing a dead entry. */
const DETECTION_BOUND_MS = 10_000;
const RECOVERY_BOUND_MS = 30_000;

function createNames(count: number): readonly string[] {
  return Array.from({length: count}, (empty, index) => `e${index}`);
}

t.test('membership', t => {
  t.test('finds a dead entry within seconds among 3 to 9', t => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({min: 3, max: 9}), (seed, count) => {
        const world = new MembershipWorld(createNames(count), createRandom(seed));
        world.advance(5_000);
        world.kill('e0');
        world.advance(DETECTION_BOUND_MS);
        return world.getViews('e0').every(state => state === 'dead');
      }),
      {seed: 4_101, numRuns: 200},
    );
    t.end();
  });

  t.test('holds nobody dead for lost messages and short pauses alone', t => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({min: 3, max: 9}), (seed, count) => {
        const random = createRandom(seed);
        const world = new MembershipWorld(createNames(count), random, () => random() < 0.05);
        for (let round = 0; round < 20; round++) {
          world.pause(`e${Math.floor(random() * count)}`, 1_000);
          world.advance(2_000);
          for (const name of createNames(count)) {
            if (world.getViews(name).includes('dead')) return false;
          }
        }
        return true;
      }),
      {seed: 4_102, numRuns: 100},
    );
    t.end();
  });

  t.test('agrees again after long pauses, cuts and deaths', t => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({min: 3, max: 9}), (seed, count) => {
        const random = createRandom(seed);
        let isCut = false;
        const isLost = (from: string, to: string) => isCut && from < 'e2' !== to < 'e2';
        const world = new MembershipWorld(createNames(count), random, isLost);
        const last = `e${count - 1}`;
        world.advance(2_000);
        world.pause('e1', 1_000 + random() * 30_000);
        isCut = random() < 0.5;
        world.advance(random() * 30_000);
        world.kill(last);
        world.advance(30_000);
        isCut = false;
        world.advance(RECOVERY_BOUND_MS);
        const living = createNames(count - 1);
        return (
          living.every(name => world.getViews(name).every(state => state === 'alive')) &&
          world.getViews(last).every(state => state === 'dead' || state === 'unknown')
        );
      }),
      {seed: 4_103, numRuns: 200},
    );
    t.end();
  });

  t.test('costs the same per daemon however many there are', t => {
    const countPerDaemon = (count: number): number => {
      const world = new MembershipWorld(createNames(count), createRandom(7));
      world.advance(20_000);
      return world.messageCount / count / 20;
    };
    const [few, many] = [countPerDaemon(9), countPerDaemon(90)];
    t.ok(Math.abs(many - few) / few < 0.1, `${few} and ${many} messages a second`);
    t.end();
  });
  t.end();
});
