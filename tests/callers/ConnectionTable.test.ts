/** Tests of `ConnectionTable`. */
import t from 'tap';
import {ConnectionTable} from '../../src/callers/index.js';

t.test('ConnectionTable', t => {
  t.test('closes the connection that has been idle for longest, of the source with most', t => {
    const table = new ConnectionTable<string>(4);
    for (const name of ['a1', 'a2', 'a3']) t.equal(table.add(name, 'a'), undefined);
    table.add('b1', 'b');
    table.setUse('a1', 'serving');
    table.setUse('a1', 'idle');
    t.equal(table.add('b2', 'b'), 'a2');
    table.remove('a2');
    t.equal(table.size, 4);
    t.end();
  });

  t.test('prefers closing and idle connections to those that receive a request', t => {
    const table = new ConnectionTable<string>(3);
    for (const name of ['a1', 'a2', 'a3']) table.add(name, 'a');
    table.setUse('a1', 'receiving');
    table.setUse('a2', 'receiving');
    table.setUse('a3', 'closing');
    t.equal(table.add('a4', 'a'), 'a3');
    table.remove('a3');
    table.setUse('a4', 'serving');
    t.equal(table.add('b1', 'b'), 'a1');
    t.end();
  });

  // Closing a connection whose requests run would leave their callers without knowing whether they have run.
  t.test('refuses the new connection if all others are serving', t => {
    const table = new ConnectionTable<string>(2);
    for (const name of ['a1', 'a2']) {
      table.add(name, 'a');
      table.setUse(name, 'serving');
    }
    t.equal(table.add('b1', 'b'), 'b1');
    t.end();
  });
  t.end();
});
