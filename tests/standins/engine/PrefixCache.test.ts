/** Tests of lookup and eviction in the prefix cache of the stand-in engine. */
import t from 'tap';
import {getBlockHashes, PrefixCache} from '../../../standins/engine/PrefixCache.js';
import {hashBlocks} from '../../../src/utils/index.js';

const words = (count: number, name = 'w') =>
  Array.from({length: count}, (unused, index) => `${name}${index} `);

t.test('PrefixCache', t => {
  function doTest(
    name: string,
    stored: ReadonlyArray<readonly string[]>,
    prompt: readonly string[],
    expected: number,
  ) {
    t.test(name, t => {
      const cache = new PrefixCache(64, () => undefined);
      for (const tokens of stored) cache.storePrefix(getBlockHashes(tokens));
      t.equal(cache.usePrefix(getBlockHashes(prompt)), expected);
      t.end();
    });
  }

  doTest('finds full blocks only', [words(40)], words(40), 32);
  doTest('finds the shared prefix of another prompt', [words(40)], [...words(20), 'x '], 16);
  doTest('finds nothing of a prompt with another prefix', [words(40)], words(40, 'v'), 0);
  doTest('evicts the least recently used blocks', [words(32), words(64, 'v')], words(32), 0);
  doTest(
    'evicts the end of a prompt before its beginning',
    [words(64), words(16, 'v')],
    words(64),
    48,
  );
  t.end();
});

t.test('getBlockHashes', t => {
  t.same(
    getBlockHashes(words(50)),
    hashBlocks(words(50)),
    'equal to the hashes that routing computes',
  );
  t.end();
});
