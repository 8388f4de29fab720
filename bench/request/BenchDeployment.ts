/** A deployment of one entry process and stand-in backends for measurements. */
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {Configuration, Service} from '../../src/configuration/index.js';
import {LogClient} from '../../src/log/index.js';
import {encodeRecord} from '../../src/records/index.js';
import {Deployment, type BackendPlan} from '../../scenarios/deployment/index.js';

/** API key of the bench's workspace. */
export const BENCH_KEY = 'bench-workspace-key';

const DEPLOYMENT_KEY = 'bench-deployment-key-0001';
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 100;
const LOG_TIMEOUT_MS = 2_000;
const MAX_OPEN_REQUESTS = 100_000;

/** A metric in the entry's `/v1/stats`; percentiles are undefined for counters. */
export interface EntryMetric {
  readonly name: string;
  readonly count: number;
  readonly p50?: number;
  readonly p95?: number;
  readonly p99?: number;
}

/** Starts stand-in backends and an entry that serves one service. */
export class BenchDeployment {
  private readonly deployment: Deployment;
  private readonly service: Service;
  private readonly backends: readonly BackendPlan[];

  constructor(service: Service, backends: readonly BackendPlan[]) {
    this.service = service;
    this.backends = backends;
    this.deployment = new Deployment({
      backends,
      daemons: [
        {
          instanceId: 'entry-1',
          role: 'entry',
          failureDomain: 'a',
          flags: ['--log-level', 'warn', '--max-running-requests', String(MAX_OPEN_REQUESTS)],
        },
      ],
      deploymentKey: DEPLOYMENT_KEY,
    });
  }

  /** Starts all processes and waits until the entry knows the configuration and all backends; throws after 20 s. */
  async start(): Promise<void> {
    await this.deployment.start();
    await this.publish();
    const endAtMs = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isServing())) {
      if (Date.now() > endAtMs) throw new Error('the entry was not ready in time');
      await sleep(POLL_MS);
    }
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await this.deployment.stop();
  }

  /** Returns the base URL of the entry or of a backend server. */
  getUrl(instanceId: string): string {
    return this.deployment.getUrl(instanceId);
  }

  /** Returns the entry's metrics. */
  async getMetrics(): Promise<readonly EntryMetric[]> {
    const stats = (await this.getFromEntry('/v1/stats')) as {
      readonly metrics: readonly EntryMetric[];
    };
    return stats.metrics;
  }

  private async isServing(): Promise<boolean> {
    const status = (await this.getFromEntry('/v1/status')) as {
      readonly configurationRevision: number;
      readonly backendServers: readonly unknown[];
    };
    const {configurationRevision, backendServers} = status;
    return configurationRevision > 0 && backendServers.length === this.backends.length;
  }

  private async getFromEntry(path: string): Promise<unknown> {
    const headers = {authorization: `Bearer ${DEPLOYMENT_KEY}`};
    const response = await request(this.getUrl('entry-1') + path, {headers});
    return response.body.json();
  }

  private async publish(): Promise<void> {
    const url = this.deployment.getPlatformUrlsOrThrow().log;
    const log = new LogClient({url, timeoutMs: LOG_TIMEOUT_MS});
    const configuration = createConfiguration(this.service);
    const body = {
      kind: 'configuration',
      replacesRevision: 0,
      publishedBy: 'bench',
      configuration,
    } as const;
    await log.append('configuration', [encodeRecord({writer: 'bench', sequence: 1, body})]);
    await log.close();
  }
}

function createConfiguration(service: Service): Configuration {
  const sha256 = createHash('sha256').update(BENCH_KEY).digest('hex');
  return {
    deployment: 'bench',
    failureDomains: ['a', 'b', 'c', 'd'].map(name => ({name, region: 'region-1'})),
    workspaces: [
      {name: 'bench', keys: [{sha256}], shareWeight: 1, maxOpenRequests: MAX_OPEN_REQUESTS},
    ],
    requestClasses: [
      {
        name: 'chat',
        priority: 0,
        maxPromptTokens: 100_000,
        firstTokenTargetMs: 1_300,
        interTokenTargetMs: 52,
      },
    ],
    services: [service],
    priceLimits: [],
    staleConfigurationGraceMs: 60_000,
  };
}
