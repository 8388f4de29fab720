/** Registration, reclaim notice and end of a backend server's instance. */
import {z} from 'zod';
import type {Exchange} from '../http/index.js';
import {registerBackend, unregisterBackend, type BackendIdentity} from './BackendIdentity.js';

/** Options of a `BackendLifecycle`. */
export interface BackendLifecycleOptions {
  readonly identity: BackendIdentity;
  readonly address: string;
  /** Instance list to register at; absent for none. */
  readonly listUrl?: string;
  /** Called when the platform takes the instance away. */
  readonly onTakenAway: () => void;
}

const noticeSchema = z.strictObject({leavingAtMs: z.number()});

/** Keeps a backend server's place in the instance list. */
export class BackendLifecycle {
  private readonly options: BackendLifecycleOptions;
  private identity: BackendIdentity;
  private port = 0;
  private leavingAtMs: number | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: BackendLifecycleOptions) {
    this.options = options;
    this.identity = options.identity;
  }

  /** Registers once the backend server listens. */
  async start(port: number): Promise<void> {
    this.port = port;
    await this.register();
  }

  /** Takes the instance off the list. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    const {listUrl} = this.options;
    if (listUrl !== undefined) await unregisterBackend(listUrl, this.identity.instanceId);
  }

  /** Stops without a word to anybody, as a crash does. */
  abandon(): void {
    clearTimeout(this.timer);
  }

  /** Returns who the backend server is now. */
  getIdentity(): BackendIdentity {
    return this.identity;
  }

  /** Changes service and version, and registers anew. */
  async changeVersion(service: string, version: string): Promise<void> {
    this.identity = {...this.identity, service, version};
    await this.register();
  }

  /** Returns the fields of a load report that say whether the instance leaves. */
  getState(): {readonly state: 'live' | 'leaving'; readonly leavingAtMs?: number} {
    const {leavingAtMs} = this;
    return leavingAtMs === undefined ? {state: 'live'} : {state: 'leaving', leavingAtMs};
  }

  /** Takes the platform's notice; the last one counts. */
  async takeNotice(exchange: Exchange): Promise<void> {
    const {leavingAtMs} = noticeSchema.parse(await exchange.readJson());
    this.leavingAtMs = leavingAtMs;
    clearTimeout(this.timer);
    this.timer = setTimeout(this.options.onTakenAway, Math.max(leavingAtMs - Date.now(), 0));
    exchange.sendJson(200, {});
  }

  private async register(): Promise<void> {
    const {listUrl, address} = this.options;
    if (listUrl !== undefined) await registerBackend(listUrl, this.identity, address, this.port);
  }
}
