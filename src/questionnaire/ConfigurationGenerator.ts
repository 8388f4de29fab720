/** Generates a configuration from the questionnaire's answers. */
import {createHash} from 'node:crypto';
import {
  configurationSchema,
  type Configuration,
  type Service,
  type Workspace,
} from '../configuration/index.js';
import type {Answers, ServiceAnswer, WorkspaceAnswer} from './Answers.js';
import {getKeyNotAfterMs, getKeySha256} from './AnswersCheck.js';
import {WORKSPACE_SIZES} from './WorkspaceSizes.js';

/** A bearer key made for a workspace; shown once, since only its hash is kept. */
export interface GeneratedKey {
  readonly workspace: string;
  readonly key: string;
}

/** What `generateConfiguration` gives. */
export interface GeneratedConfiguration {
  readonly configuration: Configuration;
  readonly generatedKeys: readonly GeneratedKey[];
}

/** What `generateConfiguration` needs beside the answers. */
export interface GenerateOptions {
  /** Configuration in force; its workspaces keep their keys where the answers give none. */
  readonly inForce: Configuration | undefined;
  /** Returns a new random key. */
  readonly createKey: () => string;
}

const MS_PER_SECOND = 1_000;

/**
 * Generates the configuration that the answers ask for.
 * @param answers - Answers that passed `checkAnswers`.
 * @param options - The configuration in force and the source of new keys.
 */
export function generateConfiguration(
  answers: Answers,
  options: GenerateOptions,
): GeneratedConfiguration {
  const generatedKeys: GeneratedKey[] = [];
  const workspaces = answers.workspaces.map(answer => {
    const keys = getKnownKeys(answer, options.inForce);
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

/** Returns the hash by which the configuration knows a bearer key. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function getKnownKeys(
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
