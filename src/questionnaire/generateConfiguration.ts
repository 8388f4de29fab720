/** Generates a configuration from the questionnaire's answers. */
import {createHash} from 'node:crypto';
import {
  configurationSchema,
  type Configuration,
  type Service,
  type Workspace,
} from '../configuration/index.js';
import type {Answers, ServiceAnswer, WorkspaceAnswer} from './Answers.js';
import {getKeyNotAfterMs, getKeySha256} from './checkAnswers.js';
import {WORKSPACE_SIZES} from './WorkspaceSizes.js';

/** A bearer key generated for a workspace. Must be shown at once, because only its hash is stored. */
export interface GeneratedKey {
  readonly workspace: string;
  readonly key: string;
}

/** Result of `generateConfiguration`. */
export interface GeneratedConfiguration {
  readonly configuration: Configuration;
  /** One key for each workspace that had none. */
  readonly generatedKeys: readonly GeneratedKey[];
}

/** Options of `generateConfiguration`. */
export interface GenerateOptions {
  /** Configuration in force; a workspace keeps its keys from it if the answers contain none. */
  readonly inForce: Configuration | undefined;
  /** Returns a new bearer key in plain text, random except in tests. */
  readonly createKey: () => string;
}

const MS_PER_SECOND = 1_000;

/**
 * Converts answers to a configuration. A workspace without keys, in the answers as well as in force, gets a new one.
 * @param answers - Answers that passed `checkAnswers`.
 */
export function generateConfiguration(
  answers: Answers,
  options: GenerateOptions,
): GeneratedConfiguration {
  const generatedKeys: GeneratedKey[] = [];
  const workspaces = answers.workspaces.map(answer => {
    const keys = getExistingKeys(answer, options.inForce);
    if (keys) return toWorkspace(answer, keys);
    const key = options.createKey();
    generatedKeys.push({workspace: answer.name, key});
    return toWorkspace(answer, [{sha256: hashKey(key)}]);
  });
  const configuration = configurationSchema.parse({
    deployment: answers.deployment,
    failureDomains: answers.failureDomains,
    workspaces,
    requestClasses: answers.requestClasses,
    services: answers.services.map(toService),
    priceLimits: answers.priceLimits,
    staleConfigurationGraceMs: Math.round(answers.staleConfigurationGraceSeconds * MS_PER_SECOND),
  });
  return {configuration, generatedKeys};
}

/** Returns the SHA-256 of a bearer key in hexadecimal, which the configuration stores instead of the key. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function getExistingKeys(
  answer: WorkspaceAnswer,
  inForce: Configuration | undefined,
): Workspace['keys'] | undefined {
  if (answer.keys) {
    return answer.keys.map(key => ({
      sha256: getKeySha256(key),
      notAfterMs: getKeyNotAfterMs(key),
    }));
  }
  return inForce?.workspaces.find(workspace => workspace.name === answer.name)?.keys;
}

function toWorkspace(answer: WorkspaceAnswer, keys: Workspace['keys']): Workspace {
  const size = WORKSPACE_SIZES.find(({name}) => name === answer.size) ?? WORKSPACE_SIZES[0];
  return {
    name: answer.name,
    keys,
    shareWeight: answer.shareWeight ?? size.shareWeight,
    maxOpenRequests: answer.maxOpenRequests ?? size.maxOpenRequests,
  };
}

function toService(answer: ServiceAnswer): Service {
  return {
    name: answer.name,
    kind: answer.kind,
    versions: answer.versions,
    routes: answer.kind === 'plain' ? answer.routes : [],
    workspaces: answer.workspaces,
    targetReplicas: answer.replicas,
    maxConcurrentRequests: answer.requestsPerReplica,
    coldConcurrentRequests: answer.requestsPerColdReplica,
    requestTimeoutMs: Math.round(answer.requestTimeoutSeconds * MS_PER_SECOND),
    honoursFencingTokens: answer.honoursFencingTokens,
  };
}
