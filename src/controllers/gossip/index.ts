export {
  MAX_GROUP_SIZE,
  planGossipGroups,
  type GossipGroup,
  type GossipPeer,
} from './planGossipGroups.js';
