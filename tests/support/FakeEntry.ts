/** An entry that serves evidence about versions which it makes up by the shares of the fleet stream. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request} from 'undici';
import {EvidenceRecorder, getVersionShares} from '../../src/controllers/moves/index.js';
import type {Service} from '../../src/configuration/index.js';
import type {FleetHarness} from './FleetHarness.js';

/** Options of a `FakeEntry`. */
export interface FakeEntryOptions {
  readonly harness: FleetHarness;
  readonly service: Service;
  /** Version whose requests all fail. */
  readonly badVersion?: string;
}

const TICK_MS = 200;
const REQUESTS_PER_TICK = 40;
const ADDRESS = '127.0.0.1';
const WHOLE_PERCENT = 100;

/** Registers itself with the platform's list as an entry. */
export class FakeEntry {
  private readonly options: FakeEntryOptions;
  private readonly recorder = new EvidenceRecorder();
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;
  private sent = 0;

  constructor(options: FakeEntryOptions) {
    this.options = options;
    this.server = createServer((incoming, response) => {
      const url = new URL(incoming.url ?? '/', `http://${ADDRESS}`);
      const isAllowed = incoming.headers.authorization === 'Bearer test-key';
      const windows = this.recorder.getEvidence(Number(url.searchParams.get('fromMs')));
      response.statusCode = isAllowed && url.pathname === '/v1/evidence' ? 200 : 404;
      response.end(JSON.stringify({windows}));
    });
  }

  /** Listens, registers and starts to make up requests. */
  async start(): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, ADDRESS, resolve));
    const {port} = this.server.address() as AddressInfo;
    const url = `${this.options.harness.getUrl('list')}/standin/instances`;
    const instance = {
      instanceId: 'entry-1',
      role: 'entry',
      address: ADDRESS,
      port,
      failureDomain: 'oslo-a',
      machineClass: 'small',
      market: 'on-demand',
      state: 'live',
    };
    const response = await request(url, {method: 'POST', body: JSON.stringify(instance)});
    await response.body.dump();
    this.timer = setInterval(() => void this.sendRequests(), TICK_MS);
  }

  /** Stops. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await new Promise(resolve => this.server.close(resolve));
  }

  private async sendRequests(): Promise<void> {
    const {harness, service, badVersion} = this.options;
    const moves = (await harness.readFleet()).getMoves();
    const shares = getVersionShares(service, moves);
    for (let index = 0; index < REQUESTS_PER_TICK; index++) {
      const place = (this.sent++ * 37) % WHOLE_PERCENT;
      let reached = 0;
      const version = shares.find(({sharePercent}) => (reached += sharePercent) > place);
      if (version) this.addTry(version.name, version.name === badVersion);
    }
  }

  private addTry(version: string, hasFailed: boolean): void {
    const sample = {
      service: this.options.service.name,
      version,
      route: '/v1/chat/completions',
      requestClass: 'chat',
      loadBand: 'low' as const,
      prefillBand: 'tiny' as const,
      hasFailed,
      firstTokenMs: 100 + (this.sent % 10),
      interTokenMs: 20 + (this.sent % 3),
    };
    this.recorder.addTry(sample, Date.now());
  }
}
