/** Tests of `ResumePoint`: which events of a resumed stream the caller already has. */
import fc from 'fast-check';
import t from 'tap';
import {ResumePoint, compareEventIds} from '../../src/exchange/ResumePoint.js';

const SEED = 20_261_205;

t.test('compareEventIds orders decimal integers exactly, at any length', async () => {
  const integer = fc.bigInt({min: 0n, max: 10n ** 40n});
  const neighbours = fc.tuple(integer, fc.bigInt({min: -2n, max: 2n}), fc.nat(3));
  fc.assert(
    fc.property(neighbours, ([first, offset, zeros]) => {
      const second = first + offset < 0n ? 0n : first + offset;
      const order = compareEventIds(String(first), `${'0'.repeat(zeros)}${second}`) ?? NaN;
      return Math.sign(order) === (first < second ? -1 : first > second ? 1 : 0);
    }),
    {seed: SEED},
  );
});

t.test('compareEventIds knows no order of other ids', async t => {
  t.equal(compareEventIds('a', 'a'), 0);
  t.equal(compareEventIds('a', 'b'), undefined);
  t.equal(compareEventIds('1', 'b'), undefined);
  t.equal(compareEventIds('', '1'), undefined);
});

t.test('ResumePoint', async t => {
  const doTestRepeated = (last: string | undefined, ids: readonly (string | undefined)[]) => {
    const point = new ResumePoint(last);
    return ids.map(id => point.isRepeated(id));
  };
  t.same(doTestRepeated(undefined, ['1', '1']), [false, false], 'a new stream repeats nothing');
  t.same(doTestRepeated('2', ['1', '2', '3']), [true, true, false], 'a server begins anew');
  t.same(doTestRepeated('2', ['3', '1']), [false, false], 'nothing after a newer event');
  t.same(doTestRepeated('b', ['b', 'c']), [true, false], 'ids without an order');
  t.same(doTestRepeated('2', [undefined, '2']), [false, true], 'events without an id');
});
