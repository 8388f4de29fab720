/** Tests that random numbers depend on the seed, and on nothing else. */
import t from 'tap';
import {createSeededRandom} from '../../src/utils/index.js';

t.test('createSeededRandom', t => {
  const firstNumbers = Array.from({length: 100}, (unused, seed) => createSeededRandom(seed)());
  const mean = firstNumbers.reduce((sum, value) => sum + value, 0) / firstNumbers.length;
  t.ok(Math.abs(mean - 0.5) < 0.15, 'the first number depends on the seed');
  t.equal(createSeededRandom(7)(), createSeededRandom(7)());
  t.end();
});
