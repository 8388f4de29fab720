/** Tests of `BufferBudget`. */
import fc from 'fast-check';
import t from 'tap';
import {BufferBudget, type BufferAccount} from '../../src/utils/index.js';

const SEED = 27_182;
const MAX_BYTES = 1_000;

t.test(
  'BufferBudget never holds more than its maximum, and drops the largest buffers',
  async () => {
    const holder = fc.nat(9);
    const step = fc.record({holder, bytes: fc.nat(400), isClosed: fc.boolean()});
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), steps => {
        const budget = new BufferBudget(MAX_BYTES);
        const sizes = new Map<number, number>();
        const accounts = new Map<number, BufferAccount>();
        let isLargestDropped = true;
        const open = (id: number): BufferAccount => {
          const account = budget.open(() => {
            const largestBytes = Math.max(...sizes.values());
            isLargestDropped &&= sizes.get(id) === largestBytes;
            sizes.delete(id);
            accounts.delete(id);
            account.close();
          });
          accounts.set(id, account);
          return account;
        };
        for (const {holder: id, bytes, isClosed} of steps) {
          const account = accounts.get(id) ?? open(id);
          sizes.set(id, bytes);
          account.setBytes(bytes);
          if (isClosed) {
            account.close();
            accounts.delete(id);
            sizes.delete(id);
          }
          const total = [...sizes.values()].reduce((sum, size) => sum + size, 0);
          if (budget.totalBytes !== total || total > MAX_BYTES) return false;
        }
        return isLargestDropped;
      }),
      {seed: SEED},
    );
  },
);

t.test('BufferBudget ignores a closed account that is closed again', async t => {
  const budget = new BufferBudget(MAX_BYTES);
  const account = budget.open(() => undefined);
  account.setBytes(10);
  account.close();
  account.close();
  t.equal(budget.totalBytes, 0);
});
