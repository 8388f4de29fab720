/** Stops draining instances once their requests have ended or moved, or their drain timeout has passed. */
import type {Instance} from '../blackboard/index.js';
import {EngineClient} from '../engine/index.js';
import type {InstanceDrain} from '../folds/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {CloudClient} from '../infrastructure/index.js';
import type {LeaseManager} from './LeaseManager.js';

/** Collaborators of a `DrainedInstanceStopper`. */
export interface DrainedInstanceStopperOptions {
  readonly lease: LeaseManager;
  readonly cloud: CloudClient;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Time within which all entries have read a drain and stopped sending requests to the instance. */
const DRAIN_PROPAGATION_MS = 5_000;
const CONNECT_TIMEOUT_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_000;

/** Stops instances. The cloud API has no fencing tokens, so it first waits until no earlier order can take effect. */
export class DrainedInstanceStopper {
  private readonly options: DrainedInstanceStopperOptions;
  private readonly engine = new EngineClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    reportTimeoutMs: REPORT_TIMEOUT_MS,
  });

  constructor(options: DrainedInstanceStopperOptions) {
    this.options = options;
  }

  /**
   * Stops each draining instance that is idle or past its drain timeout.
   * @param drains - Drains from the fold of the fleet stream.
   * @param instances - Backend servers from the cloud API's list.
   * @param nowMs - Current Unix time in milliseconds.
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

  /** Closes the connections to the backend servers. */
  async close(): Promise<void> {
    await this.engine.close();
  }

  private async canStop(
    {decidedAtMs, stopAtMs}: InstanceDrain,
    instance: Instance,
    nowMs: number,
  ): Promise<boolean> {
    if (nowMs >= stopAtMs) return true;
    if (nowMs < decidedAtMs + DRAIN_PROPAGATION_MS) return false;
    const {service = '', version = ''} = instance;
    try {
      const server = {...instance, service, version, warmth: 'warm' as const};
      const {load} = await this.engine.getReport(server);
      const isFresh = load.reportedAtMs >= decidedAtMs + DRAIN_PROPAGATION_MS;
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
