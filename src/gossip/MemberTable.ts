/** Membership of the gateways: which are live, and which may still be running. */
import type {GatewayMember} from './GossipState.js';

/** A member, with the times at which it became known and last sent a datagram. */
export interface MemberRecord {
  readonly member: GatewayMember;
  /** Monotonic time of the last datagram from it; undefined if it is known from other members only. */
  readonly lastReceivedAtMs: number | undefined;
  /** Monotonic time at which it first sent a datagram or was first reported by another member. */
  readonly firstKnownAtMs: number;
}

/** Timeouts after which a member that sends no datagrams is no longer live, and is then removed. */
export interface MemberTimeouts {
  /** Time without a datagram after which a member is not live and gets no callers. */
  readonly unresponsiveAfterMs: number;
  /** Time without a datagram after which a member is assumed to have stopped and is removed. */
  readonly removedAfterMs: number;
}

/** Datagrams of an earlier start arrive no later than this after the first one of a later start. */
const MAX_DATAGRAM_DELAY_MS = 600;

/** All other gateways of the deployment that one gateway knows of. */
export class MemberTable {
  private readonly members = new Map<string, MemberRecord>();
  private readonly ownId: string;
  private readonly timeouts: MemberTimeouts;

  constructor(ownId: string, timeouts: MemberTimeouts) {
    this.ownId = ownId;
    this.timeouts = timeouts;
  }

  /**
   * Records the sender of a datagram; returns false if the datagram must be ignored: it was sent by this gateway
   * itself, or by an earlier start of a gateway while datagrams of a later start arrive. If none of the later start
   * arrive, the lower incarnation comes from a clock that was set back, and is accepted.
   * @param member - Sender of the datagram.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applySender(member: GatewayMember, nowMs: number): boolean {
    if (member.id === this.ownId) return false;
    const known = this.members.get(member.id);
    if (known && known.member.incarnation > member.incarnation) {
      if (this.isWithin(known.lastReceivedAtMs, nowMs, MAX_DATAGRAM_DELAY_MS)) return false;
    }
    this.members.set(member.id, {
      member,
      lastReceivedAtMs: nowMs,
      firstKnownAtMs: known?.firstKnownAtMs ?? nowMs,
    });
    return true;
  }

  /**
   * Adds a gateway that another member reported, unless it is already known or leaving.
   * @param member - The reported gateway.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyReported(member: GatewayMember, nowMs: number): void {
    if (member.id === this.ownId || member.isLeaving || this.members.has(member.id)) return;
    this.members.set(member.id, {member, lastReceivedAtMs: undefined, firstKnownAtMs: nowMs});
  }

  /**
   * Returns the members from which a datagram arrived recently, including leaving ones.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getLiveMembers(nowMs: number): readonly GatewayMember[] {
    return [...this.members.values()]
      .filter(({lastReceivedAtMs}) =>
        this.isWithin(lastReceivedAtMs, nowMs, this.timeouts.unresponsiveAfterMs),
      )
      .map(({member}) => member);
  }

  /**
   * Returns the number of other gateways that may be running, live or not; leaving ones are not counted.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getKnownCount(nowMs: number): number {
    return this.getKnownIds(nowMs).length;
  }

  /**
   * Returns the ids of the other gateways that may be running, live or not, without leaving ones.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getKnownIds(nowMs: number): readonly string[] {
    return this.getMembers(nowMs)
      .filter(({isLeaving}) => !isLeaving)
      .map(({id}) => id);
  }

  /**
   * Returns all members, live or not; they are the recipients of gossip.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getMembers(nowMs: number): readonly GatewayMember[] {
    this.removeStopped(nowMs);
    return [...this.members.values()].map(({member}) => member);
  }

  private removeStopped(nowMs: number): void {
    for (const [id, {lastReceivedAtMs, firstKnownAtMs}] of this.members) {
      if (!this.isWithin(lastReceivedAtMs ?? firstKnownAtMs, nowMs, this.timeouts.removedAfterMs)) {
        this.members.delete(id);
      }
    }
  }

  private isWithin(sinceMs: number | undefined, nowMs: number, limitMs: number): boolean {
    return sinceMs !== undefined && nowMs - sinceMs <= limitMs;
  }
}
