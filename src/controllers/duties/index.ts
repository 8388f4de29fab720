export {UsageLedger, type WindowCounts} from './UsageLedger.js';
export {getFirstActMs, shouldClaimDuty, type DutyView} from './decideDutyClaim.js';
