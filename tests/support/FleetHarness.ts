/** A platform of stand-ins with fleet daemons in this process, for tests of the daemons' wiring. */
import {spawn, type ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {createStartBackend} from '../../standins/bin/startedBackends.js';
import type {FaultsInput} from '../../standins/index.js';
import {Platform, type Price} from '../../standins/platform/index.js';
import type {Instance} from '../../src/blackboard/index.js';
import type {Configuration} from '../../src/configuration/index.js';
import {FleetDaemon} from '../../src/fleet/index.js';
import {FleetFold} from '../../src/folds/index.js';
import {LogClient} from '../../src/log/index.js';
import {decodeRecord, encodeRecord, type LogBody, type LogStream} from '../../src/records/index.js';

const FLEET_BINARY = fileURLToPath(new URL('../../src/bin/buckthorn-fleet.js', import.meta.url));
const ADDRESS = '127.0.0.1';
/** Term of the daemons' lease. */
export const LEASE_TERM_MS = 1_000;
const SNAPSHOT_INTERVAL_MS = 300_000;
const POLL_MS = 50;
const MAX_RECORDS = 10_000;

/** A start as the cloud's ledger shows it. */
export interface LedgerStart {
  readonly instanceId: string;
  readonly clientToken: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: string;
}

/** What the cloud's ledger shows. */
export interface CloudLedger {
  readonly starts: readonly LedgerStart[];
  readonly refusedStarts: ReadonlyArray<Omit<LedgerStart, 'instanceId'>>;
  readonly stops: ReadonlyArray<{readonly instanceId: string}>;
}

/** A load as the weight store's ledger shows it. */
export interface LedgerLoad {
  readonly instanceId: string;
  readonly fencingToken: number;
}

/** Options of a `FleetHarness`. */
export interface FleetHarnessOptions {
  /** Age at which the log drops a record. */
  readonly retentionMs?: number;
  /** Longest time without a snapshot in a stream. */
  readonly snapshotIntervalMs?: number;
}

/** Runs the platform and the daemons of one test. */
export class FleetHarness {
  private readonly options: FleetHarnessOptions;
  private readonly platform: Platform;
  private readonly daemons: FleetDaemon[] = [];
  private log: LogClient | undefined;
  private sequence = 0;

  constructor(prices: readonly Price[], options: FleetHarnessOptions = {}) {
    this.options = options;
    const startBackend = createStartBackend({
      address: ADDRESS,
      seed: 1,
      timeScale: 1,
      plainServices: 'booking',
    });
    this.platform = new Platform({
      address: ADDRESS,
      ports: {log: 0, cloud: 0, list: 0, weights: 0},
      maxAppendsPerSecond: 300,
      retentionMs: options.retentionMs ?? 600_000,
      listLagMs: 200,
      startDelayMs: 200,
      weightBytesPerSecond: 10_000,
      weightVersionBytes: 1_000,
      prices,
      startBackend,
      random: () => 0.5,
    });
  }

  /** Starts the platform and publishes a configuration where one is given. */
  async start(configuration?: Configuration): Promise<void> {
    await this.platform.start();
    this.log = new LogClient({url: this.getUrl('log'), timeoutMs: 2_000});
    if (!configuration) return;
    const body = {replacesRevision: 0, publishedBy: 'test', configuration};
    await this.append('configuration', {kind: 'configuration', ...body});
  }

  /** Stops all daemons and the platform. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.stop()));
    await this.log?.close();
    await this.platform.stop();
  }

  /** Starts a daemon. */
  startDaemon(instanceId: string): FleetDaemon {
    const daemon = new FleetDaemon({
      instanceId,
      address: ADDRESS,
      failureDomain: 'oslo-a',
      logUrl: this.getUrl('log'),
      cloudUrl: this.getUrl('cloud'),
      listUrl: this.getUrl('list'),
      weightsUrl: this.getUrl('weights'),
      deploymentKey: 'test-key',
      statsdAddress: undefined,
      statsdPort: 0,
      logLevel: 'error',
      leaseTermMs: LEASE_TERM_MS,
      snapshotIntervalMs: this.options.snapshotIntervalMs ?? SNAPSHOT_INTERVAL_MS,
    });
    this.daemons.push(daemon);
    daemon.start();
    return daemon;
  }

  /** Starts a daemon as a process of its own, which a test may freeze; the test ends it. */
  spawnDaemon(instanceId: string): ChildProcess {
    const urls = ['log', 'cloud', 'list', 'weights'] as const;
    const args = urls.flatMap(service => [`--${service}-url`, this.getUrl(service)]);
    const names = ['--instance-id', instanceId, '--address', ADDRESS, '--failure-domain', 'oslo-a'];
    const rest = ['--deployment-key', 'test-key', '--lease-term-ms', String(LEASE_TERM_MS)];
    const logLevel = ['--log-level', 'error'];
    return spawn(process.execPath, [FLEET_BINARY, ...names, ...args, ...rest, ...logLevel], {
      stdio: 'ignore',
    });
  }

  /** Stops a daemon as SIGTERM does. */
  async stopDaemon(daemon: FleetDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    await daemon.stop();
  }

  /** Appends a record. */
  async append(stream: LogStream, body: LogBody): Promise<void> {
    this.sequence += 1;
    const record = {writer: 'harness', sequence: this.sequence, body};
    await this.getLog().append(stream, [encodeRecord(record)]);
  }

  /** Returns the state of the fleet stream. */
  async readFleet(): Promise<FleetFold> {
    const options = {fromOffset: 0, maxRecords: MAX_RECORDS, waitMs: 0};
    const {records, earliestOffset} = await this.getLog().read('fleet', options);
    const fold = new FleetFold();
    if (earliestOffset > 0) fold.markIncomplete();
    for (const {offset, payload} of records) {
      fold.applyRecord({offset, record: decodeRecord(payload)});
    }
    return fold;
  }

  /** Returns the offset of the earliest record that the log still has. */
  async getEarliestOffset(stream: LogStream): Promise<number> {
    const options = {fromOffset: 0, maxRecords: 1, waitMs: 0};
    return (await this.getLog().read(stream, options)).earliestOffset;
  }

  /** Switches the log's outage on or off. */
  async setLogOutage(hasOutage: boolean): Promise<void> {
    await call('PUT', `${this.getUrl('log')}/standin/faults`, {hasOutage});
  }

  /** Replaces the faults of the cloud. */
  async setCloudFaults(faults: FaultsInput): Promise<void> {
    await call('PUT', `${this.getUrl('cloud')}/standin/faults`, faults);
  }

  /** Takes an instance away as a failure does. */
  async loseInstance(instanceId: string): Promise<void> {
    await call('DELETE', `${this.getUrl('cloud')}/v1/instances/${instanceId}`);
  }

  /** Announces that an instance is reclaimed at once. */
  async reclaimInstance(instanceId: string): Promise<void> {
    const notice = {instanceIds: [instanceId], graceMs: 0};
    await call('POST', `${this.getUrl('cloud')}/standin/notices`, notice);
  }

  /** Returns the live instances as the cloud lists them. */
  async getLiveInstances(): Promise<readonly Instance[]> {
    const answer = await call('GET', `${this.getUrl('cloud')}/v1/instances`);
    const {instances} = answer as {readonly instances: readonly Instance[]};
    return instances.filter(({state}) => state === 'live');
  }

  /** Returns what the cloud was asked for. */
  async getCloudLedger(): Promise<CloudLedger> {
    return (await call('GET', `${this.getUrl('cloud')}/standin/ledger`)) as CloudLedger;
  }

  /** Returns the loads that the weight store was asked for, in order. */
  async getLoads(): Promise<readonly LedgerLoad[]> {
    const ledger = await call('GET', `${this.getUrl('weights')}/standin/ledger`);
    return (ledger as {readonly loads: readonly LedgerLoad[]}).loads;
  }

  private getLog(): LogClient {
    if (!this.log) throw new Error('the platform was not started');
    return this.log;
  }

  /** Returns the URL of a service of the platform. */
  getUrl(service: 'log' | 'cloud' | 'list' | 'weights'): string {
    return `http://${ADDRESS}:${this.platform.getPorts()[service]}`;
  }
}

/**
 * Waits for a condition.
 * @param withinMs - Longest wait.
 * @param check - Returns whether it holds.
 * @returns Whether it held in time.
 */
export async function waitFor(
  withinMs: number,
  check: () => Promise<boolean> | boolean,
): Promise<boolean> {
  const endMs = Date.now() + withinMs;
  while (Date.now() < endMs) {
    if (await check()) return true;
    await sleep(POLL_MS);
  }
  return false;
}

async function call(method: 'GET' | 'POST' | 'PUT' | 'DELETE', url: string, body?: object) {
  const response = await request(url, {method, body: body && JSON.stringify(body)});
  if (response.statusCode !== 200) throw new Error(`${method} ${url}: ${response.statusCode}`);
  return response.body.json();
}
