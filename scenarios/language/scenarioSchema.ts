/** Schema of the scenario files in `scenarios/`. */
import {z} from 'zod';
import {faultsSchema} from '../../standins/index.js';
import {ABUSE_KINDS} from '../callers/abuseKinds.js';

const durationMs = z.number().int().min(0);

const serviceSchema = z.strictObject({
  name: z.string(),
  kind: z.enum(['engine', 'plain']),
  version: z.string().default('v1'),
  replicas: z.number().int().min(1),
  /** Concurrent requests of one warm backend server. */
  maxConcurrentRequests: z.number().int().positive().default(32),
  /** Concurrent requests of one cold backend server, over all entries. */
  coldConcurrentRequests: z.number().int().positive().default(2),
  requestTimeoutMs: z.number().int().positive().default(30_000),
  /** Whether the service's engines start cold. */
  isCold: z.boolean().default(false),
  /** Additional flags of the stand-in. */
  flags: z.array(z.string()).default([]),
});

const topologySchema = z.strictObject({
  entries: z.number().int().min(1).max(9),
  fleetDaemons: z.number().int().min(0).max(9).default(0),
  failureDomains: z.array(z.string()).min(1).default(['a', 'b', 'c', 'd']),
  services: z.array(serviceSchema).min(1),
  staleConfigurationGraceMs: z.number().int().positive().default(10_000),
  platformFlags: z.array(z.string()).default([]),
  entryFlags: z.array(z.string()).default([]),
  fleetFlags: z.array(z.string()).default([]),
});

const loadSchema = z.strictObject({
  name: z.string(),
  kind: z.enum(['stream', 'whole', 'booking']),
  service: z.string(),
  workspace: z.enum(['large', 'small', 'other']).default('large'),
  requestClass: z.enum(['chat', 'review']).default('chat'),
  ratePerSecond: z.number().positive(),
  durationMs,
  tokens: z.number().int().positive().default(20),
  promptWords: z.number().int().positive().default(30),
  /** Number of words at the start of each prompt that calls with the same prefix share. */
  sharedPrefixWords: z.number().int().min(0).default(0),
  /** Number of different prefixes, which the calls use in turn. */
  prefixes: z.number().int().positive().default(1),
  /** Text to include in each body. */
  bodyText: z.string().default(''),
  /** Whether each call is sent a second time to another entry, with the same idempotency key. */
  isRepeated: z.boolean().default(false),
  /** Delay between a call and its repeat; 0 sends both at the same time. */
  repeatAfterMs: durationMs.default(0),
  /** Maximum number of retries after a refusal or an aborted connection. */
  maxRetries: z.number().int().min(0).default(5),
  timeoutMs: z.number().int().positive().default(30_000),
});

const targetSchema = z.strictObject({
  instance: z.string().optional(),
  service: z.string().optional(),
  version: z.string().optional(),
  failureDomain: z.string().optional(),
});

const startSchema = z.strictObject({
  instance: z.string(),
  service: z.string().optional(),
  version: z.string().default('v1'),
  failureDomain: z.string().default('a'),
  isCold: z.boolean().default(false),
  flags: z.array(z.string()).default([]),
});

/** Schema of a step: besides `as`, it has exactly one of the other keys. */
export const stepSchema = z.strictObject({
  /** Name under which the end of the step is recorded, for expectations that refer to it; defaults to the step's key. */
  as: z.string().optional(),
  /** Starts a load in the background. */
  load: loadSchema.optional(),
  /** Waits until all calls of all loads have ended. */
  awaitLoads: z.strictObject({}).optional(),
  /** Waits until a backend server of the target has started a run; with `after`, since the end of that step. */
  awaitWork: targetSchema.extend({after: z.string().optional()}).optional(),
  waitMs: durationMs.optional(),
  /** Starts a new backend server, or restarts a backend server or daemon that has ended. */
  start: startSchema.optional(),
  /** Announces the reclaim of instances, which are removed after `graceMs`. */
  notice: targetSchema.extend({graceMs: durationMs}).optional(),
  /** Kills the process with SIGKILL. */
  kill: z.strictObject({instance: z.string()}).optional(),
  /** Starts a graceful stop with SIGTERM; doesn't wait for its end. */
  stop: z.strictObject({instance: z.string()}).optional(),
  /** Suspends the process with SIGSTOP, and resumes it with SIGCONT after `forMs`. */
  freeze: z.strictObject({instance: z.string(), forMs: durationMs}).optional(),
  /** Stalls all open connections of backend servers permanently; new connections work. */
  cut: targetSchema.optional(),
  outage: z
    .strictObject({of: z.enum(['log', 'cloud', 'list', 'weights']), forMs: durationMs})
    .optional(),
  /** Replaces the faults of backend servers or of a platform service. */
  fault: targetSchema
    .extend({platform: z.enum(['log', 'cloud', 'list', 'weights']).optional(), set: faultsSchema})
    .optional(),
  move: z.strictObject({service: z.string(), to: z.string(), withinMs: durationMs}).optional(),
  domain: z.strictObject({name: z.string(), state: z.enum(['out', 'returning', 'in'])}).optional(),
  /** Publishes a changed configuration; several operators publish concurrently over the same revision. */
  publish: z.strictObject({operators: z.number().int().min(1).max(5).default(1)}).optional(),
  /** Sends malformed requests to each entry in turn, in the background. */
  abuse: z
    .strictObject({
      kinds: z.array(z.enum(ABUSE_KINDS)).min(1),
      ratePerSecond: z.number().positive(),
    })
    .extend({durationMs, service: z.string()})
    .optional(),
  /** Requests the responses of a load's calls with the key of another workspace. */
  spy: z.strictObject({on: z.string()}).optional(),
});

