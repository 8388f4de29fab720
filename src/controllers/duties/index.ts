export {UsageLedger, type WindowCounts} from './UsageLedger.js';
export {mayActOnDuty, shouldClaimDuty, type DutyView} from './decideDutyClaim.js';
