/** The gateways that are heard, and those that may still be running. */
import type {GatewayMember} from './GossipState.js';

/** A gateway and when it was last heard. */
export interface HeardMember {
  readonly member: GatewayMember;
  /** Instant of its last datagram, monotonic; undefined where it is known from others only. */
  readonly heardAtMs: number | undefined;
  /** Instant at which it was first named, monotonic. */
  readonly namedAtMs: number;
}

/** Times after which a silent gateway counts for less. */
export interface MemberTimes {
  /** A gateway that is silent for longer gets no callers. */
  readonly silentAfterMs: number;
  /** A gateway that is silent for longer is taken not to run any more. */
  readonly goneAfterMs: number;
}

/** Datagrams of an earlier start don't arrive later than this after the first one of a later start. */
const LATE_DATAGRAM_MS = 600;

/** All other gateways that one gateway knows. */
export class MemberTable {
  private readonly members = new Map<string, HeardMember>();
  private readonly ownId: string;
  private readonly times: MemberTimes;

  constructor(ownId: string, times: MemberTimes) {
    this.ownId = ownId;
    this.times = times;
  }

  /**
   * Takes a datagram's sender; returns false for an earlier start of a gateway whose later start is being heard. Where
   * that one is silent, the lower number comes from a clock that was set back.
   * @param member - The sender.
   * @param nowMs - Present time, monotonic.
   */
  applyHeard(member: GatewayMember, nowMs: number): boolean {
    if (member.id === this.ownId) return false;
    const known = this.members.get(member.id);
    if (known && known.member.incarnation > member.incarnation) {
      if (this.isWithin(known.heardAtMs, nowMs, LATE_DATAGRAM_MS)) return false;
    }
    this.members.set(member.id, {member, heardAtMs: nowMs, namedAtMs: known?.namedAtMs ?? nowMs});
    return true;
  }

  /**
   * Takes a gateway that another one named.
   * @param member - The gateway.
   * @param nowMs - Present time, monotonic.
   */
  applyNamed(member: GatewayMember, nowMs: number): void {
    if (member.id === this.ownId || member.isLeaving || this.members.has(member.id)) return;
    this.members.set(member.id, {member, heardAtMs: undefined, namedAtMs: nowMs});
  }

  /**
   * Returns the gateways that are heard, leaving ones included.
   * @param nowMs - Present time, monotonic.
   */
  getHeard(nowMs: number): readonly GatewayMember[] {
    return [...this.members.values()]
      .filter(({heardAtMs}) => this.isWithin(heardAtMs, nowMs, this.times.silentAfterMs))
      .map(({member}) => member);
  }

  /**
   * Returns how many other gateways may be running.
   * @param nowMs - Present time, monotonic.
   */
  getKnownCount(nowMs: number): number {
    this.dropGone(nowMs);
    return [...this.members.values()].filter(({member}) => !member.isLeaving).length;
  }

  /**
   * Returns every gateway to which state is sent.
   * @param nowMs - Present time, monotonic.
   */
  getAll(nowMs: number): readonly GatewayMember[] {
    this.dropGone(nowMs);
    return [...this.members.values()].map(({member}) => member);
  }

  private dropGone(nowMs: number): void {
    for (const [id, {heardAtMs, namedAtMs}] of this.members) {
      if (!this.isWithin(heardAtMs ?? namedAtMs, nowMs, this.times.goneAfterMs)) {
        this.members.delete(id);
      }
    }
  }

  private isWithin(atMs: number | undefined, nowMs: number, limitMs: number): boolean {
    return atMs !== undefined && nowMs - atMs <= limitMs;
  }
}
