export {
  decideLease,
  getHeldUntilMs,
  type LeaseChanges,
  type LeaseDecision,
  type LeaseEffect,
  type LeaseTiming,
  type LeaseView,
} from './LeaseController.js';
export {decideOrderPermission, type OrderPermission, type OrderView} from './OrderPermission.js';
