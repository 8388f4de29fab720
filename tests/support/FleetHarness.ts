/** Runs a stand-in platform and fleet daemons in this process, for integration tests of the daemons. */
import {spawn, type ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {createStartBackend} from '../../standins/bin/cloudBackends.js';
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
/** Lease term of the daemons, in milliseconds. */
export const LEASE_TERM_MS = 1_000;
const SNAPSHOT_INTERVAL_MS = 300_000;
const POLL_MS = 50;
const MAX_RECORDS = 10_000;

/** An instance start in the cloud's ledger. */
export interface LedgerStart {
  readonly instanceId: string;
  readonly clientToken: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: string;
}

/** Instances that the cloud started, refused to start and stopped. */
export interface CloudLedger {
  readonly starts: readonly LedgerStart[];
  readonly refusedStarts: ReadonlyArray<Omit<LedgerStart, 'instanceId'>>;
  readonly stops: ReadonlyArray<{readonly instanceId: string}>;
}

/** A weight load in the weight store's ledger. */
export interface LedgerLoad {
  readonly instanceId: string;
  readonly fencingToken: number;
}

/** Options of a `FleetHarness`. */
export interface FleetHarnessOptions {
  /** Age in milliseconds at which the log drops a record; 600,000 if undefined. */
  readonly retentionMs?: number;
  /** Longest time in milliseconds between snapshots of a stream; 300,000 if undefined. */
  readonly snapshotIntervalMs?: number;
}

/** Starts, stops and inspects the platform and the daemons of one test. */
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

  /** Starts the platform and publishes the configuration if one is passed. */
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

  /** Starts a daemon in this process. */
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

  /** Starts a daemon as a child process, so that a test can freeze it; the test must end it. */
  spawnDaemon(instanceId: string): ChildProcess {
    const urls = ['log', 'cloud', 'list', 'weights'] as const;
    const urlFlags = urls.flatMap(service => [`--${service}-url`, this.getUrl(service)]);
    const identityFlags = [
      '--instance-id',
      instanceId,
      '--address',
      ADDRESS,
      '--failure-domain',
      'oslo-a',
    ];
    const keyAndLeaseFlags = [
      '--deployment-key',
      'test-key',
      '--lease-term-ms',
      String(LEASE_TERM_MS),
    ];
    const logFlags = ['--log-level', 'error'];
    return spawn(
      process.execPath,
      [FLEET_BINARY, ...identityFlags, ...urlFlags, ...keyAndLeaseFlags, ...logFlags],
      {stdio: 'ignore'},
    );
  }

  /** Stops a daemon gracefully, as SIGTERM does. */
  async stopDaemon(daemon: FleetDaemon): Promise<void> {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    await daemon.stop();
  }

  /** Appends a record of the writer `harness` with the next sequence number. */
  async append(stream: LogStream, body: LogBody): Promise<void> {
    this.sequence += 1;
    const record = {writer: 'harness', sequence: this.sequence, body};
    await this.getLog().append(stream, [encodeRecord(record)]);
  }

  /** Reads the fleet stream from its earliest offset and returns the folded state. */
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

  /** Starts or ends an outage of the log. */
  async setLogOutage(hasOutage: boolean): Promise<void> {
    await call('PUT', `${this.getUrl('log')}/standin/faults`, {hasOutage});
  }

  /** Replaces all injected faults of the cloud. */
  async setCloudFaults(faults: FaultsInput): Promise<void> {
    await call('PUT', `${this.getUrl('cloud')}/standin/faults`, faults);
  }

  /** Removes an instance without notice, as a machine failure does. */
  async terminateInstance(instanceId: string): Promise<void> {
    await call('DELETE', `${this.getUrl('cloud')}/v1/instances/${instanceId}`);
  }

  /** Sends a reclaim notice with a grace period of 0 for an instance. */
  async reclaimInstance(instanceId: string): Promise<void> {
    const notice = {instanceIds: [instanceId], graceMs: 0};
    await call('POST', `${this.getUrl('cloud')}/standin/notices`, notice);
  }

  /** Returns the live instances as the cloud lists them. */
  async getLiveInstances(): Promise<readonly Instance[]> {
    const response = await call('GET', `${this.getUrl('cloud')}/v1/instances`);
    const {instances} = response as {readonly instances: readonly Instance[]};
    return instances.filter(({state}) => state === 'live');
  }

  /** Returns the starts and stops that the cloud was asked for. */
  async getCloudLedger(): Promise<CloudLedger> {
    return (await call('GET', `${this.getUrl('cloud')}/standin/ledger`)) as CloudLedger;
  }

  /** Returns the loads that the weight store was asked for, in order. */
  async getLoads(): Promise<readonly LedgerLoad[]> {
    const ledger = await call('GET', `${this.getUrl('weights')}/standin/ledger`);
    return (ledger as {readonly loads: readonly LedgerLoad[]}).loads;
  }

  private getLog(): LogClient {
    if (!this.log) throw new Error('the platform has not been started');
    return this.log;
  }

  /** Returns the base URL of a platform service. */
  getUrl(service: 'log' | 'cloud' | 'list' | 'weights'): string {
    return `http://${ADDRESS}:${this.platform.getPorts()[service]}`;
  }
}

/**
 * Polls a condition until it holds.
 * @param withinMs - Longest wait in milliseconds.
 * @returns Whether the condition held in time.
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
