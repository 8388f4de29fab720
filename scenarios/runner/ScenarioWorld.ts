/** State of a running scenario: its processes, callers, operators and observations. */
import {request} from 'undici';
import {createSeededRandom} from '../../src/utils/index.js';
import {
  AbusiveCaller,
  CallerLoad,
  spyOnCall,
  type AbuseRecord,
  type CallRecord,
  type SpyRecord,
} from '../callers/index.js';
import {Deployment, type BackendPlan, type DaemonPlan} from '../deployment/index.js';
import type {AbusePlan, LoadPlan, Scenario, StartPlan, Target} from '../language/index.js';
import {getLedgerPath} from './LedgerReader.js';
import {Operators} from './Operators.js';
import {RevisionWatcher} from './RevisionWatcher.js';
import {WORKSPACE_KEYS} from './ScenarioConfiguration.js';

/** Deployment key that the daemons of a scenario use among themselves. */
export const DEPLOYMENT_KEY = 'scenario-deployment-key';

/** Name of a step and the Unix time in ms at which it ended. */
export interface StepEnd {
  readonly name: string;
  readonly atMs: number;
}

/** Shared context of the steps and expectations of one scenario run. */
export class ScenarioWorld {
  readonly scenario: Scenario;
  readonly folder: string;
  readonly deployment: Deployment;
  private readonly backends = new Map<string, BackendPlan>();
  private readonly daemons = new Map<string, DaemonPlan>();
  private readonly loads = new Map<string, CallerLoad>();
  private readonly stepEnds: StepEnd[] = [];
  private readonly abuseRecords: AbuseRecord[] = [];
  private readonly spyRecords: SpyRecord[] = [];
  private readonly random: () => number;
  private operators: Operators | undefined;
  private watcher: RevisionWatcher | undefined;
  private startCount = 0;

  /**
   * @param folder - Existing folder for ledgers and logs.
   */
  constructor(scenario: Scenario, folder: string) {
    this.scenario = scenario;
    this.folder = folder;
    this.random = createSeededRandom(scenario.seed);
    for (const plan of this.planBackends()) this.backends.set(plan.instanceId, plan);
    for (const plan of this.planDaemons()) this.daemons.set(plan.instanceId, plan);
    this.deployment = new Deployment({
      backends: [...this.backends.values()],
      daemons: [...this.daemons.values()],
      deploymentKey: DEPLOYMENT_KEY,
      platformFlags: ['--ledger-folder', folder, ...scenario.topology.platformFlags],
      logFolder: folder,
    });
  }

  /** Starts all processes, and the observation of configuration revisions. */
  async start(): Promise<void> {
    await this.deployment.start();
    this.operators = new Operators(this.deployment.getPlatformUrlsOrThrow().log);
    this.watcher = new RevisionWatcher(() => this.getLiveEntries(), DEPLOYMENT_KEY);
    this.watcher.start();
  }

  /** Stops all processes; returns the names of those that had to be killed. */
  async stop(): Promise<readonly string[]> {
    this.watcher?.stop();
    await this.operators?.close();
    return this.deployment.stop();
  }

  /** Returns the operators; throws before `start`. */
  getOperators(): Operators {
    if (!this.operators) throw new Error('the scenario has not started');
    return this.operators;
  }

  /** Returns the observer of the entries' configuration revisions; throws before `start`. */
  getWatcher(): RevisionWatcher {
    if (!this.watcher) throw new Error('the scenario has not started');
    return this.watcher;
  }

  /** Starts the callers of a load in the background. */
  startLoad(plan: LoadPlan): void {
    const load = new CallerLoad({
      plan,
      workspaceKey: WORKSPACE_KEYS[plan.workspace],
      getSeedUrls: () => this.getLiveEntries().map(({url}) => url),
      random: this.random,
    });
    this.loads.set(plan.name, load);
    load.start();
  }

