/** The fleet daemon: a candidate for the lease, and as its holder the one that runs the fleet's decisions. */
import {randomUUID} from 'node:crypto';
import {LogClient} from '../log/index.js';
import {createLogger, type Logger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {ConfigurationStream} from './ConfigurationStream.js';
import {FleetClock} from './FleetClock.js';
import type {FleetSettings} from './FleetSettings.js';
import {FleetStream} from './FleetStream.js';
import {LeaseKeeper} from './LeaseKeeper.js';

const LOG_TIMEOUT_MS = 3_000;
const LONGEST_ORDER_MS = 5_000;
/** Part of a term that a candidate waits beyond it, for clocks that run at different rates. */
const MARGIN_PART = 0.1;
/** Part of a term over which candidates spread their claims. */
const CLAIM_SPREAD_PART = 0.3;

/** Runs until it is stopped. */
export class FleetDaemon {
  private readonly settings: FleetSettings;
  private readonly incarnation: string;
  private readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly clock = new FleetClock();
  private readonly log: LogClient;
  private readonly stream: FleetStream;
  private readonly configuration: ConfigurationStream;
  private readonly lease: LeaseKeeper;

  constructor(settings: FleetSettings) {
    this.settings = settings;
    const {instanceId, logLevel, logUrl, leaseTermMs} = settings;
    this.incarnation = `${instanceId}/${randomUUID()}`;
    this.logger = createLogger({name: 'buckthorn-fleet', instanceId, level: logLevel});
    this.metrics = this.createMetrics();
    this.log = new LogClient({url: logUrl, timeoutMs: LOG_TIMEOUT_MS});
    const {log, logger, incarnation, clock} = this;
    this.stream = new FleetStream({
      log,
      logger,
      incarnation,
      getNowMs: () => clock.getCandidateMs(),
      proposalTimeoutMs: leaseTermMs,
      longPollMs: leaseTermMs,
    });
    this.configuration = new ConfigurationStream({log, logger, getNowMs: () => clock.getWallMs()});
    this.lease = this.createLeaseKeeper();
  }

  /** Starts reading the log and taking part in the lease. */
  start(): void {
    this.stream.start();
    this.configuration.start();
    this.lease.start();
    const {instanceId, failureDomain} = this.settings;
    process.stdout.write(
      `${JSON.stringify({ready: true, instanceId, failureDomain, incarnation: this.incarnation})}\n`,
    );
  }

  /** Gives up the lease where it is held, and closes all connections. */
  async stop(): Promise<void> {
    await this.lease.stop();
    await Promise.all([this.stream.stop(), this.configuration.stop()]);
    await this.log.close();
    await this.metrics.close();
  }

  private createMetrics(): Metrics {
    const {instanceId, failureDomain, statsdAddress, statsdPort} = this.settings;
    const globalTags = {instance: instanceId, failureDomain};
    return new Metrics({statsdAddress, statsdPort, globalTags});
  }

  private createLeaseKeeper(): LeaseKeeper {
    const {stream, clock, incarnation, logger, metrics} = this;
    const termMs = this.settings.leaseTermMs;
    const timing = {
      termMs,
      marginMs: termMs * MARGIN_PART,
      claimDelayMs: termMs * CLAIM_SPREAD_PART * Math.random(),
    };
    const longestOrderMs = LONGEST_ORDER_MS;
    return new LeaseKeeper({stream, clock, incarnation, timing, longestOrderMs, logger, metrics});
  }
}
