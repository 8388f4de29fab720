/** Records of the platform's log: their schema, and the codec between records and payloads. */
import {z} from 'zod';
import {configurationSchema} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';

/** Streams of the log. The order of records holds within a stream only. */
export const LOG_STREAMS = ['configuration', 'fleet', 'claims'] as const;

/** Name of a stream. */
export type LogStream = (typeof LOG_STREAMS)[number];

const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  /** Body in Base64. */
  bodyBase64: z.string(),
});

/** Publishes a configuration; accepted where `replacesRevision` is the revision in force. */
const configurationBodySchema = z.strictObject({
  kind: z.literal('configuration'),
  replacesRevision: z.number().int().min(0),
  publishedBy: z.string(),
  configuration: configurationSchema,
});

/** The newest accepted configuration, published again before retention passes. */
const configurationSnapshotBodySchema = z.strictObject({
  kind: z.literal('configuration-snapshot'),
  /** Offset of the newest record that the snapshot covers. */
  coversOffset: z.number().int(),
  revision: z.number().int().positive(),
  configuration: configurationSchema,
  /** Who published the revision. */
  publishedBy: z.string().optional(),
});

/** Claims the lease after the lease record at `followsOffset`; accepted where that is the newest. */
const leaseClaimBodySchema = z.strictObject({
  kind: z.literal('lease-claim'),
  followsOffset: z.number().int().min(-1),
  holder: z.string(),
  termMs: z.number().int().positive(),
});

/** Renews the lease claimed at `claimOffset`; accepted where that claim is still the newest. */
const leaseRenewalBodySchema = z.strictObject({
  kind: z.literal('lease-renewal'),
  claimOffset: z.number().int(),
  holder: z.string(),
});

/** Gives up the lease claimed at `claimOffset`. */
const leaseReleaseBodySchema = z.strictObject({
  kind: z.literal('lease-release'),
  claimOffset: z.number().int(),
  holder: z.string(),
});

/** An operator asks for a move; accepted where no move of the service is under way. */
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

/** The lease's holder changes a move; accepted where the fencing token is the lease's. */
const moveStepBodySchema = z.strictObject({
  kind: z.literal('move-step'),
  moveId: z.string(),
  fencingToken: z.number().int(),
  phase: z.enum(['running', 'soaking', 'done', 'taken-back', 'aborted']),
  sharePercent: z.number().min(0).max(100),
  decidedAtMs: z.number().int(),
  reason: z.string().optional(),
});

/** An operator gives up a move that is under way. */
const moveAbortBodySchema = z.strictObject({
  kind: z.literal('move-abort'),
  moveId: z.string(),
  requestedBy: z.string(),
  requestedAtMs: z.number().int(),
});

/** An operator takes a failure domain out or brings it back; compare-and-set on its revision. */
const domainOrderBodySchema = z.strictObject({
  kind: z.literal('domain-order'),
  failureDomain: z.string(),
  state: z.enum(['in', 'out', 'returning']),
  replacesRevision: z.number().int().min(0),
  requestedBy: z.string(),
  requestedAtMs: z.number().int(),
});

/** The lease's holder takes a backend server out of use before it stops it; accepted where the fencing token is the lease's. */
const instanceDrainBodySchema = z.strictObject({
  kind: z.literal('instance-drain'),
  instanceId: z.string(),
  service: z.string(),
  fencingToken: z.number().int(),
  decidedAtMs: z.number().int(),
  /** Instant at which the instance is stopped at the latest. */
  stopAtMs: z.number().int(),
});

/** A request fingerprint that crashed backend servers and is refused from now on. */
const quarantineBodySchema = z.strictObject({
  kind: z.literal('quarantine'),
  fingerprint: z.string(),
  service: z.string(),
  reporter: z.string(),
  observedAtMs: z.number().int(),
  expiresAtMs: z.number().int(),
});

/** State of the fleet stream up to an offset, published again before retention passes. */
const fleetSnapshotBodySchema = z.strictObject({
  kind: z.literal('fleet-snapshot'),
  coversOffset: z.number().int(),
  /** The fold's state in JSON; read only by the fold that wrote it. */
  state: z.string(),
});

const claimSchema = z.strictObject({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
  claimant: z.string(),
  fingerprint: z.string(),
});

/** Claims of idempotency keys; each holds where no earlier one on its key does. */
const claimBatchBodySchema = z.strictObject({
  kind: z.literal('claim-batch'),
  claims: z.array(claimSchema).min(1),
});

const outcomeSchema = z.strictObject({
  workspace: z.string(),
  key: z.string(),
  attemptId: z.string(),
  /** `ran` with its answer, `not-run` where nothing was sent, `unknown` where nobody can tell. */
  run: z.enum(['ran', 'not-run', 'unknown']),
  answer: storedAnswerSchema.optional(),
});

/** How claimed requests ended; each holds where its attempt holds the key. */
const outcomeBatchBodySchema = z.strictObject({
  kind: z.literal('outcome-batch'),
  outcomes: z.array(outcomeSchema).min(1),
});

/** Claims that are still kept, published again before retention passes. */
const claimsSnapshotBodySchema = z.strictObject({
  kind: z.literal('claims-snapshot'),
  coversOffset: z.number().int(),
  /** Part of a snapshot that spans several records. */
  part: z.number().int().min(0),
  parts: z.number().int().positive(),
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
  /** Incarnation of the writing process; new at each start. */
  writer: z.string().min(1),
  /** Grows with each record of the writer, so that a repeated append is recognised. */
  sequence: z.number().int().positive(),
  body: bodySchema,
});

/** Body of a record, told apart by `kind`. */
export type LogBody = z.infer<typeof bodySchema>;
/** Body of one kind. */
export type LogBodyOf<Kind extends LogBody['kind']> = Extract<LogBody, {kind: Kind}>;
/** A proposal as written; whether it holds is decided by the fold. */
export type LogRecord = z.infer<typeof recordSchema>;
/** A claim within a batch. */
export type ClaimProposal = z.infer<typeof claimSchema>;
/** An outcome within a batch. */
export type OutcomeProposal = z.infer<typeof outcomeSchema>;
/** An answer kept for replay. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** A record with its place in the stream. */
export interface PlacedRecord {
  readonly offset: number;
  readonly record: LogRecord;
  /** Instant at which the log stored the record, by the log's clock; the same for every reader. */
  readonly atMs?: number;
}

/** Encodes a record as the payload of an append. */
export function encodeRecord(record: LogRecord): string {
  return JSON.stringify(record);
}

/**
 * Decodes the payload of a record.
 * @throws ServingError of kind `invalid-record` where the payload is not a record.
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
    throw new ServingError(`record does not fit its schema: ${issue}`, {kind: 'invalid-record'});
  }
  return parsed.data;
}
