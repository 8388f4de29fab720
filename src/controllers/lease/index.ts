export {
  decideLease,
  getHeldUntilMs,
  type LeaseChanges,
  type LeaseDecision,
  type LeaseEffect,
  type LeaseTiming,
  type LeaseView,
} from './LeaseController.js';
export {decideOrder, type OrderPermission, type OrderView} from './OrderPermission.js';
