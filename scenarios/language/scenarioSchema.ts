/** The scenario language: what a file under `scenarios/` may say. */
import {z} from 'zod';
import {faultsSchema} from '../../standins/index.js';
import {ABUSE_KINDS} from '../callers/abuseKinds.js';

const durationMs = z.number().int().min(0);

const serviceSchema = z.strictObject({
  name: z.string(),
  kind: z.enum(['engine', 'plain']),
  version: z.string().default('v1'),
  replicas: z.number().int().min(1),
  /** Requests that one warm backend server takes at a time. */
  maxConcurrentRequests: z.number().int().positive().default(32),
  /** Requests that one cold backend server takes at a time from all entries together. */
  coldConcurrentRequests: z.number().int().positive().default(2),
  requestTimeoutMs: z.number().int().positive().default(30_000),
  /** Whether its engines start cold. */
  isCold: z.boolean().default(false),
  /** Further flags of the stand-in. */
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
  /** Words at the start of each prompt that all calls of the load share. */
  sharedPrefixWords: z.number().int().min(0).default(0),
  /** Different prefixes that the calls take in turn. */
  prefixes: z.number().int().positive().default(1),
  /** Text that stands in each body. */
  bodyText: z.string().default(''),
  /** Whether each call is sent a second time, with the same key, at another entry. */
  isRepeated: z.boolean().default(false),
  /** Time after which the repeat is sent; 0 sends it at once. */
  repeatAfterMs: durationMs.default(0),
  /** Times that a caller tries again after a refusal or a broken connection. */
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

/** The steps by name; each is one key of a step. */
export const stepSchema = z.strictObject({
  /** Names the step, for expectations that count from it. */
  as: z.string().optional(),
  /** Starts callers' requests; the steps go on meanwhile. */
  load: loadSchema.optional(),
  /** Waits until all callers have their answers. */
  awaitLoads: z.strictObject({}).optional(),
  /** Waits until a backend server of the target has got work, or got it again since a step. */
  awaitWork: targetSchema.extend({after: z.string().optional()}).optional(),
  waitMs: durationMs.optional(),
  /** Starts a backend server, or an entry or fleet daemon that ended before. */
  start: startSchema.optional(),
  /** Announces a reclaim; the instances end when their time is up. */
  notice: targetSchema.extend({graceMs: durationMs}).optional(),
  /** SIGKILL. */
  kill: z.strictObject({instance: z.string()}).optional(),
  /** SIGTERM. */
  stop: z.strictObject({instance: z.string()}).optional(),
  /** SIGSTOP, and SIGCONT after a time. */
  freeze: z.strictObject({instance: z.string(), forMs: durationMs}).optional(),
  /** Silences the connections that are open at backend servers. */
  cut: targetSchema.optional(),
  outage: z
    .strictObject({of: z.enum(['log', 'cloud', 'list', 'weights']), forMs: durationMs})
    .optional(),
  /** Replaces the faults of backend servers or of a service of the platform. */
  fault: targetSchema
    .extend({platform: z.enum(['log', 'cloud', 'list', 'weights']).optional(), set: faultsSchema})
    .optional(),
  move: z.strictObject({service: z.string(), to: z.string(), withinMs: durationMs}).optional(),
  domain: z.strictObject({name: z.string(), state: z.enum(['out', 'returning', 'in'])}).optional(),
  /** Publishes a changed configuration; several operators race over the same revision. */
  publish: z.strictObject({operators: z.number().int().min(1).max(5).default(1)}).optional(),
  /** Callers that do what they must not, at each entry. */
  abuse: z
    .strictObject({
      kinds: z.array(z.enum(ABUSE_KINDS)).min(1),
      ratePerSecond: z.number().positive(),
    })
    .extend({durationMs, service: z.string()})
    .optional(),
  /** Another workspace asks for the answers of a load's calls. */
  spy: z.strictObject({on: z.string()}).optional(),
});

/** The expectations by name; each is one key of an expectation. */
export const expectationSchema = z.strictObject({
  /** Every call got its whole and right answer; refused calls count unless they may be refused. */
  answersAreWhole: z
    .strictObject({load: z.string(), mayBeRefused: z.boolean().default(false)})
    .optional(),
  /** No call ran twice, and each confirmed one ran. */
  runsAtMostOnce: z.strictObject({load: z.string()}).optional(),
  /** What was refused as `not-run` was not run. */
  notRunIsTrue: z.strictObject({load: z.string()}).optional(),
  /** A repeat that was answered got the answer of the first. */
  repeatsGetSameAnswer: z
    .strictObject({load: z.string(), minAnsweredPercent: z.number().default(0)})
    .optional(),
  /** At least this part of the calls was answered well. */
  answeredPercent: z.strictObject({load: z.string(), min: z.number()}).optional(),
  /** No run starts at the target later than a bound after a step, until another step. */
  noNewWork: targetSchema
    .extend({after: z.string(), withinMs: durationMs, until: z.string().optional()})
    .optional(),
  /** Runs start at the target again within a bound after a step. */
  newWork: targetSchema.extend({after: z.string(), withinMs: durationMs}).optional(),
  /** No cold engine had more requests open at a time. */
  coldLoad: z.strictObject({service: z.string(), maxOpenRequests: z.number().int()}).optional(),
  /** Backend servers that crashed. */
  crashes: z.strictObject({max: z.number().int().min(0)}).optional(),
  /** Part of a service's runs that a version got from a step on. */
  versionShare: z
    .strictObject({
      service: z.string(),
      version: z.string(),
      maxPercent: z.number().min(0).max(100),
      after: z.string(),
    })
    .optional(),
  moveEnds: z
    .strictObject({
      service: z.string(),
      phase: z.enum(['done', 'taken-back', 'aborted']),
      withinMs: durationMs,
    })
    .optional(),
  /** Each accepted configuration showed at every live entry within a bound, and none went back. */
  configurationInForce: z.strictObject({withinMs: durationMs}).optional(),
  /** Of racing operators one won, and the others were told by whom. */
  oneOperatorWins: z.strictObject({}).optional(),
  /** The process ended by itself with exit code 0. */
  exitsGracefully: z.strictObject({instance: z.string()}).optional(),
  /** The lease changed hands, and no order of an earlier holder took effect after one of a later. */
  ordersAreFenced: z.strictObject({minHolders: z.number().int().min(2).default(2)}).optional(),
  /** At least this part of a service's prompt tokens was found in the engines' caches. */
  cachedPercent: z
    .strictObject({service: z.string(), after: z.string(), min: z.number()})
    .optional(),
  /** Repeated runs of a service computed at most this part of what those of another service did. */
  recomputesLess: z
    .strictObject({service: z.string(), than: z.string(), maxPercent: z.number()})
    .optional(),
  /** The weight store was asked for few loads at a time, and for the version first that lacked most. */
  loadsAreQueued: z
    .strictObject({minLoads: z.number().int(), maxOpenLoads: z.number().int()})
    .optional(),
  /** Each abuse was refused as it should be. */
  abuseIsRefused: z.strictObject({}).optional(),
  /** Another workspace got nothing, and the owner something at the same place. */
  spiesGetNothing: z.strictObject({}).optional(),
});

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  /** Point of the brief that the scenario proves. */
  property: z.string(),
  seed: z.number().int(),
  topology: topologySchema,
  steps: z.array(stepSchema).min(1),
  expect: z.array(expectationSchema).min(1),
});

/** A scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** A step; besides `as` one key is set. */
export type Step = z.infer<typeof stepSchema>;
/** An expectation; one key is set. */
export type Expectation = z.infer<typeof expectationSchema>;
/** Callers' requests. */
export type LoadPlan = z.infer<typeof loadSchema>;
/** Backend servers, by what they have in common. */
export type Target = z.infer<typeof targetSchema>;
/** A service of the topology. */
export type ServicePlan = z.infer<typeof serviceSchema>;
/** Callers that do what they must not. */
export type AbusePlan = NonNullable<Step['abuse']>;
/** A process to start in the middle of a scenario. */
export type StartPlan = z.infer<typeof startSchema>;
