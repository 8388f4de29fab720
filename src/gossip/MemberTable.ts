/** Membership of the gateways: which are live, and which may still be running. */
import type {GatewayMember} from './GossipState.js';
import {applyStatusTo, getMemberKey, getStatus, type MemberStatus} from './StateSummary.js';

/** A member, with the times at which it became known and last sent a datagram. */
export interface MemberRecord {
  readonly member: GatewayMember;
  /** Monotonic time of the last datagram from it; undefined if it is known from other members only. */
  readonly lastReceivedAtMs: number | undefined;
  /** Monotonic time at which the head of its group last reported it as live; undefined if none has. */
  lastReportedAtMs: number | undefined;
  /** Monotonic time since which datagrams from it are expected; undefined while none are. */
  readonly expectedSinceMs: number | undefined;
  /** Whether it has sent none of the expected datagrams. */
  readonly hasFailed: boolean;
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
/** Time for which a report that a gateway of another group is live holds; covers the replacement of that group's head. */
const REPORT_VALIDITY_MS = 2_500;

/** All other gateways of the deployment that one gateway knows of. */
export class MemberTable {
  private readonly members = new Map<string, MemberRecord>();
  /** Ids by the key of the start that `members` contains. */
  private readonly idsByKey = new Map<number, string>();
  private readonly ownId: string;
  private readonly timeouts: MemberTimeouts;
  private changeCount = 0;

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
    this.setRecord({
      member,
      lastReceivedAtMs: nowMs,
      lastReportedAtMs: known?.lastReportedAtMs,
      expectedSinceMs: known?.expectedSinceMs,
      hasFailed: false,
      firstKnownAtMs: known?.firstKnownAtMs ?? nowMs,
    });
    return true;
  }

  /**
   * Adds a gateway that another member reported, unless it is leaving or the same start or a later one is known.
   * @param member - The reported gateway.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyReported(member: GatewayMember, nowMs: number): void {
    const known = this.members.get(member.id);
    if (member.id === this.ownId || member.isLeaving) return;
    if (known && known.member.incarnation >= member.incarnation) return;
    this.setRecord({
      member,
      lastReceivedAtMs: undefined,
      lastReportedAtMs: undefined,
      expectedSinceMs: undefined,
      hasFailed: false,
      firstKnownAtMs: known?.firstKnownAtMs ?? nowMs,
    });
  }

  /**
   * Records that the head of another group reports a gateway as live; an unknown start has no effect.
   * @param status - The reported gateway.
   * @param nowMs - Current monotonic time in milliseconds.
   * @returns Whether this start of the gateway is a member.
   */
  applyStatus({key, status}: MemberStatus, nowMs: number): boolean {
    const record = this.members.get(this.idsByKey.get(key) ?? '');
    if (!record) return false;
    const isHeard = this.isWithin(
      record.lastReceivedAtMs,
      nowMs,
      this.timeouts.unresponsiveAfterMs,
    );
    // What a gateway says of itself is newer than what others report.
    const isNews = !isHeard && getStatus(record.member) !== status;
    record.lastReportedAtMs = nowMs;
    if (!isNews && !record.hasFailed) return true;
    const member = isNews ? applyStatusTo(record.member, status) : record.member;
    this.setRecord({...record, hasFailed: false, member});
    return true;
  }

  /**
   * Returns a number that rises when the result of `getPresentMembers` changes: a member joins, fails, recovers, leaves
   * or is started again. Members that are due to fail or to be removed are updated first.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getVersion(nowMs: number): number {
    this.removeStopped(nowMs);
    this.markFailed(nowMs);
    return this.changeCount;
  }

  /** Returns whether a gateway is a member, live or not. */
  isKnown(id: string): boolean {
    return this.members.has(id);
  }

  /**
   * Returns the members that became known recently.
   * @param sinceMs - Monotonic time; members that became known earlier are left out.
   */
  getNewMembers(sinceMs: number): readonly GatewayMember[] {
    return [...this.members.values()]
      .filter(({firstKnownAtMs}) => firstKnownAtMs >= sinceMs)
      .map(({member}) => member);
  }

