/** Turns answers as typed into the shape of an answers file. */
import {splitList, splitWords, type AnswerTexts} from './Questions.js';

/** A value of an answers file, before it is checked. */
export type DraftAnswer =
  | string
  | number
  | boolean
  | undefined
  | readonly DraftAnswer[]
  | {readonly [field: string]: DraftAnswer};

/**
 * Returns the draft of an answers file. It is not checked yet; a number that isn't one stays a text for the check to name.
 * @param texts - Answers by the question's id.
 */
export function toDraftAnswers(texts: AnswerTexts): DraftAnswer {
  const getText = (id: string) => texts.get(id) ?? '';
  const getNames = (id: string) => splitList(getText(id));
  return {
    deployment: getText('deployment'),
    failureDomains: getNames('failureDomains').map(item => {
      const [name, region] = splitWords(item);
      return {name, region};
    }),
    workspaces: getNames('workspaces').map(name => ({
      name,
      ...toDraftSize(getText(`workspaces.${name}.size`)),
    })),
    requestClasses: getNames('requestClasses').map(name => {
      const numbers = splitWords(getText(`requestClasses.${name}`)).map(toNumber);
      const [priority, maxPromptTokens, firstTokenTargetMs, interTokenTargetMs] = numbers;
      return {name, priority, maxPromptTokens, firstTokenTargetMs, interTokenTargetMs};
    }),
    services: getNames('services').map(name => toDraftService(name, getText)),
    priceLimits: getNames('priceLimits').map(item => {
      const [machineClass, price = ''] = splitWords(item);
      return {machineClass, maxPriceUsdPerHour: toNumber(price)};
    }),
    staleConfigurationGraceSeconds: toNumber(getText('staleConfigurationGraceSeconds')),
  };
}

function toDraftService(name: string, getText: (id: string) => string): DraftAnswer {
  const getField = (field: string) => getText(`services.${name}.${field}`);
  const kind = getField('kind');
  const workspaces = getField('workspaces');
  const routes = [
    ...toDraftRoutes(getField('routes.nonIdempotent'), false),
    ...toDraftRoutes(getField('routes.idempotent'), true),
  ];
  return {
    name,
    kind,
    ...(kind === 'plain' && {routes}),
    versions: splitList(getField('versions')).map(item => {
      const [version, share = '100'] = splitWords(item);
      return {name: version, sharePercent: toNumber(share)};
    }),
    replicas: toNumber(getField('replicas')),
    requestsPerReplica: toNumber(getField('requestsPerReplica')),
    requestsPerColdReplica: toNumber(getField('requestsPerColdReplica')),
    requestTimeoutSeconds: toNumber(getField('requestTimeoutSeconds')),
    honoursFencingTokens: toBoolean(getField('honoursFencingTokens')),
    ...(workspaces !== 'all' && {workspaces: splitList(workspaces)}),
  };
}

function toDraftRoutes(text: string, isIdempotent: boolean): readonly DraftAnswer[] {
  if (text === 'none') return [];
  const methodsByPath = new Map<string, string[]>();
  for (const item of splitList(text)) {
    const [method = '', pathPrefix = ''] = splitWords(item);
    methodsByPath.set(pathPrefix, [...(methodsByPath.get(pathPrefix) ?? []), method]);
  }
  return [...methodsByPath].map(([pathPrefix, methods]) => ({methods, pathPrefix, isIdempotent}));
}

/** A size by name, or share weight and open requests as two numbers. */
function toDraftSize(text: string): {readonly [field: string]: DraftAnswer} {
  const [shareWeight = '', maxOpenRequests] = splitWords(text);
  if (maxOpenRequests === undefined) return {size: text};
  return {shareWeight: toNumber(shareWeight), maxOpenRequests: toNumber(maxOpenRequests)};
}

function toNumber(text: string): string | number {
  const value = Number(text);
  return text.trim() === '' || Number.isNaN(value) ? text : value;
}

function toBoolean(text: string): string | boolean {
  if (text === 'yes') return true;
  return text === 'no' ? false : text;
}
