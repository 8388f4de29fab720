/** Checks the answers for conflicts that the schema can't express, such as duplicate names. */
import type {Answers, KeyAnswer, ServiceAnswer} from './Answers.js';

/** An invalid answer. */
export interface AnswerIssue {
  /** Id of the question, a path such as `services.booking.replicas`. */
  readonly question: string;
  /** The invalid answer, or the value computed from it that is invalid. */
  readonly value: string;
  /** Why the answer is invalid; completes the line `QUESTION: "VALUE" ...`. */
  readonly message: string;
}

const FULL_SHARE_PERCENT = 100;
const MS_PER_SECOND = 1_000;
const MIN_REPLICAS_WITH_SEVERAL_DOMAINS = 2;

/**
 * Returns the issues of the answers, empty if there are none.
 * @param answers - Answers that fit the schema.
 * @param nowMs - Current Unix time in milliseconds; a workspace needs a key that expires later.
 */
export function checkAnswers(answers: Answers, nowMs: number): readonly AnswerIssue[] {
  return [
    ...checkUniqueNames(answers),
    ...checkKeys(answers, nowMs),
    ...answers.services.flatMap(service => checkService(answers, service)),
  ];
}

/** Formats an issue as one line, such as `services.booking.replicas: "1" ...`. */
export function formatIssue({question, value, message}: AnswerIssue): string {
  return `${question}: "${value}" ${message}`;
}

/** Returns the SHA-256 of a bearer key in hexadecimal; answers give it alone or with an expiry time. */
export function getKeySha256(key: KeyAnswer): string {
  return typeof key === 'string' ? key : key.sha256;
}

/** Returns the Unix time in milliseconds after which a key is rejected; undefined if it never expires. */
export function getKeyNotAfterMs(key: KeyAnswer): number | undefined {
  if (typeof key === 'string' || key.notAfter === undefined) return undefined;
  return Date.parse(key.notAfter);
}

function checkUniqueNames(answers: Answers): readonly AnswerIssue[] {
  const versionNames = answers.services.map(service => ({
    question: `services.${service.name}.versions`,
    names: service.versions.map(version => version.name),
  }));
  const nameLists = [
    {question: 'failureDomains', names: answers.failureDomains.map(domain => domain.name)},
    {question: 'workspaces', names: answers.workspaces.map(workspace => workspace.name)},
    {question: 'requestClasses', names: answers.requestClasses.map(({name}) => name)},
    {question: 'services', names: answers.services.map(service => service.name)},
    {question: 'priceLimits', names: answers.priceLimits.map(limit => limit.machineClass)},
    ...versionNames,
  ];
  return nameLists.flatMap(({question, names}) =>
    findDuplicates(names).map(value => ({question, value, message: 'is named twice'})),
  );
}

function checkKeys(answers: Answers, nowMs: number): readonly AnswerIssue[] {
  const hashes = answers.workspaces.flatMap(({keys}) => (keys ?? []).map(getKeySha256));
  const sharedKeys = findDuplicates(hashes).map(value => ({
    question: 'workspaces.keys',
    value,
    message: 'is given twice; a key must identify a single workspace',
  }));
  const workspacesWithoutValidKey = answers.workspaces
    .filter(({keys}) => keys?.every(key => (getKeyNotAfterMs(key) ?? Infinity) <= nowMs))
    .map(({name}) => ({
      question: `workspaces.${name}.keys`,
      value: name,
      message: 'has only keys whose notAfter has passed, so all of its requests would be rejected',
    }));
  return [...sharedKeys, ...workspacesWithoutValidKey];
}

function checkService(answers: Answers, service: ServiceAnswer): readonly AnswerIssue[] {
  const issues: AnswerIssue[] = [];
  const addIssue = (field: string, value: string | number, message: string) =>
    issues.push({question: `services.${service.name}.${field}`, value: String(value), message});
  const sharePercent = service.versions.reduce((sum, version) => sum + version.sharePercent, 0);
  if (Math.abs(sharePercent - FULL_SHARE_PERCENT) > 1e-6) {
    addIssue('versions', sharePercent, 'percent in total; the shares must add up to 100');
  }
  if (service.requestsPerColdReplica > service.requestsPerReplica) {
    addIssue(
      'requestsPerColdReplica',
      service.requestsPerColdReplica,
      `exceeds requestsPerReplica (${service.requestsPerReplica}); a cold replica has less capacity`,
    );
  }
  if (answers.failureDomains.length > 1 && service.replicas < MIN_REPLICAS_WITH_SEVERAL_DOMAINS) {
    addIssue(
      'replicas',
      service.replicas,
      'is too few; with its failure domain, the only replica would be lost',
    );
  }
  for (const workspace of service.workspaces ?? []) {
    if (!answers.workspaces.some(({name}) => name === workspace)) {
      addIssue('workspaces', workspace, 'is not among the workspaces');
    }
  }
  return [...issues, ...checkRequestTimeout(answers, service), ...checkRoutes(service)];
}

/** A request must not time out before its first token may arrive. */
function checkRequestTimeout(answers: Answers, service: ServiceAnswer): readonly AnswerIssue[] {
  if (service.kind !== 'model') return [];
  const timeoutMs = service.requestTimeoutSeconds * MS_PER_SECOND;
  return answers.requestClasses
    .filter(({firstTokenTargetMs}) => firstTokenTargetMs >= timeoutMs)
    .map(({name, firstTokenTargetMs}) => ({
      question: `services.${service.name}.requestTimeoutSeconds`,
      value: String(service.requestTimeoutSeconds),
      message: `does not exceed the first-token target of class ${name} (${firstTokenTargetMs} ms)`,
    }));
}

function checkRoutes(service: ServiceAnswer): readonly AnswerIssue[] {
  if (service.kind !== 'plain') return [];
  const question = `services.${service.name}.routes`;
  const routes = service.routes.flatMap(({methods, pathPrefix}) =>
    methods.map(method => `${method} ${pathPrefix}`),
  );
  const duplicates = findDuplicates(routes).map(value => ({
    question,
    value,
    message: 'is listed twice',
  }));
  const unsafe = service.routes
    .filter(({methods, isIdempotent}) => !isIdempotent && methods.some(isSafeMethod))
    .map(({methods, pathPrefix}) => ({
      question,
      value: `${methods.join(',')} ${pathPrefix}`,
      message: 'is non-idempotent but contains GET, HEAD or OPTIONS; give those a separate route',
    }));
  return [...duplicates, ...unsafe];
}

/** Returns whether a method is safe in the sense of RFC 9110, that is, read-only. */
function isSafeMethod(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}

function findDuplicates(values: readonly string[]): readonly string[] {
  return [...new Set(values.filter((value, index) => values.indexOf(value) !== index))];
}
