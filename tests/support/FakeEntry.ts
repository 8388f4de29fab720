/** A fake entry that serves generated evidence windows, spread over versions by the traffic shares of the fleet stream. */
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
const FULL_PERCENT = 100;

/** Registers in the platform's instance list and serves `/v1/evidence` over HTTP, without taking any requests. */
export class FakeEntry {
  private readonly options: FakeEntryOptions;
  private readonly recorder = new EvidenceRecorder();
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;
  private sentRequests = 0;

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

  /** Listens, registers and starts to record generated attempts. */
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
    this.timer = setInterval(() => void this.recordGeneratedAttempts(), TICK_MS);
  }

  /** Stops recording and closes the server; the registration stays in the list. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await new Promise(resolve => this.server.close(resolve));
  }

  private async recordGeneratedAttempts(): Promise<void> {
    const {harness, service, badVersion} = this.options;
    const moves = (await harness.readFleet()).getMoves();
    const shares = getVersionShares(service, moves);
    for (let index = 0; index < REQUESTS_PER_TICK; index++) {
      // 37 and 100 are coprime, so each run of 100 requests covers every percent once.
      const percent = (this.sentRequests++ * 37) % FULL_PERCENT;
      let cumulativePercent = 0;
      const version = shares.find(
        ({sharePercent}) => (cumulativePercent += sharePercent) > percent,
      );
      if (version) this.recordAttempt(version.name, version.name === badVersion);
    }
  }

  private recordAttempt(version: string, hasFailed: boolean): void {
    const sample = {
      service: this.options.service.name,
      version,
      route: '/v1/chat/completions',
      requestClass: 'chat',
      loadBand: 'low' as const,
      prefillBand: 'tiny' as const,
      hasFailed,
      firstTokenMs: 100 + (this.sentRequests % 10),
      interTokenMs: 20 + (this.sentRequests % 3),
    };
    this.recorder.addAttempt(sample, Date.now());
  }
}
