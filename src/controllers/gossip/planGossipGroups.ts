/**
 * Plans which gateways exchange their states directly. Gateways form groups of limited size; the heads of the groups
 * form groups of the next level, and so on up to a single group. So the number of gateways to which one sends its state
 * doesn't grow with the fleet, and a state reaches any gateway in one step up and one step down for each level.
 */
import {getTextKey, rankByRendezvous} from '../../utils/index.js';

/** A gateway that takes part in gossip. */
export interface GossipPeer {
  readonly id: string;
  readonly failureDomain: string;
  readonly isLeaving: boolean;
}

/** A group in which a gateway exchanges states. */
export interface GossipGroup<Peer extends GossipPeer> {
  /** 0 for a group of single gateways; the groups of the heads of level n have level n + 1. */
  readonly level: number;
  /** The other gateways of the group. */
  readonly fellows: readonly Peer[];
  /** The gateway that represents the group in the next level. */
  readonly headId: string;
}

/** Mean size that the groups don't exceed; a single one may be larger, since gateways are divided by a hash. */
export const MAX_GROUP_SIZE = 12;
const RANKING_KEY = 'gossip';

/**
 * Returns the groups of a gateway, from level 0 up; it is the head of all but the last one. All gateways with the same
 * view compute the same groups, and a fleet that fits into one group has no other.
 * @param own - The gateway itself.
 * @param peers - The other live gateways, in any order.
 */
export function planGossipGroups<Peer extends GossipPeer>(
  own: Peer,
  peers: readonly Peer[],
): readonly GossipGroup<Peer>[] {
  const groups: GossipGroup<Peer>[] = [];
  let members = rankByRendezvous(RANKING_KEY, [own, ...peers], ({id}) => id);
  for (let level = 0; ; level += 1) {
    const partition = partitionMembers(members);
    const ownGroup = partition.find(group => group.some(({id}) => id === own.id)) ?? [own];
    const headId = getHead(ownGroup).id;
    groups.push({level, fellows: ownGroup.filter(({id}) => id !== own.id), headId});
    if (partition.length === 1 || headId !== own.id) return groups;
    members = partition.map(getHead);
  }
}

/** The first gateway that isn't leaving represents its group. */
function getHead<Peer extends GossipPeer>(group: readonly Peer[]): Peer {
  return group.find(({isLeaving}) => !isLeaving) ?? group[0];
}

/** Divides gateways into groups of the same failure domain, where there are too many for a single group. */
function partitionMembers<Peer extends GossipPeer>(
  members: readonly Peer[],
): readonly (readonly Peer[])[] {
  if (members.length <= MAX_GROUP_SIZE) return [members];
  const byDomain = groupBy(members, ({failureDomain}) => failureDomain);
  // Each domain has a single member: groups of one domain each would not reduce the number of members.
  if (byDomain.length === members.length) return divide(members);
  return byDomain.flatMap(divide);
}

/**
 * Divides gateways by a hash of their ids, into a power of two of groups. So the groups of the others stay as they are
 * when a gateway joins or fails, and gateways that learn of it at different times still plan nearly the same groups.
 */
function divide<Peer extends GossipPeer>(members: readonly Peer[]): readonly (readonly Peer[])[] {
  const parts = 2 ** Math.max(0, Math.ceil(Math.log2(members.length / MAX_GROUP_SIZE)));
  return groupBy(members, ({id}) => getTextKey(id) % parts);
}

function groupBy<Item>(
  items: readonly Item[],
  getKey: (item: Item) => string | number,
): readonly (readonly Item[])[] {
  const groups = new Map<string | number, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    groups.set(key, [...(groups.get(key) ?? []), item]);
  }
  return [...groups.values()];
}