  /** Returns a started load by name; throws if there is none. */
  getLoadOrThrow(name: string): CallerLoad {
    const load = this.loads.get(name);
    if (!load) throw new Error(`no load named ${name} was started`);
    return load;
  }

  /** Returns the ended calls of all loads. */
  getRecords(): readonly CallRecord[] {
    return [...this.loads.values()].flatMap(load => load.getRecords());
  }

  /** Waits until all calls of all loads have ended. */
  async waitForLoads(): Promise<void> {
    await Promise.all([...this.loads.values()].map(load => load.waitForEnd()));
  }

  /** Sends the abusive requests of a plan; resolves when all of them have ended. */
  async runAbuse(plan: AbusePlan): Promise<void> {
    const caller = new AbusiveCaller({
      plan,
      workspaceKey: WORKSPACE_KEYS.large,
      getEntryUrls: () => this.getLiveEntries().map(({url}) => url),
    });
    this.abuseRecords.push(...(await caller.run()));
  }

  /** Returns the outcomes of all abusive requests that have ended. */
  getAbuseRecords(): readonly AbuseRecord[] {
    return this.abuseRecords;
  }

  /** Requests the responses of a load's calls from each entry, as another workspace and then as the owner. */
  async spyOn(load: string): Promise<void> {
    const entries = this.getLiveEntries();
    for (const {attempts} of this.getLoadOrThrow(load).getRecords()) {
      const requestId = attempts.at(-1)?.requestId;
      if (!requestId) continue;
      for (const {url} of entries) {
        const responseUrl = `${url}/v1/requests/${requestId}`;
        this.spyRecords.push(
          await spyOnCall(responseUrl, WORKSPACE_KEYS.other, WORKSPACE_KEYS.large),
        );
      }
    }
  }

  /** Returns the responses to other workspaces and to the owners. */
  getSpyRecords(): readonly SpyRecord[] {
    return this.spyRecords;
  }

  /** Starts a new backend server, or restarts a daemon or backend server that has ended. */
  async startInstance(plan: StartPlan): Promise<void> {
    const daemon = this.daemons.get(plan.instance);
    if (daemon) {
      await this.deployment.startDaemon(daemon);
      return;
    }
    const existingPlan = this.backends.get(plan.instance);
    const backend = existingPlan ? this.withNewLedger(existingPlan) : this.planStartedBackend(plan);
    this.backends.set(backend.instanceId, backend);
    await this.deployment.startBackend(backend);
  }

  /** Returns the backend servers that match a target. */
  getBackends(target: Target): readonly BackendPlan[] {
    return [...this.backends.values()].filter(plan => matchesTarget(plan, target));
  }

  /** Returns the ids of all instances that match a target, including daemons unless the target names a service. */
  getInstanceIds(target: Target): readonly string[] {
    const daemons = target.service === undefined ? [...this.daemons.values()] : [];
    return [
      ...this.getBackends(target),
      ...daemons.filter(plan => matchesTarget(plan, target)),
    ].map(({instanceId}) => instanceId);
  }

  /** Returns whether an instance is an entry or fleet daemon. */
  hasDaemon(instanceId: string): boolean {
    return this.daemons.has(instanceId);
  }

  /** Returns the ids of backend servers that ended with an exit code other than 0. */
  getCrashedIds(): readonly string[] {
    return [...this.backends.keys()].filter(instanceId => {
      const exitCode = this.deployment.getProcessOrThrow(instanceId).getExitCode();
      return exitCode !== undefined && exitCode !== 0;
    });
  }

  /** Records the end of a step under its name. */
  recordStepEnd(name: string): void {
    this.stepEnds.push({name, atMs: Date.now()});
  }

  /** Returns the Unix time in ms at which the step of a name first ended; throws if there is none. */
  getStepEndMsOrThrow(name: string): number {
    const stepEnd = this.stepEnds.find(item => item.name === name);
    if (!stepEnd) throw new Error(`no step is named "${name}"`);
    return stepEnd.atMs;
  }

