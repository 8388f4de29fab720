/** Types of the blackboard's sections. Values are immutable, and each section has a single writer. */
import type {Configuration} from '../configuration/index.js';

/** The configuration in force at this daemon. */
export interface ConfigurationSection {
  /** Revision of `configuration`; 0 before the first one is known. */
  readonly revision: number;
  readonly configuration: Configuration | undefined;
  /**
   * Time at which the revision was last known to be the newest: when this daemon, or a peer with the same revision,
   * last read the log up to its end.
   */
  readonly confirmedAtMs: number;
}

/**
 * Lifecycle state of an instance: `live` ones get new requests, `leaving` ones are about to stop and only finish
 * theirs, and `gone` ones have stopped.
 */
export type InstanceState = 'live' | 'leaving' | 'gone';

/** Kind of process that an instance runs: entry daemon, fleet daemon or backend server. */
export type InstanceRole = 'entry' | 'fleet' | 'backend';

/** A machine of the deployment, from the platform's list of instances. */
export interface Instance {
  readonly instanceId: string;
  readonly role: InstanceRole;
  /** IP address. */
  readonly address: string;
  /** Port for callers, or for requests if the instance is a backend server. */
  readonly port: number;
  /** Port for other daemons of the deployment; undefined for a backend server. */
  readonly peerPort?: number;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly state: InstanceState;
  /** Unix time in milliseconds at which the platform stops the instance; undefined until a stop is announced. */
  readonly leavingAtMs?: number;
  /** Service that a backend server runs; undefined for entry and fleet daemons. */
  readonly service?: string;
  /** Version of that service. */
  readonly version?: string;
}

/** The platform's list of instances, which lags behind the actual state. */
export interface InstancesSection {
  readonly instances: readonly Instance[];
  /** Time at which the list was read. */
  readonly readAtMs: number;
}

/** How far a backend server has warmed up after its start, which limits the load that it is given. */
export type Warmth = 'cold' | 'warming' | 'warm' | 'suspect';

/** Load of a backend server from its last report, which may be out of date. */
export interface LoadReport {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** Prompt tokens of queued requests that still have to be processed (prefill). */
  readonly queuedPrefillTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly cachedTokens: number;
  readonly reportedAtMs: number;
}

/** A backend server with its state, warmth and load as this daemon knows them. */
export interface BackendServer {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  /** IP address. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: InstanceState;
  /** Unix time in milliseconds at which the instance stops; undefined until a stop is announced. */
  readonly leavingAtMs?: number;
  readonly warmth: Warmth;
  /** Last load report; undefined before the first. */
  readonly load?: LoadReport;
}

/** All backend servers known to this daemon, of all services. */
export interface BackendServersSection {
  readonly servers: readonly BackendServer[];
}

/**
 * State of a daemon in the membership protocol: `suspect` after failed probes, `dead` once the suspicion has timed out,
 * `leaving` once it has announced its stop.
 */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'leaving';

/** A daemon in the membership protocol: another one, or this one. */
export interface Member {
  readonly instanceId: string;
  readonly state: MemberState;
  /** Incarnation number: a state of a higher incarnation overrides one of a lower. */
  readonly incarnation: number;
  /** IP address. */
  readonly address: string;
  /** Port for other daemons. */
  readonly peerPort: number;
  /** Port for callers. */
  readonly callersPort: number;
  readonly failureDomain: string;
  /** Revision in force at the member, from its last probe response. */
  readonly configurationRevision: number;
  /** Time at which this daemon learned of the member's present state. */
  readonly changedAtMs: number;
}

/** The entries of the deployment, including this one. */
export interface PeersSection {
  readonly members: readonly Member[];
}

/** Whether a failure domain gets new work: `in` service, `out` of service, or `returning` with a growing share. */
export type FailureDomainState = 'in' | 'out' | 'returning';

/** Service state of a failure domain, as last ordered by an operator. */
export interface FailureDomainStatus {
  readonly name: string;
  readonly state: FailureDomainState;
  /** Incremented by each accepted order, for compare-and-set. */
  readonly revision: number;
  /** Unix time in milliseconds at which the last accepted order was requested. */
  readonly changedAtMs: number;
}

/** Failure domains that have had an order; all others are in service. */
export interface FailureDomainsSection {
  readonly domains: readonly FailureDomainStatus[];
}

