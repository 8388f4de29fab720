/** A stand-in of the store's log over HTTP: appends with conditions and epochs, reads, newest records. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {decodeKeyed} from '../../platform/records.js';

/** How the stand-in answers. */
export type StandInMode = 'works' | 'refuses' | 'silent' | 'loses-answers';

const LENGTH_BYTES = 4;
const POLL_MS = 10;

interface WriterState {
  epoch: number;
  sequence: number;
  lastAnswer: string;
}

/** One process-wide log with a partition for each topic. */
export class StoreStandIn {
  mode: StandInMode = 'works';
  private readonly topics = new Map<string, Buffer[]>();
  private readonly reads = new Map<string, number>();
  private readonly writers = new Map<string, WriterState>();
  private readonly server: Server = createServer((request, response) => {
    void this.answer(request, response);
  });

  /** Starts the stand-in; returns its address. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends the stand-in and its connections. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Returns the records of a topic.
   * @param topic - The topic.
   */
  getRecords(topic: string): Buffer[] {
    const found = this.topics.get(topic) ?? [];
    this.topics.set(topic, found);
    return found;
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.mode === 'silent') return;
    if (this.mode === 'refuses') return end(response, 503, '');
    const topic = url.searchParams.get('topic') ?? '';
    if (url.pathname.endsWith('append')) {
      const [status, body] = this.append(topic, url.searchParams, Buffer.concat(chunks));
      if (this.mode !== 'loses-answers') end(response, status, body);
    } else if (url.pathname.endsWith('newest')) {
      end(response, 200, this.getNewest(topic));
    } else {
      const from = Number(url.searchParams.get('from'));
      await this.waitForRecords(topic, from, Number(url.searchParams.get('wait_ms') ?? 0));
      this.reads.set(topic, (this.reads.get(topic) ?? 0) + 1);
      this.read(topic, from, response);
    }
  }

  /** Returns how often records of a topic have been read. */
  getReads(topic: string): number {
    return this.reads.get(topic) ?? 0;
  }

  private async waitForRecords(topic: string, from: number, waitMs: number): Promise<void> {
    const endAtMs = Date.now() + waitMs;
    while (this.getRecords(topic).length <= from && Date.now() < endAtMs) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private append(topic: string, query: URLSearchParams, body: Buffer): [number, string] {
    const log = this.getRecords(topic);
    const at = query.get('at');
    if (at !== null && Number(at) !== log.length) return [412, JSON.stringify({end: log.length})];
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('call_seq'));
    const writer = producer === null ? undefined : this.writers.get(`${topic} ${producer}`);
    if (writer && epoch < writer.epoch) return [409, JSON.stringify({reason: 'fenced'})];
    if (writer && epoch === writer.epoch && body.length > 0) {
      if (sequence === writer.sequence) return [200, writer.lastAnswer];
      if (sequence !== writer.sequence + 1) return [409, JSON.stringify({reason: 'seq'})];
    }
    const offset = log.length;
    log.push(...splitRecords(body));
    const answer = JSON.stringify({offset, end: log.length});
    if (producer !== null) {
      const held = body.length === 0 ? -1 : sequence;
      this.writers.set(`${topic} ${producer}`, {epoch, sequence: held, lastAnswer: answer});
    }
    return [200, answer];
  }

  private getNewest(topic: string): string {
    const newest = new Map<string, {key: string; value: string; offset: number}>();
    this.getRecords(topic).forEach((bytes, offset) => {
      const record = decodeKeyed(bytes);
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
  for (let at = 0; at < body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
}

function end(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, {'content-length': String(Buffer.byteLength(body))});
  response.end(body);
}
