/** All platform stand-ins in one process: log service, cloud API, instance list and weight store. */
import {CloudApi, type Price, type StartedBackend, type StartRequest} from './CloudApi.js';
import {InstanceList} from './InstanceList.js';
import {InstanceRegistry} from './InstanceRegistry.js';
import {LogService} from './LogService.js';
import {WeightStore} from './WeightStore.js';

/** TCP ports of the platform's services. */
export interface PlatformPorts {
  readonly log: number;
  readonly cloud: number;
  readonly list: number;
  readonly weights: number;
}

/** Options of a `Platform`. */
export interface PlatformOptions {
  readonly address: string;
  /** Ports to listen on; 0 for a free port. */
  readonly ports: PlatformPorts;
  readonly maxAppendsPerSecond: number;
  readonly retentionMs: number;
  readonly listLagMs: number;
  readonly startDelayMs: number;
  readonly weightBytesPerSecond: number;
  readonly weightVersionBytes: number;
  readonly prices: readonly Price[];
  /** Starts a backend server for the cloud API; it registers itself with the instance list at `listUrl`. */
  readonly startBackend: (
    instanceId: string,
    start: StartRequest,
    listUrl: string,
  ) => Promise<StartedBackend>;
  readonly random: () => number;
}

/** Runs the platform's services; the cloud API and the instance list share one registry. */
export class Platform {
  private readonly log: LogService;
  private readonly cloud: CloudApi;
  private readonly list: InstanceList;
  private readonly weights: WeightStore;

  constructor(options: PlatformOptions) {
    const {ports, address} = options;
    const registry = new InstanceRegistry();
    this.log = new LogService({...options, port: ports.log});
    this.list = new InstanceList({
      ...options,
      port: ports.list,
      registry,
      lagMs: options.listLagMs,
    });
    this.cloud = new CloudApi({
      ...options,
      port: ports.cloud,
      registry,
      startBackend: (instanceId, start) =>
        options.startBackend(instanceId, start, `http://${address}:${this.list.getPort()}`),
    });
    this.weights = new WeightStore({
      ...options,
      port: ports.weights,
      bytesPerSecond: options.weightBytesPerSecond,
      versionBytes: options.weightVersionBytes,
    });
  }

  /** Listens on all ports. */
  async start(): Promise<void> {
    await Promise.all(this.getServices().map(service => service.start()));
  }

  /** Stops all services. */
  async stop(): Promise<void> {
    await Promise.all(this.getServices().map(service => service.stop()));
  }

  /** Returns the ports that the services listen on; only valid after `start`. */
  getPorts(): PlatformPorts {
    return {
      log: this.log.getPort(),
      cloud: this.cloud.getPort(),
      list: this.list.getPort(),
      weights: this.weights.getPort(),
    };
  }

  private getServices() {
    return [this.log, this.list, this.cloud, this.weights];
  }
}
