/** Property test of `IndexedHeap` against a sorted list. */
import fc from 'fast-check';
import t from 'tap';
import {IndexedHeap} from '../../src/utils/index.js';

const SEED = 20_261_240;

const stepArbitrary = fc.record({
  kind: fc.constantFrom('add', 'add', 'remove', 'removeFirst', 'update'),
  target: fc.nat(1_000),
  rank: fc.nat(20),
});

t.test('IndexedHeap returns the least item after any sequence of changes', t => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, {maxLength: 150}), steps => {
      const heap = new IndexedHeap<{rank: number}>((a, b) => a.rank < b.rank);
      let model: {rank: number}[] = [];
      return steps.every(({kind, target, rank}) => {
        const chosen = kind === 'removeFirst' ? heap.peek() : model[target % (model.length || 1)];
        if (kind === 'add') {
          const item = {rank};
          heap.add(item);
          model.push(item);
        } else if (chosen && kind === 'update') {
          chosen.rank = rank;
          heap.update(chosen);
        } else if (chosen) {
          if (!heap.remove(chosen) || heap.remove(chosen)) return false;
          model = model.filter(item => item !== chosen);
        }
        const least = Math.min(...model.map(item => item.rank));
        return heap.size === model.length && (heap.peek()?.rank ?? Infinity) === least;
      });
    }),
    {seed: SEED, numRuns: 500},
  );
  t.end();
});
