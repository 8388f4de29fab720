/** Stops drained instances once their requests have ended or moved, or their time is over. */
import type {Instance} from '../blackboard/index.js';
import {EngineClient} from '../engine/index.js';
import type {InstanceDrain} from '../folds/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {CloudClient} from '../infrastructure/index.js';
import type {LeaseKeeper} from './LeaseKeeper.js';

/** Options of a `StopRunner`. */
export interface StopRunnerOptions {
  readonly lease: LeaseKeeper;
  readonly cloud: CloudClient;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Time in which all entries have read a drain and sent their last work. */
const DRAIN_KNOWN_MS = 5_000;
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;

/** Gives stop orders; the cloud API takes no fencing token, so older orders are waited out first. */
export class StopRunner {
  private readonly options: StopRunnerOptions;
  private readonly engine = new EngineClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    reportTimeoutMs: REPORT_TIMEOUT_MS,
  });

  constructor(options: StopRunnerOptions) {
    this.options = options;
  }

  /**
   * Stops what may be stopped.
   * @param drains - Drains as the fleet stream gives them.
   * @param instances - Instances as the cloud lists them.
   * @param nowMs - Present time by the wall clock.
   */
  async run(
    drains: readonly InstanceDrain[],
    instances: readonly Instance[],
    nowMs: number,
  ): Promise<void> {
    for (const drain of drains) {
      const instance = instances.find(({instanceId}) => instanceId === drain.instanceId);
      if (!instance || instance.state === 'gone') continue;
      if (await this.canStop(drain, instance, nowMs)) await this.stopInstance(instance);
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.engine.close();
  }

  private async canStop(
    {decidedAtMs, stopAtMs}: InstanceDrain,
    instance: Instance,
    nowMs: number,
  ): Promise<boolean> {
    if (nowMs >= stopAtMs) return true;
    if (nowMs < decidedAtMs + DRAIN_KNOWN_MS) return false;
    const {service = '', version = ''} = instance;
    try {
      const server = {...instance, service, version, warmth: 'warm' as const};
      const {load} = await this.engine.getReport(server);
      const isFresh = load.reportedAtMs >= decidedAtMs + DRAIN_KNOWN_MS;
      return isFresh && load.runningRequests + load.queuedRequests === 0;
    } catch {
      return false;
    }
  }

  private async stopInstance({instanceId}: Instance): Promise<void> {
    const {lease, cloud, logger, metrics} = this.options;
    if (lease.getOrderPermission(false) !== 'allowed') return;
    try {
      await cloud.stopInstance(instanceId);
      logger.info({instanceId}, 'instance stopped');
      metrics.addCount('capacity.stop', {result: 'stopped'});
    } catch {
      metrics.addCount('capacity.stop', {result: 'failed'});
    }
  }
}
