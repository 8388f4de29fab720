/** A claim in the state of the claims fold; snapshots store it in the same form. */
import {z} from 'zod';

const storedResponseSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

const claimOutcomeSchema = z
  .strictObject({
    run: z.enum(['ran', 'not-run', 'unknown']),
    answer: storedResponseSchema.optional(),
  })
  .readonly();

const keptClaimSchema = z
  .strictObject({
    workspace: z.string(),
    key: z.string(),
    attemptId: z.string(),
    claimant: z.string(),
    fingerprint: z.string(),
    /** Offset of the record that claimed the key. */
    offset: z.number().int().min(0),
    /** Time at which the log stored that record. */
    claimedAtMs: z.number(),
    outcome: claimOutcomeSchema.optional(),
  })
  .readonly();

/** Schema of the `state` field of a claims snapshot. */
export const keptClaimsSchema = z.array(keptClaimSchema);

/** Whether a claimed request ran, and the response to replay if it did. */
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>;
/** The claim that holds a key. */
export type KeptClaim = z.infer<typeof keptClaimSchema>;
