/** Events are cut whole, however the bytes arrive. */
import fc from 'fast-check';
import t from 'tap';
import {EventFramer} from '../../src/exchange/index.js';

const SEED = 20_261_204;

t.test('EventFramer', t => {
  t.test('returns every whole event once and in order, however the bytes are split', t => {
    const counts = fc.integer({min: 1, max: 20});
    const cuts = fc.array(fc.nat(400), {maxLength: 30});
    fc.assert(
      fc.property(counts, cuts, (count, positions) => {
        const text = Array.from({length: count}, (_, id) => `id: ${id}\ndata: x${id}\n\n`).join('');
        const bytes = Buffer.from(`${text}id: 99\ndata: half`);
        const framer = new EventFramer();
        const ids: (string | undefined)[] = [];
        let whole = '';
        const edges = [...new Set([0, ...positions.map(at => at % bytes.length), bytes.length])];
        edges.sort((a, b) => a - b);
        for (let index = 1; index < edges.length; index += 1) {
          for (const event of framer.add(bytes.subarray(edges[index - 1], edges[index]))) {
            ids.push(event.lastId);
            whole += event.bytes.toString();
          }
        }
        const expected = Array.from({length: count}, (_, id) => String(id));
        return (
          whole === text &&
          JSON.stringify(ids) === JSON.stringify(expected) &&
          framer.getRest().toString() === 'id: 99\ndata: half'
        );
      }),
      {seed: SEED, numRuns: 500},
    );
    t.end();
  });

  t.test('takes line ends with a carriage return', t => {
    const events = new EventFramer().add(Buffer.from('id: 7\r\ndata: a\r\n\r\nid: 8\r\n'));
    t.same(
      events.map(({lastId}) => lastId),
      ['7'],
    );
    t.end();
  });
  t.end();
});
