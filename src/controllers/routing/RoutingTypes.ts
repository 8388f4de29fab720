/** Input and result of the choice of a backend server. */
import type {
  BackendServer,
  FailureDomainStatus,
  Incident,
  Member,
  Move,
} from '../../blackboard/index.js';
import type {Configuration, Service} from '../../configuration/index.js';
import type {ErrorKind} from '../../errors/index.js';

/** State of the deployment, as this entry sees it, from which a backend server is chosen. */
export interface RoutingView {
  readonly configuration: Configuration;
  readonly servers: readonly BackendServer[];
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly moves: readonly Move[];
  readonly incidents: readonly Incident[];
  readonly entries: readonly Member[];
  readonly ownInstanceId: string;
  readonly ownFailureDomain: string;
  /** Returns the number of requests that this entry has open at a backend server. */
  getOpenRequests(instanceId: string): number;
  /** Returns the uncached prompt tokens of this entry's attempts without a first token yet. Undefined: always 0. */
  readonly getPendingPrefillTokens?: (instanceId: string) => number;
  /** Returns how many requests this entry may have open at a backend server. Undefined: the warmth limit applies. */
  readonly getConcurrencyLimit?: (server: BackendServer, service: Service) => number;
  /** Returns the length of the longest cached prefix of a prompt in tokens. */
  getCachedTokens(instanceId: string, blockHashes: readonly string[]): number;
}

/** The properties of a request on which the choice of its backend server depends. */
export interface RoutingRequest {
  readonly service: string;
  readonly workspace: string;
  readonly requestClass: string;
  readonly promptTokens: number;
  /** Hash chain of the prompt's blocks, to look up cached prefixes. */
  readonly blockHashes: readonly string[];
  /** Backend servers of earlier attempts. */
  readonly excludedInstanceIds: ReadonlySet<string>;
  readonly deadlineAtMs: number;
  /**
   * Random number in [0, 1). A failure domain that is returning to service is avoided if its current share of new work,
   * as a fraction, is at most this number. Drawn once per request, independently of the random number for its version.
   * Default 0: no returning domain is avoided.
   */
  readonly domainDraw?: number;
  /** Further failure domains to use only if no other has capacity; undefined for none. */
  readonly avoidedDomains?: ReadonlySet<string>;
}

/** A policy that chooses a backend server, such as `chooseBackendServer`; `random` returns numbers in [0, 1). */
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
      /** Predicted time from sending the request to its first token. */
      readonly expectedFirstTokenMs: number;
    }
  | {readonly kind: 'refused'; readonly errorKind: ErrorKind; readonly reason: string};
