/** Caller that sends malformed HTTP requests over raw TCP connections. */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {AbusePlan} from '../language/index.js';
import type {AbuseKind} from './abuseKinds.js';

/** Outcome of one abusive request. */
export interface AbuseRecord {
  readonly kind: AbuseKind;
  /** Unique text in the request, by which its runs are found in the ledgers. */
  readonly marker: string;
  /** Status of the response; absent if there was none. */
  readonly status?: number;
  /** Field `run` of the refusal: whether the request ran. */
  readonly run?: string;
}

/** Options of an `AbusiveCaller`. */
export interface AbusiveCallerOptions {
  readonly plan: AbusePlan;
  readonly workspaceKey: string;
  /** Returns the URLs of the entries, which are called in turn. */
  readonly getEntryUrls: () => readonly string[];
}

const MS_PER_SECOND = 1_000;
const RESPONSE_TIMEOUT_MS = 20_000;
const OVERSIZE_BYTES = 5_000_000;
const CHUNK_BYTES = 100_000;
const HEX = 16;
const LONG_HEADER_BYTES = 20_000;
const MISSING_BYTES = 500;

/** Sends abusive requests at a fixed rate. */
export class AbusiveCaller {
  private readonly options: AbusiveCallerOptions;

  constructor(options: AbusiveCallerOptions) {
    this.options = options;
  }

  /** Sends the planned requests, at least one of each kind, and resolves when all connections are closed. */
  async run(): Promise<readonly AbuseRecord[]> {
    const {kinds, ratePerSecond, durationMs} = this.options.plan;
    const count = Math.max(Math.round((ratePerSecond * durationMs) / MS_PER_SECOND), kinds.length);
    const abuses: Array<Promise<AbuseRecord>> = [];
    for (let index = 0; index < count; index++) {
      abuses.push(this.abuse(kinds[index % kinds.length], index));
      await sleep(MS_PER_SECOND / ratePerSecond);
    }
    return Promise.all(abuses);
  }

  private async abuse(kind: AbuseKind, index: number): Promise<AbuseRecord> {
    const urls = this.options.getEntryUrls();
    const {hostname, port} = new URL(urls[index % urls.length]);
    const marker = `abuse-${kind}-${index}.`;
    const socket = connect(Number(port), hostname);
    let text = '';
    socket.setTimeout(RESPONSE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('connect', () => this.sendRequest(socket, kind, marker));
    socket.on('data', data => {
      text += data.toString();
    });
    await new Promise(resolve => {
      socket.on('close', resolve);
    });
    const {status, run} = parseResponse(text);
    return {kind, marker, status, run};
  }

  private sendRequest(socket: Socket, kind: AbuseKind, marker: string): void {
    const head = this.createHead(marker);
    const body = JSON.stringify({call: marker});
    const createHeadWithLength = (bytes: number) => `${head}content-length: ${bytes}\r\n\r\n`;
    switch (kind) {
      case 'truncated-body':
        socket.end(createHeadWithLength(body.length + MISSING_BYTES) + body);
        return;
      case 'broken-json':
        this.sendBrokenJson(socket, marker);
        return;
      case 'oversize-body':
        socket.write(createHeadWithLength(OVERSIZE_BYTES) + body);
        return;
      case 'oversize-chunks':
        sendChunks(socket, head);
        return;
      case 'slow-body':
        socket.write(createHeadWithLength(body.length + MISSING_BYTES) + body);
        return;
      case 'long-headers':
        socket.write(`${head}x-filler: ${'y'.repeat(LONG_HEADER_BYTES)}\r\n\r\n`);
        return;
      case 'slow-headers':
        socket.write(head);
        return;
    }
  }

  /** Sends a chat request, since the entry parses its body; it forwards a booking's body unread. */
  private sendBrokenJson(socket: Socket, marker: string): void {
    const body = `{"model": "${marker}`;
    const path = '/v1/chat/completions';
    const head = this.createHead(marker, path);
    socket.write(`${head}content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`);
  }

  private createHead(marker: string, path?: string): string {
    const {plan, workspaceKey} = this.options;
    return [
      `POST ${path ?? `/v1/services/${plan.service}/bookings`} HTTP/1.1`,
      'host: entry',
      `authorization: Bearer ${workspaceKey}`,
      `idempotency-key: ${marker}`,
      'content-type: application/json',
      '',
    ].join('\r\n');
  }
}

function sendChunks(socket: Socket, head: string): void {
  socket.write(`${head}transfer-encoding: chunked\r\n\r\n`);
  const chunk = `${CHUNK_BYTES.toString(HEX)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
  for (let bytes = 0; bytes < OVERSIZE_BYTES; bytes += CHUNK_BYTES) socket.write(chunk);
}

function parseResponse(text: string): {readonly status?: number; readonly run?: string} {
  const status = /^HTTP\/1\.1 (\d{3})/.exec(text)?.[1];
  const run = /"run":"([a-z-]+)"/.exec(text)?.[1];
  return {status: status === undefined ? undefined : Number(status), run};
}
