/** Result of applying a record of the fleet stream: accepted, or rejected with a reason. */

/** Why a record of the fleet stream was rejected. */
export type FleetRejection =
  | 'repeat'
  | 'incomplete-history'
  | 'not-newest-lease-record'
  | 'not-the-holder'
  | 'old-fencing-token'
  | 'move-under-way'
  | 'move-id-used'
  | 'move-to-same-version'
  | 'deadline-before-request'
  | 'unknown-move'
  | 'move-ended'
  | 'phase-goes-back'
  | 'not-newest-revision'
  | 'records-in-between'
  | 'other-stream';

/** Whether a record was accepted. */
export interface FleetRecordResult {
  readonly isAccepted: boolean;
  /** Undefined if the record was accepted. */
  readonly rejection?: FleetRejection;
}

/** Result for every accepted record. */
export const ACCEPTED: FleetRecordResult = {isAccepted: true};

/** Returns the result for a rejected record. */
export function reject(rejection: FleetRejection): FleetRecordResult {
  return {isAccepted: false, rejection};
}
