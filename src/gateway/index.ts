export {Gateway, type GatewayOptions} from './Gateway.js';
export type {OpenRequest} from './RequestHandler.js';
export {GatewayMetrics, type GatewayGauges} from './GatewayMetrics.js';
export {LogReadCoordinator, type SharedLog} from './LogReadCoordinator.js';
export {StopSequence, type StopSequenceOptions, type StoppableParts} from './StopSequence.js';
export type {GatewaySettings} from './GatewaySettings.js';
export {chooseCallerAddresses} from './chooseCallerAddresses.js';
export type {
  ClaimResult,
  DutyCalls,
  DutyHistory,
  DutyLog,
  DutyResult,
  RolloutLog,
  RolloutVerdict,
  ServerOrder,
  UsageReport,
} from './ports.js';