  /** Calls a control route of a stand-in; throws unless the status is below 300. */
  async callStandin(method: 'POST' | 'PUT', url: string, value: object): Promise<void> {
    const {statusCode, body} = await request(url, {
      method,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(value),
    });
    const text = await body.text();
    if (statusCode >= 300) throw new Error(`${method} ${url} returned ${statusCode}: ${text}`);
  }

  /** Returns the id and URL of each entry whose process is running and ready. */
  getLiveEntries() {
    return [...this.daemons.values()]
      .filter(({role, instanceId}) => role === 'entry' && this.isRunning(instanceId))
      .map(({instanceId}) => ({instanceId, url: this.deployment.getUrl(instanceId)}));
  }

  private isRunning(instanceId: string): boolean {
    const managedProcess = this.deployment.getProcessOrThrow(instanceId);
    return managedProcess.isRunning() && managedProcess.isReady();
  }

  private planBackends(): readonly BackendPlan[] {
    const {services, failureDomains} = this.scenario.topology;
    return services.flatMap(({name, kind, version, replicas, isCold, flags}) =>
      Array.from({length: replicas}, (unused, index) =>
        this.withNewLedger({
          instanceId: `${name}-${index + 1}`,
          kind,
          service: name,
          version,
          failureDomain: failureDomains[index % failureDomains.length],
          flags: [...flags, ...getColdFlags(kind, isCold)],
        }),
      ),
    );
  }

  private planStartedBackend(plan: StartPlan): BackendPlan {
    const service = this.scenario.topology.services.find(({name}) => name === plan.service);
    if (!service) throw new Error(`instance "${plan.instance}" has no service of the topology`);
    return this.withNewLedger({
      instanceId: plan.instance,
      kind: service.kind,
      service: service.name,
      version: plan.version,
      failureDomain: plan.failureDomain,
      flags: [...service.flags, ...plan.flags, ...getColdFlags(service.kind, plan.isCold)],
    });
  }

  /** Returns the plan with a new ledger file, since each start of a backend server writes its own. */
  private withNewLedger(plan: BackendPlan): BackendPlan {
    this.startCount += 1;
    const path = getLedgerPath(this.folder, plan.instanceId, this.startCount);
    return {...plan, flags: [...removeLedgerFlag(plan.flags ?? []), '--ledger-path', path]};
  }

  private planDaemons(): readonly DaemonPlan[] {
    const {entries, fleetDaemons, failureDomains, entryFlags, fleetFlags} = this.scenario.topology;
    const plan = (role: DaemonPlan['role'], count: number, flags: readonly string[]) =>
      Array.from({length: count}, (unused, index) => ({
        instanceId: `${role}-${index + 1}`,
        role,
        failureDomain: failureDomains[index % failureDomains.length],
        flags,
      }));
    return [...plan('entry', entries, entryFlags), ...plan('fleet', fleetDaemons, fleetFlags)];
  }
}

function matchesTarget(
  plan: {
    readonly instanceId: string;
    readonly failureDomain: string;
    readonly service?: string;
    readonly version?: string;
  },
  {instance, service, version, failureDomain}: Target,
): boolean {
  if (instance !== undefined && plan.instanceId !== instance) return false;
  if (service !== undefined && plan.service !== service) return false;
  if (version !== undefined && plan.version !== version) return false;
  return failureDomain === undefined || plan.failureDomain === failureDomain;
}

function getColdFlags(kind: BackendPlan['kind'], isCold: boolean): readonly string[] {
  return kind === 'engine' ? ['--cold', isCold ? 'yes' : 'no'] : [];
}

function removeLedgerFlag(flags: readonly string[]): readonly string[] {
  const index = flags.indexOf('--ledger-path');
  return index === -1 ? flags : [...flags.slice(0, index), ...flags.slice(index + 2)];
}
