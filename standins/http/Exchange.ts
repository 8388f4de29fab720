/** One HTTP call to a stand-in: its request, its response, and the faults of its connection. */
import type {IncomingMessage, ServerResponse} from 'node:http';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** An HTTP call in progress; on a stalled connection nothing is sent. */
export class Exchange {
  readonly method: string;
  readonly url: URL;
  private readonly request: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly isStalled: () => boolean;
  private isResponseDropped = false;

  constructor(request: IncomingMessage, response: ServerResponse, isStalled: () => boolean) {
    this.request = request;
    this.response = response;
    this.isStalled = isStalled;
    this.method = request.method ?? 'GET';
    this.url = new URL(request.url ?? '/', 'http://standin');
  }

  /**
   * Returns the first value of a header; undefined if it is absent.
   * @param name - Name in lower case.
   */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** Returns a query parameter as a number; `fallback` if it is absent, NaN if it isn't a number. */
  getQueryNumber(name: string, fallback: number): number {
    const text = this.url.searchParams.get(name);
    return text === null ? fallback : Number(text);
  }

  /** Reads the body as UTF-8; throws if it is over 16 MiB. */
  async readText(): Promise<string> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of this.request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) throw new Error('request body is over 16 MiB');
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString('utf8');
  }

  /** Reads the body as JSON; an empty body is read as `{}`. */
  async readJson(): Promise<unknown> {
    const text = await this.readText();
    return text === '' ? {} : (JSON.parse(text) as unknown);
  }

  /** Makes `sendJson` destroy the connection instead of sending the response. */
  dropResponse(): void {
    this.isResponseDropped = true;
  }

  /** Sends a JSON response, unless a response has already started. */
  sendJson(status: number, value: unknown): void {
    if (this.isResponseDropped) {
      this.destroyConnection();
      return;
    }
    if (this.isStalled() || this.response.headersSent) return;
    this.response.writeHead(status, {'content-type': 'application/json'});
    this.response.end(JSON.stringify(value));
  }

  /** Starts a response of server-sent events. */
  startEvents(): void {
    if (this.isStalled() || this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    });
    this.response.flushHeaders();
  }

  /**
   * Sends one server-sent event.
   * @param data - Text without line breaks.
   */
  sendEvent(data: string): void {
    if (!this.isStalled()) this.response.write(`data: ${data}\n\n`);
  }

  /** Ends a response of server-sent events. */
  endEvents(): void {
    if (!this.isStalled()) this.response.end();
  }

  /** Closes the connection without a response. */
  destroyConnection(): void {
    this.request.socket.destroy();
  }

  /** Registers a callback for when the connection closes before the response is complete; not called on a stalled connection. */
  onAborted(callback: () => void): void {
    this.response.on('close', () => {
      if (!this.response.writableFinished && !this.isStalled()) callback();
    });
  }
}
