/** Tests of the deployment's keys. */
import t from 'tap';
import {PeerKeys} from '../../src/peer/index.js';

t.test('PeerKeys', t => {
  t.test('isValid', t => {
    function doTest(name: string, keys: readonly string[], given: string | undefined, is: boolean) {
      t.test(name, async t => t.equal(new PeerKeys(keys).isValid(given), is));
    }

    doTest('the one key', ['old'], 'old', true);
    doTest('either of two', ['old', 'new'], 'new', true);
    doTest('another key', ['old'], 'new', false);
    doTest('the start of a key', ['old'], 'ol', false);
    doTest('no key', ['old'], undefined, false);
    t.end();
  });

  t.test('a rotation, one daemon after the other', t => {
    function doTest(name: string, rounds: ReadonlyArray<readonly string[]>, isWhole: boolean) {
      t.test(name, async t => {
        const daemons = rounds.map(keys => new PeerKeys(keys));
        const isUnderstood = daemons.slice(1).every((after, i) => {
          const before = daemons[i];
          return before.isValid(after.getSendingKey()) && after.isValid(before.getSendingKey());
        });
        t.equal(isUnderstood, isWhole);
      });
    }

    doTest(
      'daemons of neighbouring rounds know each other in four rounds',
      [['old'], ['old', 'new'], ['new', 'old'], ['new']],
      true,
    );
    doTest(
      'a round that leaves out the change of order cuts daemons off',
      [['old'], ['old', 'new'], ['new']],
      false,
    );
    t.end();
  });
  t.end();
});
