/** State that gateways exchange by gossip, in its decoded form. */
import type {RecordedDeparture, RecordedEntry} from '../catalog/index.js';
import type {NamedLimit, ServerLoad} from '../controllers/placement/index.js';
import type {EvidenceRow} from '../controllers/moves/FleetEvidence.js';
import type {RolloutStep} from '../controllers/moves/RolloutStep.js';
import type {CrashFindings} from '../controllers/quarantine/index.js';
import type {LogPosition, RelayedRead} from '../controllers/reading/index.js';
import type {StateSummary} from './StateSummary.js';

/** A gateway's own description of itself, which the other gateways keep as its member record. */
export interface GatewayMember {
  readonly id: string;
  /** Unix time of its start in milliseconds, which identifies this run of the gateway. */
  readonly incarnation: number;
  /** IP address and port for datagrams. */
  readonly gossipAddress: string;
  /** IP address and port for callers. */
  readonly trafficAddress: string;
  readonly failureDomain: string;
  /** Whether it serves new callers. */
  readonly isReady: boolean;
  /** Whether it is stopping. */
  readonly isLeaving: boolean;
  /** Whether it has lost its links to most backend servers, and passes requests on to other gateways. */
  readonly isCutOff: boolean;
}

/** Number of requests of a workspace that started to run in a window of wall clock time. */
export interface UsageCount {
  /** Index of the window, counted from the Unix epoch. */
  readonly window: number;
  readonly workspace: string;
  readonly requests: number;
}

/** Claim of the duties, which one gateway at a time may perform. */
export interface DutyClaim {
  /** Fencing token; higher for a later claim, 0 for no claim. */
  readonly token: number;
  readonly holderId: string;
}

/**
 * A gateway's knowledge of the backend servers' registrations: its read position, a digest, and recent changes and
 * departures.
 */
export interface RegistrationsUpdate {
  /** Position at which the gateway will read next. */
  readonly position: LogPosition;
  /** Time since the registrations were last known to be complete. */
  readonly ageMs: number;
  /** Digest of all servers that are not draining; equal digests mean equal registrations. */
  readonly digest: bigint;
  /** Registrations that changed recently, and those of cold servers. */
  readonly changed: readonly RecordedEntry[];
  /** Server starts that have announced that they are leaving. */
  readonly draining: readonly RecordedDeparture[];
  /** Server starts whose registrations have been removed. */
  readonly removed: readonly RecordedDeparture[];
}

/** State that a gateway sends in a datagram. */
export interface GossipState {
  readonly sender: GatewayMember;
  /** Some of the live members that the sender knows; another datagram contains others. */
  readonly members: readonly GatewayMember[];
  /** Level of the group in which the sender sends the datagram. */
  readonly level: number;
  /** Whether the datagram carries no load, admissions and usage. */
  readonly isAnnouncement: boolean;
  /** Whether the sender asks for an answer with members, since it may know too few. */
  readonly requestsMembers: boolean;
  /** Requests or tokens admitted by the sender since its start, by workspace. */
  readonly admitted: ReadonlyMap<string, number>;
  /** Whether `admitted` contains all workspaces; otherwise only those with recent requests. */
  readonly hasAllWorkspaces: boolean;
  /** The sender's own load on each backend server, by the key of the server's id. */
  readonly serverLoads: ReadonlyMap<number, ServerLoad>;
  /** Prompt tokens per second that the sender sends, by service. */
  readonly promptRates: ReadonlyMap<string, number>;
  /** The sender's own usage; empty if it is left out. */
  readonly usage: readonly UsageCount[];
  /** State of all gateways that the sender represents, itself included; undefined at level 0. */
  readonly summary: StateSummary | undefined;
  /** State of all gateways outside the group; undefined if the sender isn't its head, or if it is left out. */
  readonly rest: StateSummary | undefined;
  readonly dutyClaim: DutyClaim;
  /** Newest usage window that a duty holder has written and may have reported; 0 for none. */
  readonly reportedUsageWindow: number;
  /** Version of the configuration that is in force at the sender; 0 for none. */
  readonly configurationVersion: number;
  /** Position at which the sender will read the operators' records next. */
  readonly operatorPosition: LogPosition;
  /** The newest read by which the sender's operators' records are known to be complete. */
  readonly operatorRead: RelayedRead;
  /** Age of the proof that the sender's operators' records are complete; infinite without one. */
  readonly operatorProofAgeMs: number;
  /** Time on the sender's clock in milliseconds, from an arbitrary start. */
  readonly stampMs: number;
  /** The latest stamps that the sender has received from some of the recipients, by the keys of their starts. */
  readonly returnedStamps: ReadonlyMap<number, number>;
  readonly registrations: RegistrationsUpdate;
  /** Crashes of backend servers, and what has been answered since; those that are new, or some of all. */
  readonly findings: CrashFindings;
  /** Limits that servers have named; those that have changed, or some of all. */
  readonly serverLimits: readonly NamedLimit[];
  /** Steps of roll-outs: running ones, and ended ones that are new, or all of them. */
  readonly rolloutSteps: readonly RolloutStep[];
  /** Results of the sender's attempts at services with a running roll-out; empty if they are left out. */
  readonly rolloutResults: readonly EvidenceRow[];
  /** Unix time of the sender's clock in milliseconds. */
  readonly wallMs: number;
}
