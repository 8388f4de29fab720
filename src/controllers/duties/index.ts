export {UsageLedger, type WindowCounts} from './UsageLedger.js';
export {getFirstActMs, shouldClaimDuty, type DutyView, type NewClaim} from './decideDutyClaim.js';