/** Schema of an expectation, which has exactly one of these keys. */
export const expectationSchema = z.strictObject({
  /** Every call got its complete and correct response; with `mayBeRefused`, a refusal is accepted too. */
  answersAreWhole: z
    .strictObject({load: z.string(), mayBeRefused: z.boolean().default(false)})
    .optional(),
  /** No call ran twice, and every confirmed call ran. */
  runsAtMostOnce: z.strictObject({load: z.string()}).optional(),
  /** No call had run when it was refused as `not-run`. */
  notRunIsTrue: z.strictObject({load: z.string()}).optional(),
  /** Every answered repeat got the same response as the first call. */
  repeatsGetSameAnswer: z
    .strictObject({load: z.string(), minAnsweredPercent: z.number().default(0)})
    .optional(),
  /** At least `min` percent of the calls got a correct response. */
  answeredPercent: z.strictObject({load: z.string(), min: z.number()}).optional(),
  /** No run started at the target from `withinMs` after the end of step `after` until the end of step `until`. */
  noNewWork: targetSchema
    .extend({after: z.string(), withinMs: durationMs, until: z.string().optional()})
    .optional(),
  /** A run started at the target within `withinMs` after the end of step `after`. */
  newWork: targetSchema.extend({after: z.string(), withinMs: durationMs}).optional(),
  /** No cold engine had more than `maxOpenRequests` open requests. */
  coldLoad: z.strictObject({service: z.string(), maxOpenRequests: z.number().int()}).optional(),
  /** At most `max` backend servers crashed. */
  crashes: z.strictObject({max: z.number().int().min(0)}).optional(),
  /** At most `maxPercent` of a service's runs since the end of step `after` were on the version. */
  versionShare: z
    .strictObject({
      service: z.string(),
      version: z.string(),
      maxPercent: z.number().min(0).max(100),
      after: z.string(),
    })
    .optional(),
  /** The move of the service reaches the phase within `withinMs` after the last step. */
  moveEnds: z
    .strictObject({
      service: z.string(),
      phase: z.enum(['done', 'taken-back', 'aborted']),
      withinMs: durationMs,
    })
    .optional(),
  /** Every accepted configuration was in force on every live entry within `withinMs`, and none was reverted. */
  configurationInForce: z.strictObject({withinMs: durationMs}).optional(),
  /** Of the operators that published concurrently, one won, and the others learned which one. */
  oneOperatorWins: z.strictObject({}).optional(),
  /** The process ended with exit code 0. */
  exitsGracefully: z.strictObject({instance: z.string()}).optional(),
  /** There were at least `minHolders` lease claims, and no order of an earlier lease holder took effect after one of a later holder. */
  ordersAreFenced: z.strictObject({minHolders: z.number().int().min(2).default(2)}).optional(),
  /** At least `min` percent of a service's prompt tokens since the end of step `after` were prefix cache hits. */
  cachedPercent: z
    .strictObject({service: z.string(), after: z.string(), min: z.number()})
    .optional(),
  /** Repeated runs of a service recomputed on average at most `maxPercent` of the tokens that those of another service did. */
  recomputesLess: z
    .strictObject({service: z.string(), than: z.string(), maxPercent: z.number()})
    .optional(),
  /** At least `minLoads` weight loads ran, at most `maxOpenLoads` at a time, and each for the service that lacked most. */
  loadsAreQueued: z
    .strictObject({minLoads: z.number().int(), maxOpenLoads: z.number().int()})
    .optional(),
  /** Every abusive request got the expected status, and none ran. */
  abuseIsRefused: z.strictObject({}).optional(),
  /** Other workspaces got a bare 404 error for responses that their owner could read. */
  spiesGetNothing: z.strictObject({}).optional(),
});

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  /** Property of the system that the scenario verifies. */
  property: z.string(),
  seed: z.number().int(),
  topology: topologySchema,
  steps: z.array(stepSchema).min(1),
  expect: z.array(expectationSchema).min(1),
});

/** Parsed scenario file, with defaults filled in. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** A step; exactly one key besides `as` is set. */
export type Step = z.infer<typeof stepSchema>;
/** An expectation; exactly one key is set. */
export type Expectation = z.infer<typeof expectationSchema>;
/** Requests of one load, their rate and their retries. */
export type LoadPlan = z.infer<typeof loadSchema>;
/** Filter for instances; those that match all given fields are selected. */
export type Target = z.infer<typeof targetSchema>;
/** A service of the topology and its backend servers. */
export type ServicePlan = z.infer<typeof serviceSchema>;
/** Abusive requests of one step. */
export type AbusePlan = NonNullable<Step['abuse']>;
/** A process that a step starts or restarts. */
export type StartPlan = z.infer<typeof startSchema>;
