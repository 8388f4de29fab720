/** A fake of log service, instance list and one entry's status on one local port, for tests of the operators' client. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemSleep} from '../../src/log/index.js';
import type {LogStream} from '../../src/records/index.js';
import {FakeLog} from './FakeLog.js';

/** Options of a `FakePlatformServer`. */
export interface FakePlatformOptions {
  readonly deploymentKey: string;
  /** Returns the configuration revision that the entry reports as in force. */
  readonly getEntryRevision: () => number;
}

/** Serves the platform's interfaces on an ephemeral port; failures are answered with status 503. */
export class FakePlatformServer {
  readonly log = new FakeLog({getNowMs: Date.now, sleep: systemSleep});
  private readonly options: FakePlatformOptions;
  private readonly server: Server;

  constructor(options: FakePlatformOptions) {
    this.options = options;
    this.server = createServer((request, response) => void this.handle(request, response));
  }

  /** Listens and returns the base URL of all interfaces. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${this.getPort()}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body = await this.createResponseBody(
        request,
        new URL(request.url ?? '', 'http://127.0.0.1'),
      );
      response.writeHead(200).end(JSON.stringify(body));
    } catch (error) {
      response.writeHead(503).end(String(error));
    }
  }

  private async createResponseBody(
    request: IncomingMessage,
    {pathname, searchParams}: URL,
  ): Promise<object> {
    if (pathname === '/v1/list') return this.createList();
    if (pathname === '/v1/status') return this.createStatus(request);
    const stream = pathname.split('/')[3] as LogStream;
    if (request.method === 'POST') {
      const {payloads} = JSON.parse(await readBody(request)) as {payloads: string[]};
      return {firstOffset: await this.log.append(stream, payloads)};
    }
    return this.log.read(stream, {
      fromOffset: Number(searchParams.get('from')),
      maxRecords: Number(searchParams.get('max')),
      waitMs: Number(searchParams.get('waitMs')),
    });
  }

  private createList(): object {
    const entry = {
      instanceId: 'entry-1',
      role: 'entry',
      address: '127.0.0.1',
      port: this.getPort(),
      failureDomain: 'ostlandet-a',
      machineClass: 'cpu-small',
      market: 'reclaimable',
      state: 'live',
    };
    return {instances: [entry], asOfMs: Date.now()};
  }

  private createStatus(request: IncomingMessage): object {
    const {deploymentKey, getEntryRevision} = this.options;
    if (request.headers.authorization !== `Bearer ${deploymentKey}`) throw new Error('no key');
    return {instanceId: 'entry-1', configurationRevision: getEntryRevision()};
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}
