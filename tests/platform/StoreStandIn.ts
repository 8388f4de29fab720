/** Stand-in for the platform's store over HTTP: conditional and fenced appends, long-poll reads, newest records. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {decodeKeyedRecord} from '../../platform/records.js';

/**
 * How the stand-in responds. `refuses`: 503 to every call. `silent`: no response to any call. `loses-responses`:
 * appends take effect but get no response.
 */
export type StandInMode = 'works' | 'refuses' | 'silent' | 'loses-responses';

const LENGTH_BYTES = 4;
const POLL_MS = 10;

interface WriterState {
  epoch: number;
  sequence: number;
  lastResponse: string;
}

/** Log in memory with one partition for each topic. */
export class StoreStandIn {
  mode: StandInMode = 'works';
  /** Rises with each restoration; in all responses. */
  private era = 1;
  private readonly topics = new Map<string, Buffer[]>();
  private readonly readCounts = new Map<string, number>();
  private readonly writers = new Map<string, WriterState>();
  private readonly server: Server = createServer((request, response) => {
    void this.handle(request, response);
  });

  /** Starts listening on a free port; returns the IP address and port. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Returns the records of a topic; tests append to the array to simulate other writers.
   * @param topic - Created if it doesn't exist.
   */
  getRecords(topic: string): Buffer[] {
    const found = this.topics.get(topic) ?? [];
    this.topics.set(topic, found);
    return found;
  }

  /**
   * Comes back from a copy: all topics lose their newest records.
   * @param lostRecords - Number of records that a topic loses, by topic.
   */
  restore(lostRecords: Readonly<Record<string, number>>): void {
    this.era += 1;
    this.writers.clear();
    for (const [topic, count] of Object.entries(lostRecords)) {
      const records = this.getRecords(topic);
      records.length -= count;
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.mode === 'silent') return;
    if (this.mode === 'refuses') return end(response, 503, '');
    const topic = url.searchParams.get('topic') ?? '';
    response.setHeader('Store-Era', this.era);
    if (url.pathname.endsWith('append')) {
      const [status, body] = this.append(topic, url.searchParams, Buffer.concat(chunks));
      if (this.mode !== 'loses-responses') end(response, status, body);
    } else if (url.pathname.endsWith('newest')) {
      end(response, 200, this.getNewestRecords(topic));
    } else {
      const from = Number(url.searchParams.get('from'));
      await this.waitForRecords(topic, from, Number(url.searchParams.get('wait_ms') ?? 0));
      this.readCounts.set(topic, (this.readCounts.get(topic) ?? 0) + 1);
      this.read(topic, from, response);
    }
  }

  /** Returns the number of reads of a topic, without those of the newest records. */
  getReadCount(topic: string): number {
    return this.readCounts.get(topic) ?? 0;
  }

  private async waitForRecords(topic: string, from: number, waitMs: number): Promise<void> {
    const endAtMs = Date.now() + waitMs;
    while (this.getRecords(topic).length <= from && Date.now() < endAtMs) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private append(topic: string, query: URLSearchParams, body: Buffer): [number, string] {
    const log = this.getRecords(topic);
    const expectedEnd = query.get('at');
    if (expectedEnd !== null && Number(expectedEnd) !== log.length)
      return [412, JSON.stringify({end: log.length})];
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('call_seq'));
    const writer = producer === null ? undefined : this.writers.get(`${topic} ${producer}`);
    if (writer && epoch < writer.epoch) return [409, JSON.stringify({reason: 'fenced'})];
    if (writer && epoch === writer.epoch && body.length > 0) {
      if (sequence === writer.sequence) return [200, writer.lastResponse];
      if (sequence !== writer.sequence + 1) return [409, JSON.stringify({reason: 'seq'})];
    }
    const offset = log.length;
    log.push(...splitRecords(body));
    const response = JSON.stringify({offset, end: log.length});
    if (producer !== null) {
      const lastSequence = body.length === 0 ? -1 : sequence;
      this.writers.set(`${topic} ${producer}`, {
        epoch,
        sequence: lastSequence,
        lastResponse: response,
      });
    }
    return [200, response];
  }

  private getNewestRecords(topic: string): string {
    const newest = new Map<string, {key: string; value: string; offset: number}>();
    this.getRecords(topic).forEach((bytes, offset) => {
      const record = decodeKeyedRecord(bytes);
      if (!record) return;
      const {key, value} = record;
      if (value) newest.set(key, {key, value: value.toString('base64'), offset});
      else newest.delete(key);
    });
    const end = this.getRecords(topic).length;
    return JSON.stringify({items: [...newest.values()], has_more: false, end});
  }

  private read(topic: string, from: number, response: ServerResponse): void {
    const log = this.getRecords(topic);
    if (from > log.length) return end(response, 410, JSON.stringify({first: 0}));
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(log.length));
    const records = log.slice(from).flatMap(bytes => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(bytes.length);
      return [length, bytes];
    });
    response.end(Buffer.concat([header, ...records]));
  }
}

function splitRecords(body: Buffer): readonly Buffer[] {
  const records: Buffer[] = [];
  for (let position = 0; position < body.length;) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position);
    records.push(body.subarray(position + LENGTH_BYTES, end));
    position = end;
  }
  return records;
}

function end(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, {'content-length': String(Buffer.byteLength(body))});
  response.end(body);
}
