/** Settings that a gateway process is started with. */

/** Settings of a gateway process; the durations are limits that the deployment sets. */
export interface GatewaySettings {
  readonly id: string;
  /** Unix time in milliseconds at which this process started. */
  readonly incarnation: number;
  readonly ip: string;
  readonly failureDomain: string;
  /** IP address and port at which callers connect. */
  readonly trafficAddress: string;
  readonly gossipPort: number;
  /** IP addresses and ports of gateways to contact before any other member is known. */
  readonly gossipSeeds: readonly string[];
  /**
   * Whether the whole deployment is starting for the first time, so that no earlier process can have left any state.
   */
  readonly isFirstStart: boolean;
  /** Region of each failure domain. */
  readonly regionByDomain: ReadonlyMap<string, string>;
  /** Longest time for which a revoked key may still be accepted. */
  readonly revocationMs: number;
  /**
   * Time within which the actions of two duty holders must not alternate; a new holder waits this long before it acts.
   */
  readonly leaseMs: number;
  /** Length of the window over which retries are limited. */
  readonly retryWindowMs: number;
  /** Allowed retries as a share of first attempts, over all gateways. */
  readonly retryShare: number;
  /** Retries allowed in a window in addition to that share, over all gateways. */
  readonly retrySlack: number;
  /** How many requests a new software version may get before it is shown good: a share of all, and some more. */
  readonly rolloutExposure: {readonly share: number; readonly slack: number};
  /** Share of a workspace's quota by which admissions may exceed the quota. */
  readonly quotaToleratedShare: number;
  readonly usageWindowSeconds: number;
  /** Time after the end of a usage window within which its report must be sent. */
  readonly usageDueMs: number;
  /** Time from the request to stop until the process is killed. */
  readonly stopGraceMs: number;
  /** Longest time for which callers cache a response of the directory. */
  readonly directoryTtlMs: number;
  /** Memory that responses may take together until they are complete and taken by their callers. */
  readonly maxBufferedBytes: number;
  /** Duties that the gateways of this deployment perform: usage reports and backend server orders. */
  readonly duties: {readonly reportsUsage: boolean; readonly ordersServers: boolean};
}
