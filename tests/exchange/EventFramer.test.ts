/** Tests of `EventFramer`: event boundaries don't depend on how the bytes are split into chunks. */
import fc from 'fast-check';
import t from 'tap';
import {EventFramer} from '../../src/exchange/index.js';

const SEED = 20_261_204;

t.test('EventFramer', t => {
  t.test('returns every complete event once and in order, however the bytes are split', t => {
    const counts = fc.integer({min: 1, max: 20});
    const splitPositions = fc.array(fc.nat(400), {maxLength: 30});
    fc.assert(
      fc.property(counts, splitPositions, (count, positions) => {
        const text = Array.from({length: count}, (_, id) => `id: ${id}\ndata: x${id}\n\n`).join('');
        const bytes = Buffer.from(`${text}id: 99\ndata: half`);
        const framer = new EventFramer();
        const ids: (string | undefined)[] = [];
        let received = '';
        const boundaries = [
          ...new Set([0, ...positions.map(position => position % bytes.length), bytes.length]),
        ];
        boundaries.sort((a, b) => a - b);
        for (let index = 1; index < boundaries.length; index += 1) {
          for (const event of framer.add(
            bytes.subarray(boundaries[index - 1], boundaries[index]),
          )) {
            ids.push(event.eventId);
            received += event.bytes.toString();
          }
        }
        const expected = Array.from({length: count}, (_, id) => String(id));
        return (
          received === text &&
          JSON.stringify(ids) === JSON.stringify(expected) &&
          framer.getIncompleteEvent().toString() === 'id: 99\ndata: half'
        );
      }),
      {seed: SEED, numRuns: 500},
    );
    t.end();
  });

  t.test('finds a boundary of CRLF lines, wherever it is split', t => {
    const bytes = Buffer.from('id: 7\r\ndata: a\r\n\r\nid: 8\r\n');
    for (let split = 0; split <= bytes.length; split += 1) {
      const framer = new EventFramer();
      const events = [
        ...framer.add(bytes.subarray(0, split)),
        ...framer.add(bytes.subarray(split)),
      ];
      t.same(
        events.map(({eventId}) => eventId),
        ['7'],
        `split at ${split}`,
      );
      t.equal(framer.getIncompleteEvent().toString(), 'id: 8\r\n');
    }
    t.end();
  });

  t.test('accepts CRLF line endings', t => {
    const events = new EventFramer().add(Buffer.from('id: 7\r\ndata: a\r\n\r\nid: 8\r\n'));
    t.same(
      events.map(({eventId}) => eventId),
      ['7'],
    );
    t.end();
  });
  t.end();
});
