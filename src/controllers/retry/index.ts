export {ResponseAssembly, type AttemptStart} from './ResponseAssembly.js';
export {
  decideRetry,
  type AttemptFailureKind,
  type RetryDecision,
  type RetryView,
} from './decideRetry.js';
export {DEFAULT_RETRY_BUDGET, RetryBudget, type RetryBudgetOptions} from './RetryBudget.js';
export {StalledConnectionCounter} from './StalledConnectionCounter.js';
export {getStallTimeouts, type StallTimeouts, type StallTimeoutInput} from './stallTimeouts.js';
