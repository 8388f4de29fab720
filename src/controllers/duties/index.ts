export {UsageLedger, type WindowCounts} from './UsageLedger.js';
export {getActiveFromMs, shouldClaimDuty, type DutyView, type NewClaim} from './decideDutyClaim.js';