/**
 * Phase of a version move: `soaking` moves are observed before they count as done; `taken-back` moves were rolled back.
 */
export type MovePhase = 'running' | 'soaking' | 'done' | 'taken-back' | 'aborted';

/** A move of a service's traffic from one version to another, in steps. */
export interface Move {
  readonly moveId: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly phase: MovePhase;
  /** Percentage of new requests that go to `toVersion`. */
  readonly sharePercent: number;
  readonly startedAtMs: number;
  /** Unix time in milliseconds; a move that is still running then is rolled back. */
  readonly deadlineAtMs: number;
  /** Unix time in milliseconds of the last change of phase or share. */
  readonly changedAtMs: number;
  /** Why the move was rolled back or aborted, or is late, for operators. */
  readonly reason?: string;
}

/** The newest move of each service, under way or ended, then earlier completed ones, newest first for each service. */
export interface MovesSection {
  readonly moves: readonly Move[];
}

/** Load of a backend server when a request was sent to it; versions are compared within the same band. */
export type LoadBand = 'low' | 'medium' | 'high';

/**
 * How many prompt tokens were predicted to miss the prefix cache. Versions are compared within the same band, because
 * their caches differ in content.
 */
export type PrefillBand = 'tiny' | 'short' | 'long' | 'huge';

/** Sums of the natural logarithms of durations in milliseconds, from which their mean and variance follow. */
export interface DurationMoments {
  readonly count: number;
  readonly sumLogMs: number;
  readonly sumSquaredLogMs: number;
}

/** Results and latencies of a version in one time window, for one route, request class, load band and prefill band. */
export interface VersionEvidence {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly requestClass: string;
  readonly loadBand: LoadBand;
  readonly prefillBand: PrefillBand;
  /** Unix time in milliseconds at which the window starts; a multiple of the window's length. */
  readonly windowStartMs: number;
  /** Attempts that ended within the window. */
  readonly requests: number;
  /**
   * Attempts that the backend server failed: 5xx responses, truncated or invalid streams, timeouts. All failures due to
   * one crash count once. Attempts that a caller cancelled, or whose backend server was leaving, count neither here nor
   * in `requests`.
   */
  readonly errors: number;
  /** Time to the first token, or to the response of a plain service; only from backend servers that are warm. */
  readonly firstToken: DurationMoments;
  /** Mean time between the tokens of an attempt. */
  readonly interToken: DurationMoments;
}

/** Evidence about versions from the last minutes: an entry's own, or that of all entries at the lease holder. */
export interface EvidenceSection {
  readonly windows: readonly VersionEvidence[];
}

/** Kind of an incident. */
export type IncidentKind =
  'bad-version' | 'poison-suspect' | 'poison-quarantined' | 'cold-server' | 'leaving-server';

/** A problem that one daemon has observed and reports to its peers, which act on it until it expires. */
export interface Incident {
  readonly kind: IncidentKind;
  /** Version, request fingerprint or instance id that the incident is about, depending on its kind. */
  readonly subject: string;
  readonly service: string;
  /** Instance id of the daemon that observed the problem. */
  readonly reporter: string;
  readonly observedAtMs: number;
  readonly expiresAtMs: number;
}

/** Incidents that have not expired. */
export interface IncidentsSection {
  readonly incidents: readonly Incident[];
}

/** The lease of the fleet daemons, from the log. */
export interface LeaseSection {
  readonly holder: string | undefined;
  /** Offset of the holder's claim, which is the fencing token of its orders. */
  readonly fencingToken: number;
  readonly termMs: number;
  /** Time at which this daemon read the last claim or renewal. */
  readonly renewalReadAtMs: number;
}

/** Values of all sections, by section name. */
export interface BlackboardSections {
  readonly configuration: ConfigurationSection;
  readonly instances: InstancesSection;
  readonly backendServers: BackendServersSection;
  readonly peers: PeersSection;
  readonly failureDomains: FailureDomainsSection;
  readonly moves: MovesSection;
  readonly incidents: IncidentsSection;
  readonly lease: LeaseSection;
  readonly evidence: EvidenceSection;
}

/** Name of a section of the blackboard. */
export type SectionName = keyof BlackboardSections;