  /**
   * Sets from which members datagrams are expected. One that sends none for the timeout has failed until it does, or
   * is reported as live.
   * @param ids - Ids of these members.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  setExpected(ids: ReadonlySet<string>, nowMs: number): void {
    for (const [id, record] of this.members) {
      const expectedSinceMs = ids.has(id) ? (record.expectedSinceMs ?? nowMs) : undefined;
      if (expectedSinceMs !== record.expectedSinceMs) {
        this.members.set(id, {...record, expectedSinceMs});
      }
    }
  }

  /**
   * Returns the members that haven't failed, though some of them may not have been heard yet. Gossip groups are planned
   * for these: gateways that have heard different members would plan different groups.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getPresentMembers(nowMs: number): readonly GatewayMember[] {
    this.removeStopped(nowMs);
    this.markFailed(nowMs);
    return [...this.members.values()].filter(({hasFailed}) => !hasFailed).map(({member}) => member);
  }

  /**
   * Returns the members that sent a datagram recently or are reported as live, including leaving ones.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getLiveMembers(nowMs: number): readonly GatewayMember[] {
    return [...this.members.values()]
      .filter(record => this.isLive(record, nowMs))
      .map(({member}) => member);
  }

  /**
   * Returns the members that may be running, but are not live.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getUnresponsiveMembers(nowMs: number): readonly GatewayMember[] {
    this.removeStopped(nowMs);
    return [...this.members.values()]
      .filter(record => !this.isLive(record, nowMs))
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
   * Returns all members, live or not.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getMembers(nowMs: number): readonly GatewayMember[] {
    this.removeStopped(nowMs);
    return [...this.members.values()].map(({member}) => member);
  }

  private setRecord(record: MemberRecord): void {
    const {member} = record;
    const known = this.members.get(member.id);
    this.members.set(member.id, record);
    if (!known || isOtherPlan(known, record)) this.changeCount += 1;
    if (known?.member.incarnation === member.incarnation) return;
    if (known) this.idsByKey.delete(getMemberKey(known.member));
    this.idsByKey.set(getMemberKey(member), member.id);
  }

  private isLive({lastReceivedAtMs, lastReportedAtMs}: MemberRecord, nowMs: number): boolean {
    return (
      this.isWithin(lastReceivedAtMs, nowMs, this.timeouts.unresponsiveAfterMs) ||
      this.isWithin(lastReportedAtMs, nowMs, REPORT_VALIDITY_MS)
    );
  }

  private markFailed(nowMs: number): void {
    for (const [id, record] of this.members) {
      const {expectedSinceMs, lastReceivedAtMs} = record;
      if (expectedSinceMs === undefined) continue;
      const silentSinceMs = Math.max(expectedSinceMs, lastReceivedAtMs ?? -Infinity);
      if (this.isWithin(silentSinceMs, nowMs, this.timeouts.unresponsiveAfterMs)) continue;
      this.members.set(id, {...record, hasFailed: true, expectedSinceMs: undefined});
      this.changeCount += 1;
    }
  }

  private removeStopped(nowMs: number): void {
    for (const [id, {member, lastReceivedAtMs, lastReportedAtMs, firstKnownAtMs}] of this.members) {
      const lastKnownAtMs = Math.max(
        firstKnownAtMs,
        lastReceivedAtMs ?? -Infinity,
        lastReportedAtMs ?? -Infinity,
      );
      if (this.isWithin(lastKnownAtMs, nowMs, this.timeouts.removedAfterMs)) continue;
      this.members.delete(id);
      this.idsByKey.delete(getMemberKey(member));
      this.changeCount += 1;
    }
  }

  private isWithin(sinceMs: number | undefined, nowMs: number, limitMs: number): boolean {
    return sinceMs !== undefined && nowMs - sinceMs <= limitMs;
  }
}

/** Returns whether groups are planned in another way for a member than before. */
function isOtherPlan(before: MemberRecord, after: MemberRecord): boolean {
  return (
    before.hasFailed !== after.hasFailed ||
    before.member.incarnation !== after.member.incarnation ||
    before.member.isLeaving !== after.member.isLeaving
  );
}
