/** Tests of `BodyBlocks` and `ReadPacer`. */
import t from 'tap';
import {BlockPool, BodyBlocks, ReadPacer, isBodyLate} from '../../src/callers/index.js';

const BYTES = Buffer.from(Array.from({length: 100_000}, (_, index) => index % 251));

t.test('BodyBlocks', t => {
  for (const chunkBytes of [1, 7, 17, 8_192, 65_536, 100_000]) {
    t.test(`keeps a body in chunks of ${chunkBytes}`, t => {
      const body = new BodyBlocks(new BlockPool(1_000_000));
      for (let start = 0; start < BYTES.length; start += chunkBytes) {
        body.append(BYTES.subarray(start, start + chunkBytes));
      }
      t.equal(body.length, BYTES.length);
      t.ok(body.allocatedBytes < BYTES.length + 8_192, `${body.allocatedBytes} bytes`);
      t.ok(body.takeBytes().equals(BYTES));
      t.equal(body.allocatedBytes, 0);
      t.end();
    });
  }

  t.test('uses released blocks again, without changing what was taken', t => {
    const pool = new BlockPool(100_000);
    const first = new BodyBlocks(pool);
    first.append(Buffer.from('first'));
    const taken = first.takeBytes();
    const second = new BodyBlocks(pool);
    second.append(Buffer.from('other'));
    t.equal(String(taken), 'first');
    t.equal(String(second.takeBytes()), 'other');
    t.end();
  });
  t.end();
});

t.test('isBodyLate', t => {
  const body = {receivedAtMs: 0, progressAtMs: 0, deadlineMs: undefined};
  t.notOk(isBodyLate(body, 9_999));
  t.ok(isBodyLate(body, 10_000), 'no byte for 10 s');
  t.notOk(isBodyLate({...body, progressAtMs: 59_000}, 59_999));
  t.ok(isBodyLate({...body, progressAtMs: 59_900}, 60_000), 'too slow');
  t.ok(isBodyLate({...body, deadlineMs: 500}, 500), 'the caller has given up');
  t.end();
});

class Reader {
  isPaused = false;
  pause(): void {
    this.isPaused = true;
  }
  resume(): void {
    this.isPaused = false;
  }
}

// 200 bodies in chunks of one byte took all turns of the event loop for half a minute.
t.test('ReadPacer stops all readers after very many chunks, and resumes one in each turn', t => {
  const turns: (() => void)[] = [];
  const pacer = new ReadPacer<Reader>(callback => turns.push(callback));
  const readers = [new Reader(), new Reader(), new Reader()];
  const countPaused = () => readers.filter(({isPaused}) => isPaused).length;
  for (let count = 0; count < 4_095; count += 1) {
    pacer.addChunk(readers[0], () => readers.slice(0, 2));
  }
  t.equal(countPaused(), 0);
  pacer.addChunk(readers[0], () => readers.slice(0, 2));
  t.equal(countPaused(), 2);
  pacer.addChunk(readers[2], () => readers);
  t.equal(countPaused(), 3, 'one that begins in the same turn');
  pacer.remove(readers[1]);
  turns.shift()?.();
  t.same(
    readers.map(({isPaused}) => isPaused),
    [false, true, true],
  );
  turns.shift()?.();
  t.same(
    readers.map(({isPaused}) => isPaused),
    [false, true, false],
    'a removed reader is not resumed',
  );
  t.equal(turns.length, 0);
  t.end();
});
