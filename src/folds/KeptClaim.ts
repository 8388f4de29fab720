/** A claim as the claims fold keeps it and as snapshots carry it. */
import {z} from 'zod';

const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

const claimOutcomeSchema = z
  .strictObject({
    run: z.enum(['ran', 'not-run', 'unknown']),
    answer: storedAnswerSchema.optional(),
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
    /** Instant of that record by the log's clock. */
    claimedAtMs: z.number(),
    outcome: claimOutcomeSchema.optional(),
  })
  .readonly();

/** Schema of a snapshot's state. */
export const keptClaimsSchema = z.array(keptClaimSchema);

/** How a claimed request ended. */
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>;
/** The claim that holds a key. */
export type KeptClaim = z.infer<typeof keptClaimSchema>;
