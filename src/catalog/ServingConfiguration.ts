/** What operators configure: routes, services, workspaces and the limits of callers' connections. */

/** How often a request may be executed. A stream is at most once unless its route is resumable. */
export type RouteKind = 'idempotent' | 'at-most-once' | 'stream';

/** Part of a route's traffic that goes to a service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may go on at another backend server after its last event. */
  readonly isResumable: boolean;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Backend servers on which one request may run, at the most. */
  readonly maxAttempts: number;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, is on time. */
  readonly latencyTargetMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Regions in which its requests may run; empty for all. */
  readonly homeRegions: readonly string[];
}

/** Bounds within which backend servers of a service are ordered. */
export interface ReplicaBounds {
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  readonly bootMs: number;
  /** Price of a reclaimable backend server as a share of the on-demand price; undefined where none are sold. */
  readonly reclaimablePriceShare: number | undefined;
  /** On-demand price by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** Model engine of a service. */
export interface EngineLimits {
  /** Requests that run at once on a backend server. */
  readonly slots: number;
  readonly cacheTokens: number;
}

/** A service whose backend servers are interchangeable. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly coldStartMs: number;
  /** Requests a second that a cold backend server bears; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  readonly engine: EngineLimits | undefined;
  readonly replicaBounds: ReplicaBounds | undefined;
}

/** What a workspace may send, over all gateways. */
export interface WorkspaceAllotment {
  readonly unit: 'requests' | 'tokens';
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Tokens counted for a request that names no token counts. */
  readonly plainTokens: number;
}

/** A group of callers with common keys and a common allotment. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority; undefined for none. */
  readonly priority: number | undefined;
  /** Regions in which its requests may run; empty for all. */
  readonly homeRegions: readonly string[];
  /** Undefined for no limit. */
  readonly allotment: WorkspaceAllotment | undefined;
}

/** Limits of callers' connections. */
export interface ConnectionLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly workspaces: readonly Workspace[];
  readonly limits: ConnectionLimits;
}
