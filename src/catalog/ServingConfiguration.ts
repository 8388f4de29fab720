/** The operators' configuration: routes, services, workspaces and the limits of callers' connections. */

/** How often a request may be executed; a stream is executed at most once unless its route is resumable. */
export type RouteKind = 'idempotent' | 'at-most-once' | 'stream';

/** Weight of one service in the traffic of a route. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the sum of the weights of the route. */
  readonly weight: number;
}

/** How requests to one host with one path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may resume at another backend server after its last event. */
  readonly isResumable: boolean;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Largest number of backend servers on which one request may be attempted. */
  readonly maxAttempts: number;
  /** Longest time for which a caller waits for the response; a shorter deadline of the request takes precedence. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Target for the longest time between two events of a stream; 0 for none. */
  readonly longestPauseMs: number;
  /** Rank of the requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Regions in which its requests may run; empty for all. */
  readonly homeRegions: readonly string[];
}

/** Limits and prices for the orders of backend servers of a service. */
export interface ReplicaBounds {
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  readonly bootMs: number;
  /** Price of a reclaimable backend server as a share of the on-demand price; undefined if none are offered. */
  readonly reclaimablePriceShare: number | undefined;
  /** On-demand price by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** Limits of the model engine on each of a service's backend servers. */
export interface EngineLimits {
  /** Requests that a backend server runs at once. */
  readonly slots: number;
  /** Capacity of the KV cache, in tokens. */
  readonly cacheTokens: number;
}

/** A service whose backend servers are interchangeable. */
export interface Service {
  readonly name: string;
  /** Largest number of connections, divided evenly among the gateways. */
  readonly maxConnections: number;
  readonly coldStartMs: number;
  /** Requests per second that a cold backend server sustains; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  /** Undefined for a service without a model engine. */
  readonly engine: EngineLimits | undefined;
  /** Undefined if no backend servers are ordered for the service. */
  readonly replicaBounds: ReplicaBounds | undefined;
}

/** A workspace's quota over all gateways: a token bucket. */
export interface WorkspaceQuota {
  readonly unit: 'requests' | 'tokens';
  readonly ratePerSecond: number;
  /** Size of the bucket, in the same unit. */
  readonly burst: number;
  /** Tokens charged for a request that doesn't state a token count. */
  readonly defaultTokens: number;
}

/** A customer: a group of callers that share keys and a quota. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority; undefined to use that of the route. */
  readonly priority: number | undefined;
  /** Regions in which its requests may run; empty for all. */
  readonly homeRegions: readonly string[];
  /** Undefined for an unlimited workspace. */
  readonly quota: WorkspaceQuota | undefined;
}

/** Limits that apply to callers' connections. */
export interface ConnectionLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration; a higher version replaces a lower one. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly workspaces: readonly Workspace[];
  readonly limits: ConnectionLimits;
}
