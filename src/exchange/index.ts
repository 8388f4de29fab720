export {EventFramer, type FramedEvent} from './EventFramer.js';
export {ForwardedRun, type ForwardedOutcome, type ForwardedRunOptions} from './ForwardedRun.js';
export {ExchangeRun, type ExchangeRunOptions} from './ExchangeRun.js';
export type {AdmittedRequest, RunOutcome} from './RunTypes.js';
export type {
  ResponseSink,
  BackendCall,
  BackendFailure,
  BackendHead,
  BackendResponseHandler,
  BackendAttempt,
  BackendTransport,
  ForwardingPeer,
  PeerCall,
  PeerTransport,
  HeaderFields,
  Refusal,
  RefusalKind,
  ReportedLoad,
  ServingRequest,
} from './ExchangeTypes.js';
export type {
  Answer,
  AttemptMeasurement,
  LostAttempt,
  RunningAttempt,
  RunServices,
} from './RunServices.js';
export {
  RETRY_ELSEWHERE_MS,
  checkRequest,
  type RequestCheck,
  type RequestCheckOptions,
} from './checkRequest.js';
export {
  decideAfterFailure,
  type FailureDecision,
  type FailureView,
  type AttemptFailure,
} from './decideAfterFailure.js';
