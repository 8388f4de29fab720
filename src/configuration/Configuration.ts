/** Schema of the configuration of a deployment, and the types derived from it. */
import {z} from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes');

const failureDomainSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
});

const workspaceKeySchema = z.strictObject({
  /** SHA-256 hash of the bearer key, in hexadecimal. The key itself isn't stored. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
  /** Unix time in milliseconds after which the key is rejected; undefined for a key that never expires. */
  notAfterMs: z.number().int().positive().optional(),
});

const workspaceSchema = z.strictObject({
  name: nameSchema,
  keys: z.array(workspaceKeySchema).min(1),
  /** Weight of the workspace's share of the capacity under contention. */
  shareWeight: z.number().positive(),
  /** Maximum number of concurrent requests, running or queued, at one entry. */
  maxOpenRequests: z.number().int().positive(),
});

const requestClassSchema = z.strictObject({
  name: nameSchema,
  /** Lower numbers are served first. */
  priority: z.number().int().min(0),
  /** Maximum prompt length in tokens at which a request without a class gets this one. */
  maxPromptTokens: z.number().int().positive(),
  firstTokenTargetMs: z.number().positive(),
  interTokenTargetMs: z.number().positive(),
});

const serviceRouteSchema = z.strictObject({
  methods: z.array(z.string().regex(/^[A-Z]+$/)).min(1),
  pathPrefix: z.string().startsWith('/'),
  /** Whether repeating a request has no further effect. Requests to other routes need an idempotency key. */
  isIdempotent: z.boolean(),
});

const serviceVersionSchema = z.strictObject({
  name: nameSchema,
  /** Share of new requests while no move is running; the shares of a service add up to 100. */
  sharePercent: z.number().min(0).max(100),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(['model', 'plain']),
  versions: z.array(serviceVersionSchema).min(1),
  /** Routes of a plain service; empty for a model service, whose routes are fixed. */
  routes: z.array(serviceRouteSchema),
  /** Workspaces that may use the service; undefined for all. */
  workspaces: z.array(nameSchema).optional(),
  /** Minimum number of backend servers, excluding spares for the loss of a failure domain. */
  targetReplicas: z.number().int().min(0),
  /** Maximum number of concurrent requests at one warm backend server. */
  maxConcurrentRequests: z.number().int().positive(),
  /** Maximum number of concurrent requests at one cold backend server, from all entries together. */
  coldConcurrentRequests: z.number().int().positive(),
  requestTimeoutMs: z.number().int().positive(),
  /** Whether the backend servers of the service reject orders with an outdated fencing token. */
  honoursFencingTokens: z.boolean(),
});

const priceLimitSchema = z.strictObject({
  machineClass: nameSchema,
  maxPriceUsdPerHour: z.number().positive(),
});

/** Schema of the configuration that operators publish on the log. */
export const configurationSchema = z.strictObject({
  deployment: nameSchema,
  failureDomains: z.array(failureDomainSchema).min(1),
  workspaces: z.array(workspaceSchema).min(1),
  requestClasses: z.array(requestClassSchema).min(1),
  services: z.array(serviceSchema).min(1),
  priceLimits: z.array(priceLimitSchema),
  /** Maximum time for which an entry accepts requests without confirming that its configuration is current. */
  staleConfigurationGraceMs: z.number().int().positive(),
});

/** Configuration of a deployment: failure domains, workspaces, request classes, services and price limits. */
export type Configuration = z.infer<typeof configurationSchema>;
/** A failure domain of the deployment and the region in which it is located. */
export type FailureDomain = z.infer<typeof failureDomainSchema>;
/** A workspace with its API keys, its share of the capacity and its limit on concurrent requests. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** A class of requests with its priority and latency targets. */
export type RequestClass = z.infer<typeof requestClassSchema>;
/** A route of a plain service, matched by method and path prefix. */
export type ServiceRoute = z.infer<typeof serviceRouteSchema>;
/** A version of a service and its share of new requests. */
export type ServiceVersion = z.infer<typeof serviceVersionSchema>;
/** A service: `model` for the chat API, `plain` for other HTTP routes. */
export type Service = z.infer<typeof serviceSchema>;
/** The highest price per hour at which instances of a machine class are started. */
export type PriceLimit = z.infer<typeof priceLimitSchema>;
