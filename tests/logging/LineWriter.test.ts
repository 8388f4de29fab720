/** Tests that writing log lines never blocks on a slow reader. */
import {execFileSync} from 'node:child_process';
import {closeSync, constants, openSync, readSync} from 'node:fs';
import {join} from 'node:path';
import t from 'tap';
import {LineWriter} from '../../src/logging/LineWriter.js';

const LINE = `${'x'.repeat(999)}\n`;
const MAX_BUFFERED_BYTES = 100_000;
const LINES = 1_000;

t.test('LineWriter', t => {
  t.test(
    'drops and counts excess lines while nobody reads, and writes the others once they are read',
    async t => {
      const path = join(t.testdir(), 'pipe');
      execFileSync('mkfifo', [path]);
      const reader = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
      const fileDescriptor = openSync(path, 'w');
      const writer = new LineWriter({fileDescriptor, maxBufferedBytes: MAX_BUFFERED_BYTES});
      const startedAtMs = performance.now();
      for (let count = 0; count < LINES; count += 1) writer.write(LINE);
      t.ok(performance.now() - startedAtMs < 1_000, 'writing does not block');
      const kept = LINES - writer.droppedLines;
      t.ok(kept >= MAX_BUFFERED_BYTES / LINE.length, `${kept} lines kept`);
      t.ok(kept < LINES, 'some lines are dropped');
      let readBytes = 0;
      const buffer = Buffer.alloc(65_536);
      while (readBytes < kept * LINE.length) {
        try {
          readBytes += readSync(reader, buffer);
        } catch {
          // EAGAIN: the pipe is empty.
        }
        await new Promise(resolve => setTimeout(resolve, 5));
      }
      t.equal(readBytes, kept * LINE.length);
      closeSync(reader);
      closeSync(fileDescriptor);
    },
  );
  t.end();
});
