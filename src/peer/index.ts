export {createClaimAggregation, createClaimHandlers} from './ClaimCalls.js';
export {ConfigurationFollower, type ConfigurationFollowerOptions} from './ConfigurationFollower.js';
export {MembershipLoop, type MembershipLoopOptions} from './MembershipLoop.js';
export {
  PeerClient,
  type PeerAddress,
  type PeerCalls,
  type PeerClientOptions,
} from './PeerClient.js';
export {PEER_KEY_HEADER, PeerKeys} from './PeerKeys.js';
export {PeerServer, type PeerHandlers, type PeerServerOptions} from './PeerServer.js';
export {fromWireIncidents, toWireIncident} from './incidentCodec.js';
export {
  StreamRelay,
  createReadLogHandler,
  type ReadLogSource,
  type StreamRelayOptions,
} from './StreamRelay.js';
