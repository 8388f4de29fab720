/** What the fleet fold says about a record: whether it holds, and why not. */

/** Why a record of the fleet stream doesn't hold. */
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

/** Verdict on one record. */
export interface FleetVerdict {
  readonly isAccepted: boolean;
  /** Absent where the record holds. */
  readonly rejection?: FleetRejection;
}

/** Verdict on a record that holds. */
export const ACCEPTED: FleetVerdict = {isAccepted: true};

/**
 * Returns the verdict on a record that doesn't hold.
 * @param rejection - Why not.
 */
export function reject(rejection: FleetRejection): FleetVerdict {
  return {isAccepted: false, rejection};
}
