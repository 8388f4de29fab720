/** A complete deployment as local processes: platform stand-ins, backend servers, entries and fleet daemons. */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {ManagedProcess, type ReadyLine} from './ManagedProcess.js';

/** A backend server to start. */
export interface BackendPlan {
  readonly instanceId: string;
  readonly kind: 'engine' | 'plain';
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  /** Additional flags of the stand-in. */
  readonly flags?: readonly string[];
}

/** An entry or fleet daemon to start. */
export interface DaemonPlan {
  readonly instanceId: string;
  readonly role: 'entry' | 'fleet';
  readonly failureDomain: string;
  /** Additional flags of the daemon. */
  readonly flags?: readonly string[];
}

/** Options of a `Deployment`. */
export interface DeploymentOptions {
  readonly backends: readonly BackendPlan[];
  readonly daemons: readonly DaemonPlan[];
  readonly deploymentKey: string;
  /** Additional flags of the platform stand-in. */
  readonly platformFlags?: readonly string[];
  /** Folder for the log files of the processes; without it, no log files are written. */
  readonly logFolder?: string;
}

/** Base URLs of the platform stand-ins. */
export interface PlatformUrls {
  readonly log: string;
  readonly cloud: string;
  readonly list: string;
  readonly weights: string;
}

const DIST = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 30_000;
const LOOPBACK = '127.0.0.1';

/** Starts and stops the processes of a deployment; each is identified by its instance id. */
export class Deployment {
  private readonly options: DeploymentOptions;
  private readonly processes = new Map<string, ManagedProcess>();
  private platformUrls: PlatformUrls | undefined;

  constructor(options: DeploymentOptions) {
    this.options = options;
  }

  /** Starts the platform, then the backend servers, then the daemons; each step waits until its processes are ready. */
  async start(): Promise<void> {
    await this.startPlatform();
    await Promise.all(this.options.backends.map(plan => this.startBackend(plan)));
    await Promise.all(this.options.daemons.map(plan => this.startDaemon(plan)));
  }

  /** Stops the daemons, then all other processes; returns the names of processes that had to be killed. */
  async stop(): Promise<readonly string[]> {
    const daemonIds = new Set(this.options.daemons.map(({instanceId}) => instanceId));
    const all = [...this.processes];
    const killedDaemons = await stopAll(all.filter(([name]) => daemonIds.has(name)));
    const killedOthers = await stopAll(all.filter(([name]) => !daemonIds.has(name)));
    return [...killedDaemons, ...killedOthers];
  }

  /** Returns the base URLs of the platform stand-ins; throws before the platform is started. */
  getPlatformUrlsOrThrow(): PlatformUrls {
    if (!this.platformUrls) throw new Error('the platform has not been started');
    return this.platformUrls;
  }

  /**
   * Returns the last process started for an instance.
   * @param instanceId - Instance id, or `platform` for the platform stand-in.
   */
  getProcessOrThrow(instanceId: string): ManagedProcess {
    const managedProcess = this.processes.get(instanceId);
    if (!managedProcess) throw new Error(`no process was started for instance ${instanceId}`);
    return managedProcess;
  }

  /** Returns the base URL of an entry or backend server by its instance id; throws if it isn't ready. */
  getUrl(instanceId: string): string {
    const {port} = this.getProcessOrThrow(instanceId).getReadyLineOrThrow();
    return `http://${LOOPBACK}:${port ?? 0}`;
  }

  /** Returns the base URLs of all entries, in the order of the options. */
  getEntryUrls(): readonly string[] {
    const entries = this.options.daemons.filter(({role}) => role === 'entry');
    return entries.map(({instanceId}) => this.getUrl(instanceId));
  }

  /** Starts a backend server, which registers itself with the instance list. */
  async startBackend(plan: BackendPlan): Promise<void> {
    const {instanceId, kind, service, version, failureDomain, flags = []} = plan;
    const {list} = this.getPlatformUrlsOrThrow();
    await this.startProcess(instanceId, 'standins/bin/buckthorn-standin.js', [
      kind,
      ...['--instance-id', instanceId, '--service', service, '--version', version],
      ...['--failure-domain', failureDomain, '--list-url', list],
      ...flags,
    ]);
  }

  /** Starts an entry or fleet daemon and registers it with the instance list. */
  async startDaemon(plan: DaemonPlan): Promise<void> {
    const {instanceId, role, failureDomain, flags = []} = plan;
    const {log, cloud, list, weights} = this.getPlatformUrlsOrThrow();
    const {deploymentKey} = this.options;
    const common = [
      ...['--instance-id', instanceId, '--failure-domain', failureDomain],
      ...['--address', LOOPBACK],
    ];
    const platform = ['--log-url', log, '--list-url', list];
    const roleFlags =
      role === 'entry'
        ? ['--port', '0', '--peer-port', '0', '--deployment-keys', deploymentKey]
        : ['--cloud-url', cloud, '--weights-url', weights, '--deployment-key', deploymentKey];
    const binary = `src/bin/buckthorn-${role}.js`;
    const ready = await this.startProcess(instanceId, binary, [
      ...[...common, ...platform, ...roleFlags],
      ...flags,
    ]);
    await this.registerDaemon(plan, ready);
  }

  private async startPlatform(): Promise<void> {
    const flags = this.options.platformFlags ?? [];
    const binary = 'standins/bin/buckthorn-standin.js';
    const {ports} = await this.startProcess('platform', binary, ['platform', ...flags]);
    if (!ports) throw new Error('the ready line of the platform has no ports');
    const getUrl = (port: number) => `http://${LOOPBACK}:${port}`;
    this.platformUrls = {
      log: getUrl(ports.log),
      cloud: getUrl(ports.cloud),
      list: getUrl(ports.list),
      weights: getUrl(ports.weights),
    };
  }

  private async startProcess(
    name: string,
    binary: string,
    args: readonly string[],
  ): Promise<ReadyLine> {
    const {logFolder} = this.options;
    const managedProcess = new ManagedProcess({
      name,
      binary: join(DIST, binary),
      args,
      readyTimeoutMs: READY_TIMEOUT_MS,
      logPath: logFolder === undefined ? undefined : join(logFolder, `${name}.log`),
    });
    this.processes.set(name, managedProcess);
    return managedProcess.start();
  }

  private async registerDaemon(plan: DaemonPlan, ready: ReadyLine): Promise<void> {
    const {list} = this.getPlatformUrlsOrThrow();
    const instance = {
      instanceId: plan.instanceId,
      role: plan.role,
      address: LOOPBACK,
      port: ready.port ?? 0,
      peerPort: ready.peerPort,
      failureDomain: plan.failureDomain,
      machineClass: 'small',
      market: 'reclaimable',
      state: 'live',
    };
    const response = await request(`${list}/standin/instances`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(instance),
    });
    await response.body.dump();
    if (response.statusCode >= 300)
      throw new Error(`registering ${plan.instanceId} with the instance list failed`);
  }
}

async function stopAll(
  processes: ReadonlyArray<readonly [string, ManagedProcess]>,
): Promise<readonly string[]> {
  const results = await Promise.all(
    processes.map(async ([name, running]) => ({
      name,
      isClean: await running.stop(STOP_TIMEOUT_MS),
    })),
  );
  return results.filter(({isClean}) => !isClean).map(({name}) => name);
}
