/** The sections of the blackboard: read-only shapes, each with one writer. */
import type {Configuration} from '../configuration/index.js';

/** Revision 0 stands for "no configuration yet". */
export interface ConfigurationSection {
  readonly revision: number;
  readonly configuration: Configuration | undefined;
  /** Instant of the last read that showed the revision to be the newest, here or at a peer. */
  readonly confirmedAtMs: number;
}

/** Whether an instance takes new work, as the platform or the instance itself says. */
export type InstanceState = 'live' | 'leaving' | 'gone';

/** What an instance runs. */
export type InstanceRole = 'entry' | 'fleet' | 'backend';

/** An instance of the platform's list. */
export interface Instance {
  readonly instanceId: string;
  readonly role: InstanceRole;
  /** IP number. */
  readonly address: string;
  /** Port for callers or requests. */
  readonly port: number;
  /** Port for the system's own daemons; absent for a backend server. */
  readonly peerPort?: number;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly state: InstanceState;
  /** Instant at which the platform takes the instance away, once announced. */
  readonly leavingAtMs?: number;
  /** Service and version of a backend server; absent for the system's own instances. */
  readonly service?: string;
  readonly version?: string;
}

/** The platform's lagging list of instances. */
export interface InstancesSection {
  readonly instances: readonly Instance[];
  readonly readAtMs: number;
}

/** Warmth of a backend server: how much load it can bear. */
export type Warmth = 'cold' | 'warming' | 'warm' | 'suspect';

/** Load as a backend server reported it; it lags. */
export interface LoadReport {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedPrefillTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly cachedTokens: number;
  readonly reportedAtMs: number;
}

/** A backend server as an entry sees it. */
export interface BackendServer {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  /** IP number. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly state: InstanceState;
  readonly leavingAtMs?: number;
  readonly warmth: Warmth;
  readonly load?: LoadReport;
}

/** The backend servers known to a daemon. */
export interface BackendServersSection {
  readonly servers: readonly BackendServer[];
}

/** State of another daemon of the system. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'leaving';

/** Another daemon of the system, or this one. */
export interface Member {
  readonly instanceId: string;
  readonly state: MemberState;
  readonly incarnation: number;
  /** IP number. */
  readonly address: string;
  readonly peerPort: number;
  readonly callersPort: number;
  readonly failureDomain: string;
  /** Configuration revision that the member said was in force there. */
  readonly configurationRevision: number;
  readonly changedAtMs: number;
}

/** The entries of the deployment, this one included. */
export interface PeersSection {
  readonly members: readonly Member[];
}

/** Whether operators let a failure domain take new work. */
export type FailureDomainState = 'in' | 'out' | 'returning';

/** An operator's order about a failure domain. */
export interface FailureDomainStatus {
  readonly name: string;
  readonly state: FailureDomainState;
  readonly revision: number;
  readonly changedAtMs: number;
}

/** Failure domains on which an order stands; others are in service. */
export interface FailureDomainsSection {
  readonly domains: readonly FailureDomainStatus[];
}

/** Phase of a version move. */
export type MovePhase = 'running' | 'soaking' | 'done' | 'taken-back' | 'aborted';

/** A move of a service's traffic from one version to another. */
export interface Move {
  readonly moveId: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  readonly phase: MovePhase;
  /** Part of new work that goes to `toVersion`. */
  readonly sharePercent: number;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** Instant of the last change of phase or share. */
  readonly changedAtMs: number;
  /** Why the move was taken back or is late, for operators. */
  readonly reason?: string;
}

/** The newest move of each service, under way or ended, then the earlier ones that are done, newest first. */
export interface MovesSection {
  readonly moves: readonly Move[];
}

/** How busy a backend server was when a request was sent to it, so that versions are compared under like load. */
export type LoadBand = 'low' | 'medium' | 'high';

/** How much of a prompt had to be computed, by the prediction; versions differ in what their caches hold. */
export type PrefillBand = 'tiny' | 'short' | 'long' | 'huge';

/** Sums of the natural logarithms of durations in milliseconds; enough for their mean and variance. */
export interface DurationMoments {
  readonly count: number;
  readonly sumLogMs: number;
  readonly sumSquaredLogMs: number;
}

/** What an entry saw of a version on one route, for one class, under like load, within one window of time. */
export interface VersionEvidence {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly requestClass: string;
  readonly loadBand: LoadBand;
  readonly prefillBand: PrefillBand;
  /** Start of the window, a multiple of its length by the wall clock. */
  readonly windowStartMs: number;
  /** Tries that ended within the window. */
  readonly requests: number;
  /**
   * Tries that failed through the backend server: answers of 5xx, broken or wrong streams, timeouts. The failures of one
   * crash count once. Tries that a caller cancelled, or whose backend server was leaving, are not counted at all.
   */
  readonly errors: number;
  /** Time to the first token, or to the answer of a plain service; of backend servers that are warm. */
  readonly firstToken: DurationMoments;
  /** Mean time between tokens of a try. */
  readonly interToken: DurationMoments;
}

/** Evidence of the last minutes: an entry's own, or at the lease's holder that of all entries. */
export interface EvidenceSection {
  readonly windows: readonly VersionEvidence[];
}

/** What evidence is about. */
export type IncidentKind =
  'bad-version' | 'poison-suspect' | 'poison-quarantined' | 'cold-server' | 'leaving-server';

/** Evidence that one daemon has and its peers act on. */
export interface Incident {
  readonly kind: IncidentKind;
  /** Version, fingerprint or instance that it is about. */
  readonly subject: string;
  readonly service: string;
  readonly reporter: string;
  readonly observedAtMs: number;
  readonly expiresAtMs: number;
}

/** Evidence that still stands. */
export interface IncidentsSection {
  readonly incidents: readonly Incident[];
}

/** The lease of the fleet's holder as the log gives it. */
export interface LeaseSection {
  readonly holder: string | undefined;
  /** Offset of the claim; the fencing token of the holder's orders. */
  readonly fencingToken: number;
  readonly termMs: number;
  /** Instant at which this daemon read the last renewal. */
  readonly renewalReadAtMs: number;
}

/** All sections by name. */
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

/** Name of a section. */
export type SectionName = keyof BlackboardSections;
