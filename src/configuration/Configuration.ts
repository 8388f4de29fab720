/** The configuration of a deployment: its schema, and the types read from it. */
import {z} from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes');

const failureDomainSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
});

const workspaceKeySchema = z.strictObject({
  /** SHA-256 of the bearer key, in hexadecimal. The key itself stands nowhere. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
  /** Instant after which the key is refused; absent for a key without end. */
  notAfterMs: z.number().int().positive().optional(),
});

const workspaceSchema = z.strictObject({
  name: nameSchema,
  keys: z.array(workspaceKeySchema).min(1),
  /** Relative share of the capacity under contention. */
  shareWeight: z.number().positive(),
  /** Requests that may run or wait at one entry at a time. */
  maxOpenRequests: z.number().int().positive(),
});

const requestClassSchema = z.strictObject({
  name: nameSchema,
  /** Lower numbers go first. */
  priority: z.number().int().min(0),
  /** Longest prompt that is taken for this class when the caller names none. */
  maxPromptTokens: z.number().int().positive(),
  firstTokenTargetMs: z.number().positive(),
  interTokenTargetMs: z.number().positive(),
});

const serviceRouteSchema = z.strictObject({
  methods: z.array(z.string().regex(/^[A-Z]+$/)).min(1),
  pathPrefix: z.string().startsWith('/'),
  /** Whether a repeat has no further effect. A route that is not idempotent needs an idempotency key. */
  isIdempotent: z.boolean(),
});

const serviceVersionSchema = z.strictObject({
  name: nameSchema,
  /** Part of new work while no move is under way; the parts of a service add up to 100. */
  sharePercent: z.number().min(0).max(100),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['model', 'plain']),
  versions: z.array(serviceVersionSchema).min(1),
  /** Routes of a plain service; empty for a model service, whose routes are fixed. */
  routes: z.array(serviceRouteSchema),
  /** Workspaces that may use the service; absent for all. */
  workspaces: z.array(nameSchema).optional(),
  targetReplicas: z.number().int().min(0),
  /** Requests that one warm backend server takes at a time. */
  maxConcurrentRequests: z.number().int().positive(),
  /** Requests that one cold backend server takes at a time from all entries together. */
  coldConcurrentRequests: z.number().int().positive(),
  requestTimeoutMs: z.number().int().positive(),
  /** Whether its backend servers refuse orders with an old fencing token. */
  honoursFencingTokens: z.boolean(),
});

const priceLimitSchema = z.strictObject({
  machineClass: nameSchema,
  maxPriceUsdPerHour: z.number().positive(),
});

/** Schema of a deployment's configuration as published on the log. */
export const configurationSchema = z.strictObject({
  deployment: nameSchema,
  failureDomains: z.array(failureDomainSchema).min(1),
  workspaces: z.array(workspaceSchema).min(1),
  requestClasses: z.array(requestClassSchema).min(1),
  services: z.array(serviceSchema).min(1),
  priceLimits: z.array(priceLimitSchema),
  /** Longest time that an entry goes on accepting without knowing that its configuration is current. */
  staleConfigurationGraceMs: z.number().int().positive(),
});

/** A deployment's configuration. */
export type Configuration = z.infer<typeof configurationSchema>;
/** A failure domain of the deployment. */
export type FailureDomain = z.infer<typeof failureDomainSchema>;
/** A workspace: whose requests are served and counted together. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** A class of requests with its priority and latency target. */
export type RequestClass = z.infer<typeof requestClassSchema>;
/** A route of a plain service. */
export type ServiceRoute = z.infer<typeof serviceRouteSchema>;
/** A version of a service and its part of new work. */
export type ServiceVersion = z.infer<typeof serviceVersionSchema>;
/** A model or plain service. */
export type Service = z.infer<typeof serviceSchema>;
/** The highest price accepted for a machine class. */
export type PriceLimit = z.infer<typeof priceLimitSchema>;
