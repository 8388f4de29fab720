export {
  MAX_GROUP_SIZE,
  planGossipGroups,
  type GossipGroup,
  type GossipPeer,
} from './planGossipGroups.js';
export {BROADCAST_INTERVAL_MS, getBroadcastDelayMs} from './scheduleBroadcast.js';
