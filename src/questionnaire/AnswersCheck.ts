/** Checks the answers against each other; each issue names the question and the value. */
import type {Answers, KeyAnswer, ServiceAnswer} from './Answers.js';

/** An answer that can't stand. */
export interface AnswerIssue {
  /** Path of the question, such as `services.booking.replicas`. */
  readonly question: string;
  /** The answer as given. */
  readonly value: string;
  /** What is wrong; completes "QUESTION: VALUE ...". */
  readonly message: string;
}

const FULL_SHARE_PERCENT = 100;
const MS_PER_SECOND = 1_000;
const MIN_REPLICAS_OVER_DOMAINS = 2;

/**
 * Returns what is wrong with the answers as a whole.
 * @param answers - Answers that fit their schema.
 * @param nowMs - The present time; keys that ended before it don't count.
 */
export function checkAnswers(answers: Answers, nowMs: number): readonly AnswerIssue[] {
  return [
    ...checkNames(answers),
    ...checkKeys(answers, nowMs),
    ...answers.services.flatMap(service => checkService(answers, service)),
  ];
}

/** Returns an issue as one line. */
export function formatIssue({question, value, message}: AnswerIssue): string {
  return `${question}: "${value}" ${message}`;
}

/** Returns the hash within a key's answer. */
export function getKeySha256(key: KeyAnswer): string {
  return typeof key === 'string' ? key : key.sha256;
}

/** Returns the instant after which a key is refused; undefined for a key without end. */
export function getKeyNotAfterMs(key: KeyAnswer): number | undefined {
  if (typeof key === 'string' || key.notAfter === undefined) return undefined;
  return Date.parse(key.notAfter);
}

function checkNames(answers: Answers): readonly AnswerIssue[] {
  const versionNames = answers.services.map(service => ({
    question: `services.${service.name}.versions`,
    names: service.versions.map(version => version.name),
  }));
  const all = [
    {question: 'failureDomains', names: answers.failureDomains.map(domain => domain.name)},
    {question: 'workspaces', names: answers.workspaces.map(workspace => workspace.name)},
    {question: 'requestClasses', names: answers.requestClasses.map(({name}) => name)},
    {question: 'services', names: answers.services.map(service => service.name)},
    {question: 'priceLimits', names: answers.priceLimits.map(limit => limit.machineClass)},
    ...versionNames,
  ];
  return all.flatMap(({question, names}) =>
    findRepeated(names).map(value => ({question, value, message: 'is named twice'})),
  );
}

function checkKeys(answers: Answers, nowMs: number): readonly AnswerIssue[] {
  const hashes = answers.workspaces.flatMap(({keys}) => (keys ?? []).map(getKeySha256));
  const shared = findRepeated(hashes).map(value => ({
    question: 'workspaces.keys',
    value,
    message: 'is given twice; a key tells one workspace from all others',
  }));
  const ended = answers.workspaces
    .filter(({keys}) => keys?.every(key => (getKeyNotAfterMs(key) ?? Infinity) <= nowMs))
    .map(({name}) => ({
      question: `workspaces.${name}.keys`,
      value: name,
      message: 'has only keys whose notAfter has passed; nobody could call',
    }));
  return [...shared, ...ended];
}

function checkService(answers: Answers, service: ServiceAnswer): readonly AnswerIssue[] {
  const issues: AnswerIssue[] = [];
  const addIssue = (field: string, value: string | number, message: string) =>
    issues.push({question: `services.${service.name}.${field}`, value: String(value), message});
  const sharePercent = service.versions.reduce((sum, version) => sum + version.sharePercent, 0);
  if (Math.abs(sharePercent - FULL_SHARE_PERCENT) > 1e-6) {
    addIssue('versions', sharePercent, 'percent in all; the shares must add up to 100');
  }
  if (service.requestsPerColdReplica > service.requestsPerReplica) {
    addIssue(
      'requestsPerColdReplica',
      service.requestsPerColdReplica,
      `exceeds requestsPerReplica (${service.requestsPerReplica}); a cold replica bears less`,
    );
  }
  if (answers.failureDomains.length > 1 && service.replicas < MIN_REPLICAS_OVER_DOMAINS) {
    addIssue('replicas', service.replicas, 'leaves none when its failure domain is lost');
  }
  for (const workspace of service.workspaces ?? []) {
    if (!answers.workspaces.some(({name}) => name === workspace)) {
      addIssue('workspaces', workspace, 'is not among the workspaces');
    }
  }
  return [...issues, ...checkModel(answers, service), ...checkRoutes(service)];
}

function checkModel(answers: Answers, service: ServiceAnswer): readonly AnswerIssue[] {
  if (service.kind !== 'model') return [];
  const timeoutMs = service.requestTimeoutSeconds * MS_PER_SECOND;
  return answers.requestClasses
    .filter(({firstTokenTargetMs}) => firstTokenTargetMs >= timeoutMs)
    .map(({name, firstTokenTargetMs}) => ({
      question: `services.${service.name}.requestTimeoutSeconds`,
      value: String(service.requestTimeoutSeconds),
      message: `ends before class ${name} is due its first token (${firstTokenTargetMs} ms)`,
    }));
}

function checkRoutes(service: ServiceAnswer): readonly AnswerIssue[] {
  if (service.kind !== 'plain') return [];
  const question = `services.${service.name}.routes`;
  const routes = service.routes.flatMap(({methods, pathPrefix}) =>
    methods.map(method => `${method} ${pathPrefix}`),
  );
  const repeated = findRepeated(routes).map(value => ({
    question,
    value,
    message: 'is answered twice',
  }));
  const unsafe = service.routes
    .filter(({methods, isIdempotent}) => !isIdempotent && methods.some(isReadingMethod))
    .map(({methods, pathPrefix}) => ({
      question,
      value: `${methods.join(',')} ${pathPrefix}`,
      message: 'is non-idempotent but holds GET, HEAD or OPTIONS; give those a route of their own',
    }));
  return [...repeated, ...unsafe];
}

function isReadingMethod(method: string): boolean {
  return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}

function findRepeated(values: readonly string[]): readonly string[] {
  return [...new Set(values.filter((value, index) => values.indexOf(value) !== index))];
}
