/** Writes log lines to a file descriptor without ever waiting for its reader. */
import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Options of a `LineWriter`. */
export interface LineWriterOptions {
  readonly fileDescriptor: number;
  /** Bytes that wait for the reader at the most; further lines are dropped and counted. */
  readonly maxBufferedBytes: number;
}

/** Most text that is handed over in one write. */
const MAX_WRITE_BYTES = 65_536;

/** A bounded queue of lines. Writes run in the background, one at a time. */
export class LineWriter {
  private readonly options: LineWriterOptions;
  private lines: string[] = [];
  private bufferedBytes = 0;
  private dropped = 0;
  private isWriting = false;

  constructor(options: LineWriterOptions) {
    this.options = options;
  }

  /** Lines dropped since the start. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Returns a stream that writes each of its chunks as a line. */
  toStream(): Writable {
    return new Writable({
      decodeStrings: false,
      write: (line: string, encoding, done) => {
        this.write(line);
        done();
      },
    });
  }

  /**
   * Queues a line, or drops it where the reader is too slow.
   * @param line - The line with its line feed.
   */
  write(line: string): void {
    if (this.bufferedBytes + line.length > this.options.maxBufferedBytes) {
      this.dropped += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedBytes += line.length;
    if (!this.isWriting) this.writeNext();
  }

  private writeNext(): void {
    const chunk = this.takeChunk();
    if (chunk.length === 0) {
      this.isWriting = false;
      return;
    }
    this.isWriting = true;
    this.writeRest(Buffer.from(chunk), chunk.length);
  }

  private writeRest(bytes: Buffer, releasedBytes: number): void {
    write(this.options.fileDescriptor, bytes, (error, written) => {
      const rest = bytes.subarray(error ? bytes.length : written);
      if (rest.length > 0) return this.writeRest(rest, releasedBytes);
      if (error) this.dropped += 1;
      this.bufferedBytes -= releasedBytes;
      this.writeNext();
    });
  }

  private takeChunk(): string {
    let count = 0;
    let bytes = 0;
    while (count < this.lines.length && bytes < MAX_WRITE_BYTES) {
      bytes += this.lines[count].length;
      count += 1;
    }
    return this.lines.splice(0, count).join('');
  }
}
