/** Converts typed answers to the structure of an answers file. */
import {splitList, splitWords, type AnswerTexts} from './Questions.js';

/** An unchecked value of an answers file. */
export type DraftAnswer =
  | string
  | number
  | boolean
  | undefined
  | readonly DraftAnswer[]
  | {readonly [field: string]: DraftAnswer};

/**
 * Converts typed answers to the unchecked content of an answers file. Text that should be a number but isn't one stays
 * text, so that the check reports it.
 * @param texts - Typed answers; missing ones count as empty.
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

/** Parses items such as "POST /places"; items with the same path become one route. */
function toDraftRoutes(text: string, isIdempotent: boolean): readonly DraftAnswer[] {
  if (text === 'none') return [];
  const methodsByPath = new Map<string, string[]>();
  for (const item of splitList(text)) {
    const [method = '', pathPrefix = ''] = splitWords(item);
    methodsByPath.set(pathPrefix, [...(methodsByPath.get(pathPrefix) ?? []), method]);
  }
  return [...methodsByPath].map(([pathPrefix, methods]) => ({methods, pathPrefix, isIdempotent}));
}

/** Parses a size name, or a share weight and a maximum of open requests as two numbers. */
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
