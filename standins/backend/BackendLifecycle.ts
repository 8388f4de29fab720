/** Instance lifecycle of a backend server: registration, reclaim notice and removal. */
import {z} from 'zod';
import type {Exchange} from '../http/index.js';
import {registerBackend, unregisterBackend, type BackendIdentity} from './BackendIdentity.js';

/** Options of a `BackendLifecycle`; `address` is where the backend server accepts requests. */
export interface BackendLifecycleOptions {
  readonly identity: BackendIdentity;
  readonly address: string;
  /** Base URL of the instance list; without it, nothing is registered. */
  readonly listUrl?: string;
  /** Called at the time that the last reclaim notice gave. */
  readonly onInstanceRemoved: () => void;
}

const noticeSchema = z.strictObject({leavingAtMs: z.number()});

/** Keeps a backend server's entry in the instance list up to date, and stops the server when it is reclaimed. */
export class BackendLifecycle {
  private readonly options: BackendLifecycleOptions;
  private identity: BackendIdentity;
  private port = 0;
  private leavingAtMs: number | undefined;
  private shutdownTimer: NodeJS.Timeout | undefined;

  constructor(options: BackendLifecycleOptions) {
    this.options = options;
    this.identity = options.identity;
  }

  /**
   * Registers the instance.
   * @param port - Port that the backend server already listens on.
   */
  async start(port: number): Promise<void> {
    this.port = port;
    await this.register();
  }

  /** Removes the instance from the instance list. */
  async stop(): Promise<void> {
    clearTimeout(this.shutdownTimer);
    const {listUrl} = this.options;
    if (listUrl !== undefined) await unregisterBackend(listUrl, this.identity.instanceId);
  }

  /** Stops but leaves the entry in the instance list, as a crash does. */
  stopWithoutUnregistering(): void {
    clearTimeout(this.shutdownTimer);
  }

  /** Returns the identity as last registered. */
  getIdentity(): BackendIdentity {
    return this.identity;
  }

  /** Changes the service and version, and registers them. */
  async changeVersion(service: string, version: string): Promise<void> {
    this.identity = {...this.identity, service, version};
    await this.register();
  }

  /** Returns the fields of a load report that show whether the instance is being reclaimed, and when (Unix time in ms). */
  getReclaimState(): {readonly state: 'live' | 'leaving'; readonly leavingAtMs?: number} {
    const {leavingAtMs} = this;
    return leavingAtMs === undefined ? {state: 'live'} : {state: 'leaving', leavingAtMs};
  }

  /** Handles a reclaim notice from the platform; a later notice replaces an earlier one. */
  async handleReclaimNotice(exchange: Exchange): Promise<void> {
    const {leavingAtMs} = noticeSchema.parse(await exchange.readJson());
    this.leavingAtMs = leavingAtMs;
    clearTimeout(this.shutdownTimer);
    this.shutdownTimer = setTimeout(
      this.options.onInstanceRemoved,
      Math.max(leavingAtMs - Date.now(), 0),
    );
    exchange.sendJson(200, {});
  }

  private async register(): Promise<void> {
    const {listUrl, address} = this.options;
    if (listUrl !== undefined) await registerBackend(listUrl, this.identity, address, this.port);
  }
}
