export {rankAddresses, type AddressAnswer, type EntryAddress} from './AddressHandler.js';
export {AdmissionGate, type AdmissionGateOptions} from './AdmissionGate.js';
export {CallersServer, type CallersServerOptions} from './CallersServer.js';
export {OpenRequests} from './OpenRequests.js';
export type {StatusAnswer} from './OperatorHandler.js';
export type {BodyLimits} from './RequestBody.js';
export type {HandlerContext} from './RequestContext.js';
