export {AnswerAssembly, type AttemptStart} from './AnswerAssembly.js';
export {
  decideRetry,
  type AttemptFailureKind,
  type RetryDecision,
  type RetryView,
} from './decideRetry.js';
export {DEFAULT_RETRY_BUDGET, RetryBudget, type RetryBudgetOptions} from './RetryBudget.js';
export {SilenceCounter} from './SilenceCounter.js';
export {
  getSilenceTimeouts,
  type SilenceTimeouts,
  type StallTimeoutInput,
} from './silenceTimeouts.js';
