export {
  ERROR_RESPONSE_RULES,
  getErrorResponseRule,
  type ErrorResponseRule,
  type ErrorKind,
  type RunState,
} from './ErrorKind.js';
export {ServingError, toServingError, type ServingErrorOptions} from './ServingError.js';
