/** Tests of `ByteBuffer`. */
import fc from 'fast-check';
import t from 'tap';
import {ByteBuffer} from '../../src/utils/index.js';

const SEED = 31_415;

t.test('ByteBuffer holds what was appended and not removed', async () => {
  const step = fc.record({
    chunk: fc.uint8Array({maxLength: 50}),
    removedShare: fc.integer({max: 4, min: 0}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 200}), steps => {
      const buffer = new ByteBuffer();
      let expected = Buffer.alloc(0);
      const returned: {readonly bytes: Buffer; readonly copy: Buffer}[] = [];
      for (const {chunk, removedShare} of steps) {
        buffer.append(Buffer.from(chunk));
        expected = Buffer.concat([expected, chunk]);
        const bytes = buffer.getBytes();
        returned.push({bytes, copy: Buffer.from(bytes)});
        if (!bytes.equals(expected)) return false;
        const removed = removedShare === 0 ? Math.floor(expected.length / 2) : 0;
        buffer.removeFirst(removed);
        expected = expected.subarray(removed);
      }
      const isUnchanged = returned.every(({bytes, copy}) => bytes.equals(copy));
      return isUnchanged && buffer.length === expected.length;
    }),
    {seed: SEED},
  );
});

// Each byte used to cost a buffer of its own, or a copy of all bytes before it.
t.test('ByteBuffer keeps a million chunks of one byte in little more than their size', async t => {
  const buffer = new ByteBuffer();
  const count = 1_000_000;
  for (let index = 0; index < count; index += 1) buffer.append(Buffer.from([index & 0xff]));
  t.equal(buffer.length, count);
  t.ok(buffer.capacityBytes <= 2 * count);
});
