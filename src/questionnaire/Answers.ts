/** Schema of the questionnaire's answers about services, workspaces, failure domains and price limits. */
import {z} from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes');

const sha256Schema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of a key: 64 hexadecimal digits in lower case');

const keyAnswerSchema = z.union([
  sha256Schema,
  z.strictObject({
    sha256: sha256Schema,
    /** Time after which the key is rejected, as in `2027-01-31T12:00:00Z`; undefined if it never expires. */
    notAfter: z.iso.datetime({offset: true}).optional(),
  }),
]);

const failureDomainAnswerSchema = z.strictObject({name: nameSchema, region: nameSchema});

const workspaceAnswerSchema = z.strictObject({
  name: nameSchema,
  size: z.enum(['small', 'large']).default('small'),
  /** SHA-256 of its bearer keys; if undefined, the keys in force are kept, or a new key is generated. */
  keys: z.array(keyAnswerSchema).min(1).optional(),
  shareWeight: z.number().positive().optional(),
  maxOpenRequests: z.number().int().positive().optional(),
});

const requestClassAnswerSchema = z.strictObject({
  name: nameSchema,
  priority: z.number().int().min(0),
  maxPromptTokens: z.number().int().positive(),
  firstTokenTargetMs: z.number().positive(),
  interTokenTargetMs: z.number().positive(),
});

const routeAnswerSchema = z.strictObject({
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be in capitals, as in POST')).min(1),
  pathPrefix: z.string().startsWith('/', 'must start with /'),
  isIdempotent: z.boolean(),
});

const versionAnswerSchema = z.strictObject({
  name: nameSchema,
  sharePercent: z.number().min(0).max(100).default(100),
});

const serviceAnswerFields = {
  name: nameSchema,
  versions: z.array(versionAnswerSchema).min(1),
  workspaces: z.array(nameSchema).min(1).optional(),
  replicas: z.number().int().positive(),
  requestsPerReplica: z.number().int().positive(),
  requestsPerColdReplica: z.number().int().positive(),
  requestTimeoutSeconds: z.number().positive(),
  honoursFencingTokens: z.boolean(),
};

const serviceAnswerSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('model'), ...serviceAnswerFields}),
  z.strictObject({
    kind: z.literal('plain'),
    ...serviceAnswerFields,
    routes: z.array(routeAnswerSchema).min(1),
  }),
]);

const priceLimitAnswerSchema = z.strictObject({
  machineClass: nameSchema,
  maxPriceUsdPerHour: z.number().positive(),
});

/** Schema of an answers file. */
export const answersSchema = z.strictObject({
  deployment: nameSchema,
  failureDomains: z.array(failureDomainAnswerSchema).min(1),
  workspaces: z.array(workspaceAnswerSchema).min(1),
  requestClasses: z.array(requestClassAnswerSchema).min(1),
  services: z.array(serviceAnswerSchema).min(1),
  priceLimits: z.array(priceLimitAnswerSchema).min(1),
  staleConfigurationGraceSeconds: z.number().positive().default(10),
});

/** Validated answers, with defaults filled in. */
export type Answers = z.output<typeof answersSchema>;
/** Answers before validation, in which values with a default may be missing. */
export type AnswersInput = z.input<typeof answersSchema>;
/** Answers about one service, discriminated by `kind`. */
export type ServiceAnswer = Answers['services'][number];
/** Answers about one workspace. */
export type WorkspaceAnswer = Answers['workspaces'][number];
/** The hash of a bearer key, alone or with the time at which the key expires. */
export type KeyAnswer = NonNullable<WorkspaceAnswer['keys']>[number];
