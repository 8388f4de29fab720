export {
  ANSWER_RULES,
  getAnswerRule,
  type AnswerRule,
  type ErrorKind,
  type RunState,
} from './ErrorKind.js';
export {ServingError, toServingError, type ServingErrorOptions} from './ServingError.js';
