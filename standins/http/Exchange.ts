/** One call of a stand-in: its request, its answer, and whether its connection went silent. */
import type {IncomingMessage, ServerResponse} from 'node:http';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A call being answered. */
export class Exchange {
  readonly method: string;
  readonly url: URL;
  private readonly request: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly isSilent: () => boolean;
  private isAnswerLost = false;

  constructor(request: IncomingMessage, response: ServerResponse, isSilent: () => boolean) {
    this.request = request;
    this.response = response;
    this.isSilent = isSilent;
    this.method = request.method ?? 'GET';
    this.url = new URL(request.url ?? '/', 'http://standin');
  }

  /** Returns a header's value; undefined where it is absent. */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** Returns a query parameter as a number. */
  getNumber(name: string, fallback: number): number {
    const text = this.url.searchParams.get(name);
    return text === null ? fallback : Number(text);
  }

  /** Reads the whole body as text. */
  async readText(): Promise<string> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of this.request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) throw new Error('body is too large');
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString('utf8');
  }

  /** Reads the whole body as JSON. */
  async readJson(): Promise<unknown> {
    const text = await this.readText();
    return text === '' ? {} : (JSON.parse(text) as unknown);
  }

  /** Makes the connection break where the answer would begin. */
  loseAnswer(): void {
    this.isAnswerLost = true;
  }

  /** Answers with JSON. */
  sendJson(status: number, value: unknown): void {
    if (this.isAnswerLost) {
      this.breakConnection();
      return;
    }
    if (this.isSilent() || this.response.headersSent) return;
    this.response.writeHead(status, {'content-type': 'application/json'});
    this.response.end(JSON.stringify(value));
  }

  /** Starts an answer of server-sent events. */
  startEvents(): void {
    if (this.isSilent() || this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    });
    this.response.flushHeaders();
  }

  /** Sends one server-sent event. */
  sendEvent(data: string): void {
    if (!this.isSilent()) this.response.write(`data: ${data}\n\n`);
  }

  /** Ends an answer of server-sent events. */
  end(): void {
    if (!this.isSilent()) this.response.end();
  }

  /** Breaks the connection without an answer. */
  breakConnection(): void {
    this.request.socket.destroy();
  }

  /** Calls back when the other end closes before the answer ended; never on a silent connection. */
  onClosed(callback: () => void): void {
    this.response.on('close', () => {
      if (!this.response.writableFinished && !this.isSilent()) callback();
    });
  }
}
