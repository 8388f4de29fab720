/** Records that the daemons write to the platform's log: their schemas, and their encoding as JSON payloads. */
import {z} from 'zod';
import {configurationSchema} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';

/** Streams of the log. Records are ordered within a stream, not across streams. */
export const LOG_STREAMS = ['configuration', 'fleet', 'claims'] as const;

/** Name of a stream of the log. */
export type LogStream = (typeof LOG_STREAMS)[number];

/** A response kept for replay to repeats of its request. */
const storedResponseSchema = z.strictObject({
  /** HTTP status. */
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string(),
});

/** Publishes a configuration; accepted if `replacesRevision` is the revision in force. */
const configurationBodySchema = z.strictObject({
  kind: z.literal('configuration'),
  replacesRevision: z.number().int().min(0),
  publishedBy: z.string(),
  configuration: configurationSchema,
});

/** The newest accepted configuration, written again before retention drops its record. */
const configurationSnapshotBodySchema = z.strictObject({
  kind: z.literal('configuration-snapshot'),
  /** Offset of the newest record whose effect the snapshot contains. */
  coversOffset: z.number().int(),
  revision: z.number().int().positive(),
  configuration: configurationSchema,
  /** Publisher of the revision in the snapshot. */
  publishedBy: z.string().optional(),
});

/**
 * Claims the lease; accepted if `followsOffset` is the offset of the newest accepted lease record, or -1 if there is
 * none.
 */
const leaseClaimBodySchema = z.strictObject({
  kind: z.literal('lease-claim'),
  followsOffset: z.number().int().min(-1),
  holder: z.string(),
  termMs: z.number().int().positive(),
});

/** Renews the lease claimed at `claimOffset`; accepted if no later claim has been accepted. */
const leaseRenewalBodySchema = z.strictObject({
  kind: z.literal('lease-renewal'),
  claimOffset: z.number().int(),
  holder: z.string(),
});

/** Releases the lease claimed at `claimOffset`, so that another daemon may claim it at once. */
const leaseReleaseBodySchema = z.strictObject({
  kind: z.literal('lease-release'),
  claimOffset: z.number().int(),
  holder: z.string(),
});

/** An operator's request for a move; accepted if no other move of the service is under way. */
const moveRequestBodySchema = z.strictObject({
  kind: z.literal('move-request'),
  moveId: z.string(),
  service: z.string(),
  fromVersion: z.string(),
  toVersion: z.string(),
  requestedAtMs: z.number().int(),
  deadlineAtMs: z.number().int(),
  requestedBy: z.string(),
});

/** The lease holder changes a move's phase or share; accepted if the fencing token is that of the current lease. */
const moveStepBodySchema = z.strictObject({
  kind: z.literal('move-step'),
  moveId: z.string(),
  fencingToken: z.number().int(),
  phase: z.enum(['running', 'soaking', 'done', 'taken-back', 'aborted']),
  sharePercent: z.number().min(0).max(100),
  decidedAtMs: z.number().int(),
  reason: z.string().optional(),
});

/** An operator aborts a move that is under way. */
const moveAbortBodySchema = z.strictObject({
  kind: z.literal('move-abort'),
  moveId: z.string(),
  requestedBy: z.string(),
  requestedAtMs: z.number().int(),
});

/** An operator takes a failure domain out of service or back in; compare-and-set on the domain's revision. */
const domainOrderBodySchema = z.strictObject({
  kind: z.literal('domain-order'),
  failureDomain: z.string(),
  state: z.enum(['in', 'out', 'returning']),
  replacesRevision: z.number().int().min(0),
  requestedBy: z.string(),
  requestedAtMs: z.number().int(),
});

/**
 * The lease holder takes a backend server out of service before it stops it; accepted if the fencing token is that of
 * the current lease.
 */
const instanceDrainBodySchema = z.strictObject({
  kind: z.literal('instance-drain'),
  instanceId: z.string(),
  service: z.string(),
  fencingToken: z.number().int(),
  decidedAtMs: z.number().int(),
  /** Unix time in milliseconds by which the instance is stopped. */
  stopAtMs: z.number().int(),
});

/** Quarantines the fingerprint of a request that crashed backend servers; refused until `expiresAtMs`. */
const quarantineBodySchema = z.strictObject({
  kind: z.literal('quarantine'),
  fingerprint: z.string(),
  service: z.string(),
  reporter: z.string(),
  observedAtMs: z.number().int(),
  expiresAtMs: z.number().int(),
});

