/** What routing reads and what it answers. */
import type {
  BackendServer,
  FailureDomainStatus,
  Incident,
  Member,
  Move,
} from '../../blackboard/index.js';
import type {Configuration, Service} from '../../configuration/index.js';
import type {ErrorKind} from '../../errors/index.js';

/** What an entry knows when it chooses a backend server. */
export interface RoutingView {
  readonly configuration: Configuration;
  readonly servers: readonly BackendServer[];
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly moves: readonly Move[];
  readonly incidents: readonly Incident[];
  readonly entries: readonly Member[];
  readonly ownInstanceId: string;
  readonly ownFailureDomain: string;
  /** Returns the requests that this entry has open at a backend server. */
  getOpenRequests(instanceId: string): number;
  /** Returns the uncached tokens of this entry's tries that have had no first token; absent for none. */
  readonly getPendingPrefillTokens?: (instanceId: string) => number;
  /** Returns how many requests this entry may have open at a backend server; absent to go by warmth alone. */
  readonly getConcurrencyLimit?: (server: BackendServer, service: Service) => number;
  /** Returns the longest cached prefix in tokens. */
  getCachedTokens(instanceId: string, blockHashes: readonly string[]): number;
}

/** What is known of a request when its backend server is chosen. */
export interface RoutingRequest {
  readonly service: string;
  readonly workspace: string;
  readonly requestClass: string;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  /** Backend servers that earlier tries used. */
  readonly excludedInstanceIds: ReadonlySet<string>;
  readonly deadlineAtMs: number;
  /**
   * Number from 0 up to 1, the same for all tries of the request and independent of the draw of its version; a failure
   * domain that returns is passed over where it is not below the domain's part. Absent for 0: none is passed over.
   */
  readonly domainDraw?: number;
  /** Failure domains that are passed over too; absent for none. */
  readonly avoidedDomains?: ReadonlySet<string>;
}

/** Chooses a backend server; `chooseBackendServer` or another policy. */
export type ChooseServer = (
  view: RoutingView,
  request: RoutingRequest,
  nowMs: number,
  random: () => number,
) => RoutingDecision;

/** The chosen backend server, or why none was chosen. */
export type RoutingDecision =
  | {
      readonly kind: 'chosen';
      readonly server: BackendServer;
      /** Expected time from sending the request to its first token. */
      readonly expectedFirstTokenMs: number;
    }
  | {readonly kind: 'refused'; readonly errorKind: ErrorKind; readonly reason: string};
