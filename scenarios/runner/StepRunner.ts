/** Dispatches the steps of a scenario to their handlers. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Step} from '../language/index.js';
import {selectRuns} from './Evidence.js';
import {readLedgers} from './LedgerReader.js';
import {createConfiguration} from './ScenarioConfiguration.js';
import type {ScenarioWorld} from './ScenarioWorld.js';

type StepOf<Name extends keyof Step> = NonNullable<Step[Name]>;
type StepHandlers = {
  readonly [Name in Exclude<keyof Step, 'as'>]-?: (step: StepOf<Name>) => Promise<void>;
};

const EXIT_TIMEOUT_MS = 60_000;
const WORK_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** Runs steps one after another; some continue in the background. */
export class StepRunner {
  private readonly world: ScenarioWorld;
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly pending: Array<Promise<void>> = [];
  private publishCount = 0;
  private readonly handlers: StepHandlers = {
    load: async plan => this.world.startLoad(plan),
    awaitLoads: async () => this.world.waitForLoads(),
    awaitWork: async step => this.waitForWork(step),
    waitMs: async durationMs => sleep(durationMs),
    start: async plan => this.world.startInstance(plan),
    notice: async step => this.announceReclaim(step),
    kill: async ({instance}) =>
      this.world.deployment.getProcessOrThrow(instance).sendSignal('SIGKILL'),
    stop: async ({instance}) => this.stopInstance(instance),
    freeze: async step => this.freeze(step),
    cut: async target =>
      this.setFaults(this.getBackendUrls(target), {silenceOpenConnections: true}),
    outage: async step => this.startOutage(step),
    fault: async ({platform, set, ...target}) =>
      this.setFaults(platform ? [this.getPlatformUrl(platform)] : this.getBackendUrls(target), set),
    move: async ({service, to, withinMs}) =>
      this.world.getOperators().move(service, this.getVersion(service), to, withinMs),
    domain: async ({name, state}) => this.world.getOperators().setDomainState(name, state),
    publish: async ({operators}) => this.publish(operators),
    abuse: async plan => this.startAbuse(plan),
    spy: async ({on}) => this.world.spyOn(on),
  };

  constructor(world: ScenarioWorld) {
    this.world = world;
  }

  /** Runs a step, and records its end under its `as` name or its key. */
  async runStep(step: Step): Promise<void> {
    const name = getStepName(step);
    // The parser has checked that the only key is a step name with valid fields.
    const run = this.handlers[name] as (fields: unknown) => Promise<void>;
    await run(step[name]);
    this.world.recordStepEnd(step.as ?? name);
  }

  /** Waits for the background work of steps, and cancels kills that are not due yet; faults stay active. */
  async finish(): Promise<void> {
    await Promise.all(this.pending);
    for (const timer of this.timers) clearTimeout(timer);
  }

  private async waitForWork({after, ...target}: StepOf<'awaitWork'>): Promise<void> {
    const fromMs = after === undefined ? 0 : this.world.getStepEndMsOrThrow(after);
    const endAtMs = Date.now() + WORK_TIMEOUT_MS;
    for (;;) {
      const runs = selectRuns(await readLedgers(this.world.folder), target);
      if (runs.some(({startedAtMs}) => startedAtMs > fromMs)) return;
      if (Date.now() > endAtMs) throw new Error(`no run started at ${JSON.stringify(target)}`);
      await sleep(POLL_MS);
    }
  }

  private async announceReclaim({graceMs, ...target}: StepOf<'notice'>): Promise<void> {
    const instanceIds = this.world.getInstanceIds(target);
    const {cloud} = this.world.deployment.getPlatformUrlsOrThrow();
    await this.world.callStandin('POST', `${cloud}/standin/notices`, {instanceIds, graceMs});
    for (const instanceId of instanceIds.filter(id => this.world.hasDaemon(id))) {
      this.runAfter(graceMs, () =>
        this.world.deployment.getProcessOrThrow(instanceId).sendSignal('SIGKILL'),
      );
    }
  }

  /** Starts a graceful stop, which continues while the next steps run. */
  private stopInstance(instance: string): void {
    const stopped = this.world.deployment.getProcessOrThrow(instance).stop(EXIT_TIMEOUT_MS);
    this.pending.push(stopped.then(() => undefined));
  }

  private freeze({instance, forMs}: StepOf<'freeze'>): void {
    const frozen = this.world.deployment.getProcessOrThrow(instance);
    frozen.sendSignal('SIGSTOP');
    this.pending.push(sleep(forMs).then(() => frozen.sendSignal('SIGCONT')));
  }

  private async startOutage({of, forMs}: StepOf<'outage'>): Promise<void> {
    const url = this.getPlatformUrl(of);
    await this.setFaults([url], {hasOutage: true});
    this.pending.push(sleep(forMs).then(() => this.setFaults([url], {})));
  }

  private async publish(operators: number): Promise<void> {
    const configuration = createConfiguration(this.world.scenario);
    const {staleConfigurationGraceMs} = configuration;
    const changed = Array.from({length: operators}, () => {
      this.publishCount += 1;
      return {
        ...configuration,
        staleConfigurationGraceMs: staleConfigurationGraceMs + this.publishCount,
      };
    });
    await this.world.getOperators().publish(changed);
  }

  private startAbuse(plan: StepOf<'abuse'>): void {
    this.pending.push(this.world.runAbuse(plan));
  }

  private async setFaults(urls: readonly string[], faults: object): Promise<void> {
    await Promise.all(
      urls.map(url => this.world.callStandin('PUT', `${url}/standin/faults`, faults)),
    );
  }

  private getBackendUrls(target: StepOf<'cut'>): readonly string[] {
    return this.world
      .getBackends(target)
      .filter(({instanceId}) => this.world.deployment.getProcessOrThrow(instanceId).isRunning())
      .map(({instanceId}) => this.world.deployment.getUrl(instanceId));
  }

  private getPlatformUrl(name: 'log' | 'cloud' | 'list' | 'weights'): string {
    return this.world.deployment.getPlatformUrlsOrThrow()[name];
  }

  private getVersion(service: string): string {
    const plan = this.world.scenario.topology.services.find(({name}) => name === service);
    if (!plan) throw new Error(`the topology has no service ${service}`);
    return plan.version;
  }

  private runAfter(delayMs: number, run: () => void): void {
    const timer = setTimeout(run, delayMs);
    this.timers.add(timer);
  }
}

function getStepName(step: Step): Exclude<keyof Step, 'as'> {
  const [name] = Object.keys(step).filter(key => key !== 'as');
  return name as Exclude<keyof Step, 'as'>;
}
