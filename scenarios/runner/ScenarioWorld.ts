/** Everything that a running scenario consists of: processes, callers, operators and what was seen. */
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

/** Key among the deployment's own daemons. */
export const DEPLOYMENT_KEY = 'scenario-deployment-key';

/** An instant at which a step was done. */
export interface StepMark {
  readonly name: string;
  readonly atMs: number;
}

/** Holds a scenario's parts by name. */
export class ScenarioWorld {
  readonly scenario: Scenario;
  readonly folder: string;
  readonly deployment: Deployment;
  private readonly backends = new Map<string, BackendPlan>();
  private readonly daemons = new Map<string, DaemonPlan>();
  private readonly loads = new Map<string, CallerLoad>();
  private readonly marks: StepMark[] = [];
  private readonly abuses: AbuseRecord[] = [];
  private readonly spyings: SpyRecord[] = [];
  private readonly random: () => number;
  private operators: Operators | undefined;
  private watcher: RevisionWatcher | undefined;
  private startCount = 0;

  /**
   * @param scenario - The scenario.
   * @param folder - Folder for ledgers and logs.
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

  /** Starts all processes. */
  async start(): Promise<void> {
    await this.deployment.start();
    this.operators = new Operators(this.deployment.getPlatformUrlsOrThrow().log);
    this.watcher = new RevisionWatcher(() => this.getLiveEntries(), DEPLOYMENT_KEY);
    this.watcher.start();
  }

  /** Stops everything; returns the names of those that had to be killed. */
  async stop(): Promise<readonly string[]> {
    this.watcher?.stop();
    await this.operators?.close();
    return this.deployment.stop();
  }

  /** Returns the operators. */
  getOperators(): Operators {
    if (!this.operators) throw new Error('the scenario has not started');
    return this.operators;
  }

  /** Returns the watcher of the entries' configuration revisions. */
  getWatcher(): RevisionWatcher {
    if (!this.watcher) throw new Error('the scenario has not started');
    return this.watcher;
  }

  /** Starts callers. */
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

  /** Returns callers by name. */
  getLoadOrThrow(name: string): CallerLoad {
    const load = this.loads.get(name);
    if (!load) throw new Error(`there is no load ${name}`);
    return load;
  }

  /** Returns all calls that have ended. */
  getRecords(): readonly CallRecord[] {
    return [...this.loads.values()].flatMap(load => load.getRecords());
  }

  /** Waits until all callers have their answers. */
  async waitForLoads(): Promise<void> {
    await Promise.all([...this.loads.values()].map(load => load.waitForEnd()));
  }

  /** Runs callers that do what they must not, until their time is over. */
  async runAbuse(plan: AbusePlan): Promise<void> {
    const caller = new AbusiveCaller({
      plan,
      workspaceKey: WORKSPACE_KEYS.large,
      getEntryUrls: () => this.getLiveEntries().map(({url}) => url),
    });
    this.abuses.push(...(await caller.run()));
  }

  /** Returns what became of each abuse. */
  getAbuses(): readonly AbuseRecord[] {
    return this.abuses;
  }

  /** Lets another workspace, and then the owner, ask each entry for the answers of a load's calls. */
  async spyOn(load: string): Promise<void> {
    const entries = this.getLiveEntries();
    for (const {attempts} of this.getLoadOrThrow(load).getRecords()) {
      const requestId = attempts.at(-1)?.requestId;
      if (!requestId) continue;
      for (const {url} of entries) {
        const place = `${url}/v1/requests/${requestId}`;
        this.spyings.push(await spyOnCall(place, WORKSPACE_KEYS.other, WORKSPACE_KEYS.large));
      }
    }
  }

  /** Returns what other workspaces got. */
  getSpyings(): readonly SpyRecord[] {
    return this.spyings;
  }

  /** Starts a new backend server, or a daemon or backend server that ended. */
  async startInstance(plan: StartPlan): Promise<void> {
    const daemon = this.daemons.get(plan.instance);
    if (daemon) {
      await this.deployment.startDaemon(daemon);
      return;
    }
    const known = this.backends.get(plan.instance);
    const backend = known ? this.addLedger(known) : this.planStartedBackend(plan);
    this.backends.set(backend.instanceId, backend);
    await this.deployment.startBackend(backend);
  }

  /** Returns the backend servers that a target means. */
  getBackends(target: Target): readonly BackendPlan[] {
    return [...this.backends.values()].filter(plan => isTargeted(plan, target));
  }

  /** Returns all instances that a target means, daemons too. */
  getInstanceIds(target: Target): readonly string[] {
    const daemons = target.service === undefined ? [...this.daemons.values()] : [];
    return [...this.getBackends(target), ...daemons.filter(plan => isTargeted(plan, target))].map(
      ({instanceId}) => instanceId,
    );
  }

  /** Returns the daemons' ids. */
  hasDaemon(instanceId: string): boolean {
    return this.daemons.has(instanceId);
  }

  /** Returns how many backend servers ended by a crash. */
  getCrashedIds(): readonly string[] {
    return [...this.backends.keys()].filter(instanceId => {
      const exitCode = this.deployment.getProcessOrThrow(instanceId).getExitCode();
      return exitCode !== undefined && exitCode !== 0;
    });
  }

  /** Remembers that a step was done. */
  addMark(name: string): void {
    this.marks.push({name, atMs: Date.now()});
  }

  /** Returns the instant at which a step was done. */
  getMarkOrThrow(name: string): number {
    const mark = this.marks.find(item => item.name === name);
    if (!mark) throw new Error(`no step is named "${name}"`);
    return mark.atMs;
  }

  /** Calls a stand-in's route for tests. */
  async callStandin(method: 'POST' | 'PUT', url: string, value: object): Promise<void> {
    const {statusCode, body} = await request(url, {
      method,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(value),
    });
    const text = await body.text();
    if (statusCode >= 300) throw new Error(`${method} ${url} gave ${statusCode}: ${text}`);
  }

  /** Returns the entries whose processes run. */
  getLiveEntries() {
    return [...this.daemons.values()]
      .filter(({role, instanceId}) => role === 'entry' && this.isRunning(instanceId))
      .map(({instanceId}) => ({instanceId, url: this.deployment.getUrl(instanceId)}));
  }

  private isRunning(instanceId: string): boolean {
    const found = this.deployment.getProcessOrThrow(instanceId);
    return found.isRunning() && found.isReady();
  }

  private planBackends(): readonly BackendPlan[] {
    const {services, failureDomains} = this.scenario.topology;
    return services.flatMap(({name, kind, version, replicas, isCold, flags}) =>
      Array.from({length: replicas}, (unused, index) =>
        this.addLedger({
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
    if (!service) throw new Error(`"${plan.instance}" needs a service of the topology`);
    return this.addLedger({
      instanceId: plan.instance,
      kind: service.kind,
      service: service.name,
      version: plan.version,
      failureDomain: plan.failureDomain,
      flags: [...service.flags, ...plan.flags, ...getColdFlags(service.kind, plan.isCold)],
    });
  }

  /** Each start of a backend server has a ledger file of its own. */
  private addLedger(plan: BackendPlan): BackendPlan {
    this.startCount += 1;
    const path = getLedgerPath(this.folder, plan.instanceId, this.startCount);
    return {...plan, flags: [...dropLedger(plan.flags ?? []), '--ledger-path', path]};
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

function isTargeted(
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

function dropLedger(flags: readonly string[]): readonly string[] {
  const index = flags.indexOf('--ledger-path');
  return index === -1 ? flags : [...flags.slice(0, index), ...flags.slice(index + 2)];
}
