/** Stand-in for the platform's instance list, which lags behind the actual instances. */
import {StandinServer, type Exchange} from '../http/index.js';
import {instanceSchema, type InstanceRegistry} from './InstanceRegistry.js';

/** Options of an `InstanceList`. */
export interface InstanceListOptions {
  readonly address: string;
  readonly port: number;
  readonly registry: InstanceRegistry;
  /** Lag of the list behind the registry. */
  readonly lagMs: number;
  readonly random: () => number;
}

/** Serves the registry as it was `lagMs` ago, and the routes by which instances register. */
export class InstanceList {
  private readonly options: InstanceListOptions;
  private readonly server: StandinServer;

  constructor(options: InstanceListOptions) {
    this.options = options;
    const path = /^\/standin\/instances$/;
    this.server = new StandinServer({
      ...options,
      getLedger: () => ({instances: options.registry.getInstances(Date.now())}),
      routes: [
        {method: 'GET', path: /^\/v1\/list$/, handler: exchange => this.sendList(exchange)},
        {method: 'POST', path, handler: exchange => this.register(exchange)},
        {method: 'GET', path, handler: exchange => this.sendInstances(exchange)},
        {
          method: 'DELETE',
          path: /^\/standin\/instances\/([^/]+)$/,
          handler: (exchange, [instanceId]) => this.remove(exchange, instanceId),
        },
      ],
    });
  }

  /** Starts listening; rejects if the port is in use. */
  async start(): Promise<void> {
    await this.server.start();
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await this.server.stop();
  }

  /** Returns the port that it listens on; only valid after `start`. */
  getPort(): number {
    return this.server.getPort();
  }

  private sendList(exchange: Exchange): void {
    const asOfMs = Date.now() - this.options.lagMs;
    exchange.sendJson(200, {instances: this.options.registry.getInstances(asOfMs), asOfMs});
  }

  private async register(exchange: Exchange): Promise<void> {
    const instance = instanceSchema.parse(await exchange.readJson());
    this.options.registry.putInstance(instance, Date.now());
    exchange.sendJson(201, {instanceId: instance.instanceId});
  }

  private sendInstances(exchange: Exchange): void {
    exchange.sendJson(200, {instances: this.options.registry.getInstances(Date.now())});
  }

  private remove(exchange: Exchange, instanceId: string): void {
    this.options.registry.removeInstance(instanceId, Date.now());
    exchange.sendJson(200, {});
  }
}
