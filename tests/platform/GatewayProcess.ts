/** Runs the bundled gateway as a process of its own, against stand-ins for the store and for backend servers. */
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Test} from 'tap';
import {encodeKeyedRecord} from '../../platform/records.js';
import {StoreStandIn} from './StoreStandIn.js';

const WAIT_MS = 10_000;
const POLL_MS = 50;
const KIB = 1_024;
/** Loopback address derived from the process id, so that the fixed ports don't collide with other test processes. */
export const OWN_IP = `127.${50 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.1`;
export const PORTS = {
  traffic: 8_221,
  ready: 8_224,
  directory: 8_220,
  gossip: 7_600,
  metrics: 7_601,
} as const;

/** A complete response to a request. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
}

/**
 * Sends a request to a port of the gateway, on a new connection. Rejects if the connection ends without a response.
 * @param port - One of `PORTS`.
 */
export function sendRequest(
  port: number,
  path: string,
  headers: Record<string, string> = {},
): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({host: OWN_IP, port, path, headers, agent: false}, response => {
      let body = '';
      response.on('data', data => (body += String(data)));
      response.on('error', reject);
      response.on('end', () =>
        resolve({status: response.statusCode ?? 0, headers: response.headers, body}),
      );
    });
    request.on('error', reject);
    request.end();
  });
}

/** Waits until a condition is true; throws if it takes too long. */
export async function waitFor(check: () => Promise<boolean> | boolean): Promise<void> {
  const endAtMs = Date.now() + WAIT_MS;
  while (!(await check())) {
    if (Date.now() > endAtMs) throw new Error('the condition did not become true in time');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

/** Adds a keyed record to a topic of the store, as the operator and the backend servers do. */
export function addRecord(store: StoreStandIn, topic: string, key: string, value: unknown): void {
  store.getRecords(topic).push(encodeKeyedRecord(key, Buffer.from(JSON.stringify(value))));
}

/** Registers a backend server. */
export function addServer(store: StoreStandIn, id: string, service: string, port: number): void {
  addRecord(store, 'keyed.servers', id, {
    service,
    addr: `127.0.0.1:${port}`,
    zone: 'a',
    version: 'v1',
    slots: 128,
    state: 'ready',
    cold_left_ms: 0,
    call_seq: 1,
  });
}

/** Limits of a machine, as the settings file names them. */
export interface ProcessLimits {
  readonly memory_mb: number;
  readonly max_fds: number;
}

/** What a gateway process is started with. */
export interface GatewayProcessOptions {
  /** Holds the configuration and the backend servers' entries before the start. */
  readonly store: StoreStandIn;
  readonly graceSeconds: number;
  /** Options of Node.js before the bundle. */
  readonly nodeOptions: readonly string[];
  /** Limits in the settings file; the process uses its defaults if undefined. */
  readonly limits?: ProcessLimits;
}

/** A gateway process that is ready for callers. */
export class GatewayProcess {
  readonly process: ChildProcess;
  private output = '';
  private sampledPeakBytes = 0;

  private constructor(child: ChildProcess) {
    this.process = child;
    child.stdout?.on('data', data => (this.output += String(data)));
    child.stderr?.on('data', data => (this.output += String(data)));
  }

  /** Bundles the gateway, starts it and waits until it is ready; everything ends with the test. */
  static async start(t: Test, options: GatewayProcessOptions): Promise<GatewayProcess> {
    const {store, graceSeconds, nodeOptions, limits} = options;
    const storeAddress = await store.start();
    t.teardown(() => store.stop());
    const folder = mkdtempSync(join(tmpdir(), 'gateway-'));
    t.teardown(() => rmSync(folder, {recursive: true}));
    const bundle = join(folder, 'gateway.mjs');
    execFileSync(process.execPath, ['scripts/bundle.mjs', 'dist/platform/main.js', bundle]);
    const settings = join(folder, 'settings.json');
    writeFileSync(
      settings,
      JSON.stringify({...createSettings(storeAddress, graceSeconds), limits}),
    );
    const child = spawn(process.execPath, [...nodeOptions, bundle], {
      env: {...process.env, BUCKTHORNGW_CONFIG: settings},
    });
    t.teardown(() => child.kill('SIGKILL'));
    const gateway = new GatewayProcess(child);
    await waitFor(async () => {
      const response = await sendRequest(PORTS.ready, '/v1/readyz').catch(() => undefined);
      return response?.status === 200;
    });
    return gateway;
  }

  /** Whether the process has neither exited nor been killed. */
  get isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  /** Everything that the process has written to its standard output and error. */
  getOutput(): string {
    return this.output;
  }

  /**
   * Returns the largest resident memory of the process since its start, in bytes. That is the largest sample if the
   * process has ended, or if the operating system keeps no peak.
   */
  getPeakMemoryBytes(): number {
    if (this.isRunning) this.sampledPeakBytes = Math.max(this.sampledPeakBytes, this.readMemory());
    return this.sampledPeakBytes;
  }

  /** Samples the resident memory; returns the number of open descriptors, or 0 if the process has ended. */
  sampleUse(): number {
    if (!this.isRunning) return 0;
    this.getPeakMemoryBytes();
    try {
      return readdirSync(`/proc/${this.process.pid}/fd`).length;
    } catch {
      // The process has ended since the check.
      return 0;
    }
  }

  /** Returns the peak of the resident memory if the operating system keeps it, and otherwise its present value. */
  private readMemory(): number {
    const {pid} = this.process;
    try {
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      const [, peakKb] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
      return Number(peakKb ?? execFileSync('ps', ['-o', 'rss=', '-p', String(pid)])) * KIB;
    } catch {
      // The process has ended since the check.
      return 0;
    }
  }
}

/** Returns the options of Node.js with which the gateway is deployed. */
export function readDeployedNodeOptions(): readonly string[] {
  const [, command] =
    /^run = "node (.*) \S+"$/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  return command.split(' ');
}

function createSettings(storeAddress: string, graceSeconds: number): object {
  return {
    node: 'edge-a-1',
    ip: OWN_IP,
    zone: 'a',
    zones: {a: 'north'},
    listen: {
      front: `${OWN_IP}:${PORTS.traffic}`,
      ready: `${OWN_IP}:${PORTS.ready}`,
      directory: `${OWN_IP}:${PORTS.directory}`,
    },
    port_range: [PORTS.gossip, PORTS.metrics],
    bootstrap: true,
    bounds: {grace_s: graceSeconds},
    provider: {addr: storeAddress},
  };
}
