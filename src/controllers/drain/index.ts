export {
  decideDrain,
  getRequestsToHandOver,
  type DrainDecision,
  type DrainView,
  type OpenRequestView,
} from './decideDrain.js';
export {canEndBeforeStop, type StopAdmissionView} from './canEndBeforeStop.js';
