export {chooseBackendServer} from './chooseBackendServer.js';
export type {RoutingDecision, RoutingRequest, RoutingView} from './RoutingTypes.js';
export {getVersionShares, isBadVersion, type VersionShare} from './versionShares.js';
