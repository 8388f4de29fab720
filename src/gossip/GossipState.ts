/** What gateways tell each other. */
import type {ServerEntry, ServerStart} from '../catalog/index.js';
import type {ServerLoad} from '../controllers/placement/index.js';

/** A gateway as it describes itself. */
export interface GatewayMember {
  readonly id: string;
  /** Unix time of its start in milliseconds. */
  readonly incarnation: number;
  readonly gossipAddress: string;
  readonly trafficAddress: string;
  readonly failureDomain: string;
  readonly isReady: boolean;
  readonly isLeaving: boolean;
}

/** Requests of a workspace that began to run in a window of wall clock time. */
export interface UsageCount {
  readonly window: number;
  readonly workspace: string;
  readonly requests: number;
}

/** Who performs the duties that one process at a time may perform. */
export interface DutyClaim {
  /** Fencing token; a later claim has a higher one. 0 for no claim. */
  readonly token: number;
  readonly holderId: string;
}

/** What a gateway has read of the backend servers' registrations. */
export interface RegistrationsUpdate {
  /** Next offset that the gateway will read; 0 before its first reading. */
  readonly offset: number;
  /** Age of the reading. */
  readonly ageMs: number;
  /** Hash of all servers that took requests then. */
  readonly digest: bigint;
  /** Registrations that changed lately, and those of cold servers. */
  readonly changed: readonly ServerEntry[];
  /** Starts that said themselves that they leave. */
  readonly draining: readonly ServerStart[];
  /** Starts whose registrations have gone. */
  readonly removed: readonly ServerStart[];
}

/** The state that a gateway tells. */
export interface GossipState {
  readonly sender: GatewayMember;
  readonly members: readonly GatewayMember[];
  /** Requests or tokens admitted since the sender's start, by workspace. */
  readonly admitted: ReadonlyMap<string, number>;
  readonly serverLoads: ReadonlyMap<string, ServerLoad>;
  readonly usage: readonly UsageCount[];
  readonly dutyClaim: DutyClaim;
  /** Next offset of the operators' records that the sender will read. */
  readonly operatorOffset: number;
  /** Age of that reading. */
  readonly operatorAgeMs: number;
  readonly registrations: RegistrationsUpdate;
  /** The sender's clock, Unix time. */
  readonly wallMs: number;
}
