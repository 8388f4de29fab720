/** Chooses which member records a gateway sends, and which gateways outside its groups it contacts. */
import type {GatewayMember, MemberTable} from '../gossip/index.js';
import {takeInTurn} from '../utils/index.js';

/** Constructor options of `GossipRecipients`. */
export interface GossipRecipientsOptions {
  readonly members: MemberTable;
  /** This gateway's own gossip address. */
  readonly ownAddress: string;
  /** Addresses through which the other gateways are found. */
  readonly seeds: readonly string[];
}

/** New member records in a datagram. */
const NEW_MEMBERS_IN_TURN = 4;
/** Time for which a member counts as new. */
const NEW_MEMBER_MS = 3_000;
/** Unresponsive members that are contacted at a time, in case they are reachable again. */
const UNRESPONSIVE_RECIPIENTS = 2;

/** Takes members in turn, so that each of them is included after some datagrams. */
export class GossipRecipients {
  private readonly members: MemberTable;
  private readonly ownAddress: string;
  private seeds: readonly string[];
  private memberCursor = 0;
  private newMemberCursor = 0;
  private unresponsiveCursor = 0;

  constructor({members, ownAddress, seeds}: GossipRecipientsOptions) {
    this.members = members;
    this.ownAddress = ownAddress;
    this.seeds = seeds;
  }

  /**
   * Replaces the seeds.
   * @param addresses - Each an IP address and port.
   */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
  }

  /**
   * Returns the next of the members that became known recently.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getNewMembers(nowMs: number): readonly GatewayMember[] {
    const members = this.members.getNewMembers(nowMs - NEW_MEMBER_MS);
    const chosen = takeInTurn(members, this.newMemberCursor, NEW_MEMBERS_IN_TURN);
    this.newMemberCursor += NEW_MEMBERS_IN_TURN;
    return chosen;
  }

  /**
   * Returns the next of all live members, without leaving ones.
   * @param count - Number of members.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getLiveMembers(count: number, nowMs: number): readonly GatewayMember[] {
    const live = this.members.getLiveMembers(nowMs).filter(({isLeaving}) => !isLeaving);
    const chosen = takeInTurn(live, this.memberCursor, count);
    this.memberCursor += count;
    return chosen;
  }

  /**
   * Returns the addresses of the seeds that aren't members.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getUnknownSeeds(nowMs: number): readonly string[] {
    const known = this.members.getMembers(nowMs).map(({gossipAddress}) => gossipAddress);
    return this.seeds.filter(seed => seed !== this.ownAddress && !known.includes(seed));
  }

  /**
   * Returns the addresses of the next of the unresponsive members.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getUnresponsiveAddresses(nowMs: number): readonly string[] {
    const unresponsive = this.members.getUnresponsiveMembers(nowMs);
    const chosen = takeInTurn(unresponsive, this.unresponsiveCursor, UNRESPONSIVE_RECIPIENTS);
    this.unresponsiveCursor += UNRESPONSIVE_RECIPIENTS;
    return chosen.map(({gossipAddress}) => gossipAddress);
  }
}
