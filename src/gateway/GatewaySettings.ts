/** Settings of a gateway process. */

/** What a gateway is told at its start; times are bounds that the deployment has set. */
export interface GatewaySettings {
  readonly id: string;
  /** Unix time of this start in milliseconds. */
  readonly incarnation: number;
  readonly ip: string;
  readonly failureDomain: string;
  /** IP number and port at which callers connect. */
  readonly trafficAddress: string;
  readonly gossipPort: number;
  /** IP numbers and ports of gateways to speak to first. */
  readonly gossipSeeds: readonly string[];
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Region of each failure domain. */
  readonly regionByDomain: ReadonlyMap<string, string>;
  /** Longest time for which a key may be honoured after it was taken away. */
  readonly revocationMs: number;
  /** Time within which no two holders may act in turns. */
  readonly leaseMs: number;
  readonly retryWindowMs: number;
  /** Retries as a share of first tries, over all gateways. */
  readonly retryShare: number;
  /** Retries in a window beyond that share, over all gateways. */
  readonly retrySlack: number;
  /** Share of a workspace's allotment that may be admitted beyond it. */
  readonly allotmentToleratedShare: number;
  readonly usageWindowSeconds: number;
  /** Time after the end of a usage window within which it is reported. */
  readonly usageDueMs: number;
  /** Time between a request to stop and the forced end of the process. */
  readonly stopGraceMs: number;
  /** Longest time for which callers keep an answer of the directory. */
  readonly directoryTtlMs: number;
  /** Whether this deployment reports usage and orders backend servers. */
  readonly duties: {readonly reportsUsage: boolean; readonly ordersServers: boolean};
}
