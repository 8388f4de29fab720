/** Keeps the blackboard's `instances` and `backendServers` sections up to date. */
import type {BackendServer, Blackboard, Instance} from '../blackboard/index.js';
import type {EngineClient, ServerReport, ServerTracker} from '../engine/index.js';
import type {InstanceListClient} from '../infrastructure/index.js';
import {isReportDue} from './reportSchedule.js';

/** Options of a `ServerWatcher`. */
export interface ServerWatcherOptions {
  readonly blackboard: Blackboard;
  readonly list: Pick<InstanceListClient, 'getInstances'>;
  readonly engine: Pick<EngineClient, 'getReport' | 'getCacheEvents' | 'closeRemovedServers'>;
  readonly tracker: ServerTracker;
  /** Marks the instances that the lease holder is draining as leaving. */
  readonly markDrainingInstances: (instances: readonly Instance[]) => readonly Instance[];
  readonly getNowMs: () => number;
  readonly listIntervalMs: number;
  readonly reportIntervalMs: number;
}

/** Polls the platform's list of instances, and the load reports and cache events of the backend servers. */
export class ServerWatcher {
  private readonly options: ServerWatcherOptions;
  private readonly reports = new Map<string, ServerReport>();
  /** Time of the last report request, by instance id. */
  private readonly requestedAtMs = new Map<string, number>();
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(options: ServerWatcherOptions) {
    this.options = options;
  }

  /** Starts polling; resolves after the first read of the list. */
  async start(): Promise<void> {
    const {listIntervalMs, reportIntervalMs} = this.options;
    await this.readList();
    this.timers.push(setInterval(() => void this.readList(), listIntervalMs));
    this.timers.push(setInterval(() => void this.readDueReports(), reportIntervalMs));
  }

  /** Stops polling; a read that is in progress still ends. */
  stop(): void {
    for (const timer of this.timers.splice(0)) clearInterval(timer);
  }

  private async readList(): Promise<void> {
    const {blackboard, list} = this.options;
    const section = await list.getInstances().catch(() => undefined);
    if (!section) return;
    const instances = this.options.markDrainingInstances(section.instances);
    blackboard.setSection('instances', {...section, instances});
    this.removeUnlisted(instances);
    this.writeServers();
  }

  private async readDueReports(): Promise<void> {
    const {servers} = this.options.blackboard.getSection('backendServers');
    const nowMs = this.options.getNowMs();
    const due = servers.filter(({instanceId}) => this.isReportDue(instanceId, nowMs));
    await Promise.all(due.map(server => this.readReport(server, nowMs)));
    this.writeServers();
  }

  private isReportDue(instanceId: string, nowMs: number): boolean {
    const {tracker, reportIntervalMs} = this.options;
    const reportState = {
      lastRequestedAtMs: this.requestedAtMs.get(instanceId),
      lastUsedAtMs: tracker.getLastUsedAtMs(instanceId),
      activeIntervalMs: reportIntervalMs,
    };
    return isReportDue(reportState, nowMs);
  }

  private async readReport(server: BackendServer, nowMs: number): Promise<void> {
    this.requestedAtMs.set(server.instanceId, nowMs);
    const report = await this.options.engine.getReport(server).catch(() => undefined);
    if (report) this.reports.set(server.instanceId, report);
    if (report && this.hasCache(server)) await this.readCacheEvents(server);
  }

  private hasCache({service}: BackendServer): boolean {
    const {configuration} = this.options.blackboard.getSection('configuration');
    return configuration?.services.find(({name}) => name === service)?.kind === 'model';
  }

  private async readCacheEvents(server: BackendServer): Promise<void> {
    const {engine, tracker} = this.options;
    const fromSequence = tracker.prefixes.getNextSequence(server.instanceId);
    const slice = await engine.getCacheEvents(server, fromSequence).catch(() => undefined);
    if (slice) tracker.addCacheEvents(server.instanceId, slice);
  }

  private removeUnlisted(instances: readonly Instance[]): void {
    const listed = new Set(instances.map(({instanceId}) => instanceId));
    for (const instanceId of [...this.requestedAtMs.keys()]) {
      if (listed.has(instanceId)) continue;
      this.reports.delete(instanceId);
      this.requestedAtMs.delete(instanceId);
    }
  }

  private writeServers(): void {
    const {blackboard} = this.options;
    const {instances} = blackboard.getSection('instances');
    const servers = instances.flatMap(instance => this.createServer(instance) ?? []);
    blackboard.setSection('backendServers', {servers});
    this.options.tracker.observeServers(servers);
    this.options.engine.closeRemovedServers(servers);
  }

  private createServer(instance: Instance): BackendServer | undefined {
    const {instanceId, service, version, address, port, failureDomain} = instance;
    if (instance.role !== 'backend' || !service || !version) return undefined;
    const report = this.reports.get(instanceId);
    const isLeaving = instance.state === 'live' && report?.state === 'leaving';
    return {
      instanceId,
      service,
      version,
      address,
      port,
      failureDomain,
      state: isLeaving ? 'leaving' : instance.state,
      leavingAtMs: instance.leavingAtMs ?? report?.leavingAtMs,
      warmth: this.options.tracker.getWarmth(instanceId),
      load: report?.load,
    };
  }
}
