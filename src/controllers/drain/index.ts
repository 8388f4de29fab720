export {
  decideDrain,
  getRequestsToHandOver,
  type DrainDecision,
  type DrainView,
  type OpenRequestView,
} from './decideDrain.js';
