export {chooseBackendServer} from './chooseBackendServer.js';
export {
  DEFAULT_PREFIX_INDEX,
  PrefixIndex,
  type CacheEvent,
  type CacheEventResult,
  type CacheEventSlice,
  type PrefixIndexOptions,
} from './PrefixIndex.js';
export type {ChooseServer, RoutingDecision, RoutingRequest, RoutingView} from './RoutingTypes.js';
export {getUsableVersions, isBadVersion} from './usableVersions.js';
export {getAllowedServers} from './allowedServers.js';
