/** Tests of `IncomingBudget`. */
import t from 'tap';
import {IncomingBudget, type IncomingAccount} from '../../src/callers/index.js';

interface Opened {
  readonly account: IncomingAccount;
  isDropped: boolean;
}

function open(budget: IncomingBudget, source: string, bytes: number): Opened {
  const opened: {isDropped: boolean; account?: IncomingAccount} = {isDropped: false};
  const account = budget.open(source, () => (opened.isDropped = true));
  const result = Object.assign(opened, {account});
  account.setBytes(bytes);
  return result;
}

t.test('IncomingBudget', t => {
  t.test('drops the largest incomplete request of the source that holds most', t => {
    const budget = new IncomingBudget(100);
    const largestOfAll = open(budget, 'a', 30);
    const [small, large] = [open(budget, 'b', 20), open(budget, 'b', 25)];
    const last = open(budget, 'c', 26);
    t.same(
      [largestOfAll, small, large, last].map(({isDropped}) => isDropped),
      [false, false, true, false],
    );
    t.equal(budget.totalBytes, 76);
    t.end();
  });

  // One source filled the whole budget with complete requests, and each request of the others was dropped.
  t.test('leaves room for other sources, also if the requests of one are complete', t => {
    const budget = new IncomingBudget(100);
    const held = Array.from({length: 12}, () => {
      const opened = open(budget, 'a', 10);
      if (!opened.isDropped) opened.account.complete();
      return opened;
    });
    t.equal(held.filter(({isDropped}) => isDropped).length, 5);
    t.notOk(open(budget, 'b', 25).isDropped);
    t.end();
  });

  t.test('never drops a complete request', t => {
    const budget = new IncomingBudget(100);
    const complete = open(budget, 'a', 60);
    complete.account.complete();
    t.ok(open(budget, 'b', 50).isDropped);
    t.notOk(complete.isDropped);
    t.end();
  });

  t.test('releases what is closed, once', t => {
    const budget = new IncomingBudget(100);
    const {account} = open(budget, 'a', 60);
    account.close();
    account.close();
    account.setBytes(70);
    t.equal(budget.totalBytes, 0);
    t.notOk(open(budget, 'a', 70).isDropped);
    t.end();
  });
  t.end();
});
