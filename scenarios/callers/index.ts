export {CallerLoad, type CallerLoadOptions} from './CallerLoad.js';
export {getAnswer, type CallAttempt, type CallRecord} from './CallRecord.js';
export {sendCallerRequest, type CallerRequest} from './CallerRequest.js';
