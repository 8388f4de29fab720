/** Writes log lines to a file descriptor without blocking when its reader is slow. */
import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Destination and buffer limit of a `LineWriter`. */
export interface LineWriterOptions {
  /** File descriptor that stays open as long as the writer is used. */
  readonly fileDescriptor: number;
  /** Maximum size of the buffer, counted in UTF-16 code units; lines beyond it are dropped and counted. */
  readonly maxBufferedBytes: number;
}

/** A write stops adding lines once it has reached this size, in UTF-16 code units. */
const TARGET_WRITE_BYTES = 65_536;

/** Bounded queue of lines, which are written asynchronously, one write at a time. */
export class LineWriter {
  private readonly options: LineWriterOptions;
  private lines: string[] = [];
  private bufferedBytes = 0;
  private dropped = 0;
  private isWriting = false;

  constructor(options: LineWriterOptions) {
    this.options = options;
  }

  /** Number of lines dropped since the process started; a failed write counts as one. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Returns a writable stream that passes each chunk to `write` and never applies back pressure. */
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
   * Queues a line, or drops it if the buffer is full.
   * @param line - The line, including its line feed.
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
    const chunk = this.dequeueChunk();
    if (chunk.length === 0) {
      this.isWriting = false;
      return;
    }
    this.isWriting = true;
    this.writeBytes(Buffer.from(chunk), chunk.length);
  }

  private writeBytes(bytes: Buffer, releasedBytes: number): void {
    write(this.options.fileDescriptor, bytes, (error, written) => {
      const rest = bytes.subarray(error ? bytes.length : written);
      if (rest.length > 0) return this.writeBytes(rest, releasedBytes);
      if (error) this.dropped += 1;
      this.bufferedBytes -= releasedBytes;
      this.writeNext();
    });
  }

  private dequeueChunk(): string {
    let count = 0;
    let bytes = 0;
    while (count < this.lines.length && bytes < TARGET_WRITE_BYTES) {
      bytes += this.lines[count].length;
      count += 1;
    }
    return this.lines.splice(0, count).join('');
  }
}
