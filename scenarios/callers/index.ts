export {AbusiveCaller, type AbuseRecord, type AbusiveCallerOptions} from './AbusiveCaller.js';
export {ABUSE_KINDS, type AbuseKind} from './abuseKinds.js';
export {CallerLoad, type CallerLoadOptions} from './CallerLoad.js';
export {getSuccessfulAttempt, type CallAttempt, type CallRecord} from './CallRecord.js';
export {sendCallerRequest, type CallerRequest} from './CallerRequest.js';
export {spyOnCall, type SpyRecord} from './spyOnCall.js';
