/** Tests of the deployment keys and their rotation. */
import t from 'tap';
import {PeerKeys} from '../../src/peer/index.js';

t.test('PeerKeys', t => {
  t.test('isValid', t => {
    function doTest(
      name: string,
      keys: readonly string[],
      suppliedKey: string | undefined,
      isValid: boolean,
    ) {
      t.test(name, async t => t.equal(new PeerKeys(keys).isValid(suppliedKey), isValid));
    }

    doTest('accepts the only key', ['old'], 'old', true);
    doTest('accepts either of two keys', ['old', 'new'], 'new', true);
    doTest('rejects another key', ['old'], 'new', false);
    doTest('rejects a prefix of a key', ['old'], 'ol', false);
    doTest('rejects a missing key', ['old'], undefined, false);
    t.end();
  });

  t.test('rotation, in which each round updates one daemon after the other', t => {
    function doTest(name: string, rounds: ReadonlyArray<readonly string[]>, isConnected: boolean) {
      t.test(name, async t => {
        const daemons = rounds.map(keys => new PeerKeys(keys));
        const areAllValid = daemons.slice(1).every((after, i) => {
          const before = daemons[i];
          return before.isValid(after.getSendingKey()) && after.isValid(before.getSendingKey());
        });
        t.equal(areAllValid, isConnected);
      });
    }

    doTest(
      'keeps all daemons connected if it takes four rounds',
      [['old'], ['old', 'new'], ['new', 'old'], ['new']],
      true,
    );
    doTest(
      'disconnects daemons if the round that swaps the keys is skipped',
      [['old'], ['old', 'new'], ['new']],
      false,
    );
    t.end();
  });
  t.end();
});