/** State of the fleet stream up to `coversOffset`, written again before retention drops the records that it covers. */
const fleetSnapshotBodySchema = z.strictObject({
  kind: z.literal('fleet-snapshot'),
  coversOffset: z.number().int(),
  /** JSON of the fold's state; only `FleetFold` reads and writes it. */
  state: z.string(),
});

/** Claim of a workspace's idempotency key by one attempt at the request. */
const claimSchema = z.strictObject({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
  claimant: z.string(),
  fingerprint: z.string(),
});

/** Claims of idempotency keys; each is accepted if its key has no earlier claim. */
const claimBatchBodySchema = z.strictObject({
  kind: z.literal('claim-batch'),
  claims: z.array(claimSchema).min(1),
});

/** How the attempt that claimed a key ended. */
const outcomeSchema = z.strictObject({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
  /** `ran` with the response, `not-run` if nothing was sent, `unknown` if the request may or may not have run. */
  run: z.enum(['ran', 'not-run', 'unknown']),
  answer: storedResponseSchema.optional(),
});

/** Outcomes of claimed requests; each is accepted if its attempt holds the key. */
const outcomeBatchBodySchema = z.strictObject({
  kind: z.literal('outcome-batch'),
  outcomes: z.array(outcomeSchema).min(1),
});

/** Part of the unexpired claims, written again before retention drops their records. */
const claimsSnapshotBodySchema = z.strictObject({
  kind: z.literal('claims-snapshot'),
  coversOffset: z.number().int(),
  /** Index of this part, from 0; a snapshot of many claims spans several records. */
  part: z.number().int().min(0),
  parts: z.number().int().positive(),
  /** JSON array of the claims in this part; only `ClaimsFold` reads and writes it. */
  state: z.string(),
});

const bodySchema = z.discriminatedUnion('kind', [
  configurationBodySchema,
  configurationSnapshotBodySchema,
  leaseClaimBodySchema,
  leaseRenewalBodySchema,
  leaseReleaseBodySchema,
  moveRequestBodySchema,
  moveStepBodySchema,
  moveAbortBodySchema,
  domainOrderBodySchema,
  instanceDrainBodySchema,
  quarantineBodySchema,
  fleetSnapshotBodySchema,
  claimBatchBodySchema,
  outcomeBatchBodySchema,
  claimsSnapshotBodySchema,
]);

const recordSchema = z.strictObject({
  /** Id of the writing process; unique for each start of a daemon. */
  writer: z.string().min(1),
  /** Increases with each record of the writer, so that readers can detect duplicate appends. */
  sequence: z.number().int().positive(),
  body: bodySchema,
});

/** Body of a record, discriminated by `kind`. */
export type LogBody = z.infer<typeof bodySchema>;
/** Body of the given kind. */
export type LogBodyOf<Kind extends LogBody['kind']> = Extract<LogBody, {kind: Kind}>;
/** A record as written. It is only a proposal: the stream's fold decides whether it is accepted. */
export type LogRecord = z.infer<typeof recordSchema>;
/** Claim of an idempotency key that is not accepted yet. */
export type ClaimProposal = z.infer<typeof claimSchema>;
/** Outcome of a claimed request that is not accepted yet. */
export type OutcomeProposal = z.infer<typeof outcomeSchema>;
/** A response kept for replay to repeats of its request; the body is in Base64. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** A record with its offset in the stream. */
export interface PlacedRecord {
  readonly offset: number;
  readonly record: LogRecord;
  /** Unix time in milliseconds at which the log stored the record, by the log's clock; the same for every reader. */
  readonly atMs?: number;
}

/** Encodes a record as the JSON payload of an append. */
export function encodeRecord(record: LogRecord): string {
  return JSON.stringify(record);
}

/**
 * Decodes the payload of a record.
 * @throws ServingError of kind `invalid-record` if the payload is not JSON or doesn't match the schema.
 */
export function decodeRecord(payload: string): LogRecord {
  let value: unknown;
  try {
    value = JSON.parse(payload);
  } catch (cause) {
    throw new ServingError(`record is not JSON: ${payload.slice(0, 80)}`, {
      kind: 'invalid-record',
      cause,
    });
  }
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) {
    const issue = z.prettifyError(parsed.error).slice(0, 200);
    throw new ServingError(`record does not match its schema: ${issue}`, {kind: 'invalid-record'});
  }
  return parsed.data;
}
