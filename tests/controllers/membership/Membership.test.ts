/** Property tests of the membership protocol, simulated in virtual time. */
import fc from 'fast-check';
import t from 'tap';
import {MembershipSimulation} from '../../support/MembershipSimulation.js';
import {createRandom} from '../../support/random.js';

/** Longest time until all entries consider a stopped entry dead. */
const DETECTION_BOUND_MS = 10_000;
/** Longest time until all entries agree again after the end of a partition. */
const RECOVERY_BOUND_MS = 30_000;

function createNames(count: number): readonly string[] {
  return Array.from({length: count}, (empty, index) => `e${index}`);
}

t.test('membership', t => {
  t.test('detects a dead entry within 10 s among 3 to 9 entries', t => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({min: 3, max: 9}), (seed, count) => {
        const world = new MembershipSimulation(createNames(count), createRandom(seed));
        world.advance(5_000);
        world.kill('e0');
        world.advance(DETECTION_BOUND_MS);
        return world.getStatesSeenByOthers('e0').every(state => state === 'dead');
      }),
      {seed: 4_101, numRuns: 200},
    );
    t.end();
  });

  t.test('declares no entry dead because of message loss and pauses of 1 s', t => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({min: 3, max: 9}), (seed, count) => {
        const random = createRandom(seed);
        const world = new MembershipSimulation(createNames(count), random, () => random() < 0.05);
        for (let round = 0; round < 20; round++) {
          world.pause(`e${Math.floor(random() * count)}`, 1_000);
          world.advance(2_000);
          for (const name of createNames(count)) {
            if (world.getStatesSeenByOthers(name).includes('dead')) return false;
          }
        }
        return true;
      }),
      {seed: 4_102, numRuns: 100},
    );
    t.end();
  });

  t.test('converges again after long pauses, partitions and crashes', t => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({min: 3, max: 9}), (seed, count) => {
        const random = createRandom(seed);
        let isPartitioned = false;
        const isLost = (from: string, to: string) => isPartitioned && from < 'e2' !== to < 'e2';
        const world = new MembershipSimulation(createNames(count), random, isLost);
        const last = `e${count - 1}`;
        world.advance(2_000);
        world.pause('e1', 1_000 + random() * 30_000);
        isPartitioned = random() < 0.5;
        world.advance(random() * 30_000);
        world.kill(last);
        world.advance(30_000);
        isPartitioned = false;
        world.advance(RECOVERY_BOUND_MS);
        const survivors = createNames(count - 1);
        return (
          survivors.every(name =>
            world.getStatesSeenByOthers(name).every(state => state === 'alive'),
          ) &&
          world.getStatesSeenByOthers(last).every(state => state === 'dead' || state === 'unknown')
        );
      }),
      {seed: 4_103, numRuns: 200},
    );
    t.end();
  });

  t.test('sends the same number of messages per daemon at 9 and 90 daemons', t => {
    const countPerDaemon = (count: number): number => {
      const world = new MembershipSimulation(createNames(count), createRandom(7));
      world.advance(20_000);
      return world.messageCount / count / 20;
    };
    const [atNine, atNinety] = [countPerDaemon(9), countPerDaemon(90)];
    t.ok(Math.abs(atNinety - atNine) / atNine < 0.1, `${atNine} and ${atNinety} messages a second`);
    t.end();
  });
  t.end();
});
