/** Combined load, admissions and usage of several gateways, whose size doesn't depend on their number. */
import type {EvidenceRow} from '../controllers/moves/FleetEvidence.js';
import type {ServerLoad} from '../controllers/placement/index.js';
import {getTextKey, hashText} from '../utils/index.js';
import type {GatewayMember, UsageCount} from './GossipState.js';

/** A live gateway, as other gateways see it. */
export interface MemberStatus {
  /** Key of the gateway's start, see `getMemberKey`. */
  readonly key: number;
  readonly status: 'ready' | 'not-ready' | 'leaving' | 'cut-off';
}

/** Combined state of a set of gateways. */
export interface StateSummary {
  readonly gateways: number;
  /** Sum of the hashes of the gateways' starts; it changes when a gateway joins or leaves the set or restarts. */
  readonly composition: bigint;
  /** Mean age of the gateways' states. */
  readonly ageMs: number;
  /** Requests or tokens admitted since the gateways' starts, by the key of the workspace's name. */
  readonly admitted: ReadonlyMap<number, number>;
  /** Load on each backend server, by the key of the server's id. */
  readonly serverLoads: ReadonlyMap<number, ServerLoad>;
  /** Prompt tokens per second that the gateways send, by service. */
  readonly promptRates: ReadonlyMap<string, number>;
  /** Usage counts; empty if they are left out. */
  readonly usage: readonly UsageCount[];
  /** Results of attempts at services with a running roll-out; empty if they are left out. */
  readonly rolloutResults: readonly EvidenceRow[];
  readonly members: readonly MemberStatus[];
}

/** A summary that was received some time ago. */
export interface AgedSummary {
  readonly summary: StateSummary;
  /** Time since it was received. */
  readonly sinceReceivedMs: number;
}

const COMPOSITION_BITS = 64;

/** Returns the key of one start of a gateway. */
export function getMemberKey({id, incarnation}: MemberStart): number {
  return getTextKey(`${id}/${incarnation}`);
}

/** Returns the composition of a summary of a single gateway. */
export function getComposition({id, incarnation}: MemberStart): bigint {
  return hashText(`${id}/${incarnation}`);
}

/** Returns the status of a live gateway, with its key. */
export function getMemberStatus(member: GatewayMember): MemberStatus {
  return {key: getMemberKey(member), status: getStatus(member)};
}

/** Returns what other gateways should know of a live gateway. */
export function getStatus(member: GatewayMember): MemberStatus['status'] {
  if (member.isLeaving) return 'leaving';
  if (!member.isReady) return 'not-ready';
  return member.isCutOff ? 'cut-off' : 'ready';
}

/** Returns a member record with the status that another gateway reports. */
export function applyStatusTo(
  member: GatewayMember,
  status: MemberStatus['status'],
): GatewayMember {
  return {
    ...member,
    isReady: status === 'ready' || status === 'cut-off',
    isLeaving: status === 'leaving',
    isCutOff: status === 'cut-off',
  };
}

/**
 * Adds up summaries of different gateways.
 * @param parts - None of them may contain the same gateway as another.
 */
export function mergeSummaries(parts: readonly AgedSummary[]): StateSummary {
  const admitted = new Map<number, number>();
  const serverLoads = new Map<number, ServerLoad>();
  const promptRates = new Map<string, number>();
  const usage = new Map<string, UsageCount>();
  let gateways = 0;
  let composition = 0n;
  let totalAgeMs = 0;
  for (const {summary, sinceReceivedMs} of parts) {
    gateways += summary.gateways;
    composition = BigInt.asUintN(COMPOSITION_BITS, composition + summary.composition);
    totalAgeMs += summary.gateways * (summary.ageMs + sinceReceivedMs);
    for (const [key, amount] of summary.admitted) addAmount(admitted, key, amount);
    for (const [service, rate] of summary.promptRates) addAmount(promptRates, service, rate);
    for (const [key, load] of summary.serverLoads) addLoad(serverLoads, key, load);
    for (const count of summary.usage) addUsage(usage, count);
  }
  return {
    gateways,
    composition,
    ageMs: gateways === 0 ? 0 : totalAgeMs / gateways,
    admitted,
    serverLoads,
    promptRates,
    usage: [...usage.values()],
    // Added up by `FleetEvidence`, which knows the windows of a source that a report leaves out.
    rolloutResults: [],
    members: parts.flatMap(({summary}) => summary.members),
  };
}

/** Identifies one start of a gateway. */
type MemberStart = Pick<GatewayMember, 'id' | 'incarnation'>;

function addAmount<Key>(amounts: Map<Key, number>, key: Key, amount: number): void {
  amounts.set(key, (amounts.get(key) ?? 0) + amount);
}

function addLoad(loads: Map<number, ServerLoad>, key: number, load: ServerLoad): void {
  const known = loads.get(key);
  loads.set(key, {
    openRequests: (known?.openRequests ?? 0) + load.openRequests,
    pendingPromptTokens: (known?.pendingPromptTokens ?? 0) + load.pendingPromptTokens,
  });
}

function addUsage(usage: Map<string, UsageCount>, count: UsageCount): void {
  const key = `${count.window} ${count.workspace}`;
  const requests = (usage.get(key)?.requests ?? 0) + count.requests;
  usage.set(key, {...count, requests});
}
