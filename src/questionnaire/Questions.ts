/** The questions of the interactive questionnaire; which ones are asked depends on the answers so far. */
import type {Configuration, Workspace} from '../configuration/index.js';
import {WORKSPACE_SIZES} from './WorkspaceSizes.js';

/** Answers as typed, by the question's id. */
export type AnswerTexts = ReadonlyMap<string, string>;

/** One question. */
export interface Question {
  /** Path such as `services.booking.replicas`, as issues name it. */
  readonly id: string;
  readonly explanation: string;
  /** Taken for an empty line; absent where an answer must be typed. */
  readonly defaultText?: string;
}

const DEFAULT_CLASSES: ReadonlyMap<string, string> = new Map([
  ['chat', '0 4000 1300 52'],
  ['summary', '1 8000 4000 100'],
  ['review', '2 64000 15000 150'],
]);

/** Splits a text at commas. */
export function splitList(text: string): readonly string[] {
  return text
    .split(',')
    .map(item => item.trim())
    .filter(item => item.length > 0);
}

/** Splits a text at blanks. */
export function splitWords(text: string): readonly string[] {
  return text.split(/\s+/).filter(word => word.length > 0);
}

/**
 * Returns the questions in their order.
 * @param texts - Answers so far.
 * @param inForce - Configuration in force, whose values are the defaults.
 */
export function getQuestions(
  texts: AnswerTexts,
  inForce: Configuration | undefined,
): readonly Question[] {
  const defaults = inForce ? getTextsInForce(inForce) : new Map<string, string>();
  const ask = (id: string, explanation: string, fallback?: string): Question => ({
    id,
    explanation,
    defaultText: texts.get(id) ?? defaults.get(id) ?? fallback,
  });
  const getNames = (id: string) => splitList(texts.get(id) ?? '');
  return [
    ask('deployment', 'A name for this deployment, in lower-case letters, digits and dashes.'),
    ask(
      'failureDomains',
      'Your failure domains, each with its region, as in "oslo-a ostlandet, oslo-b ostlandet". Each may be lost as a whole.',
    ),
    ask(
      'workspaces',
      'Your workspaces, separated by commas: whose requests are served and counted together.',
    ),
    ...getNames('workspaces').map(name =>
      ask(
        `workspaces.${name}.size`,
        `Is workspace ${name} small or large? A large one gets four times the share when capacity is short. Or share weight and open requests, as in "2 128".`,
        'small',
      ),
    ),
    ask('requestClasses', 'Your classes of requests, most urgent first.', 'chat, summary, review'),
    ...getNames('requestClasses').map((name, index) =>
      ask(
        `requestClasses.${name}`,
        `Class ${name}: priority (lower goes first), longest prompt in tokens, first token within ms, between tokens ms.`,
        DEFAULT_CLASSES.get(name) ?? `${index} 8000 4000 100`,
      ),
    ),
    ask('services', 'Your services, models and plain ones, separated by commas.'),
    ...getNames('services').flatMap(name => getServiceQuestions(name, texts, ask)),
    ask(
      'priceLimits',
      'The highest price that you pay an hour in USD for each machine class, as in "gpu-small 1.2, cpu-small 0.12".',
    ),
    ask(
      'staleConfigurationGraceSeconds',
      'For how long may an entry go on accepting when it reaches neither the log nor a peer that does? Seconds.',
      '10',
    ),
  ];
}

function getServiceQuestions(
  name: string,
  texts: AnswerTexts,
  ask: (id: string, explanation: string, fallback?: string) => Question,
): readonly Question[] {
  const kind = texts.get(`services.${name}.kind`);
  const routes =
    kind === 'plain'
      ? [
          ask(
            `services.${name}.routes.nonIdempotent`,
            `Which requests to ${name} must run at most once (a repeat would book or bill twice)? As in "POST /places, PUT /places"; "none" for none.`,
          ),
          ask(
            `services.${name}.routes.idempotent`,
            `Which requests to ${name} may be repeated without harm?`,
            'GET /, HEAD /',
          ),
        ]
      : [];
  return [
    ask(`services.${name}.kind`, `Is ${name} a model or a plain service?`, 'model'),
    ...routes,
    ask(
      `services.${name}.versions`,
      `Versions of ${name} and their part of new work in percent, as in "v1 100". Moves change it later.`,
      'v1 100',
    ),
    ask(`services.${name}.replicas`, `How many backend servers of ${name} are to run?`, '2'),
    ask(
      `services.${name}.requestsPerReplica`,
      'How many requests does a warm one take at a time?',
      '16',
    ),
    ask(`services.${name}.requestsPerColdReplica`, 'And how many in cold start?', '2'),
    ask(
      `services.${name}.requestTimeoutSeconds`,
      'After how many seconds is a request given up?',
      kind === 'plain' ? '10' : '300',
    ),
    ask(
      `services.${name}.honoursFencingTokens`,
      `Do the backend servers of ${name} refuse orders with an old fencing token? yes or no. With no, a new holder waits out old orders.`,
      'no',
    ),
    ask(
      `services.${name}.workspaces`,
      `Which workspaces may use ${name}? "all", or names separated by commas.`,
      'all',
    ),
  ];
}

/** Returns the texts that would give a configuration. */
function getTextsInForce(inForce: Configuration): Map<string, string> {
  const texts = new Map<string, string>([
    ['deployment', inForce.deployment],
    [
      'failureDomains',
      inForce.failureDomains.map(({name, region}) => `${name} ${region}`).join(', '),
    ],
    ['workspaces', inForce.workspaces.map(({name}) => name).join(', ')],
    ['requestClasses', inForce.requestClasses.map(({name}) => name).join(', ')],
    ['services', inForce.services.map(({name}) => name).join(', ')],
    [
      'priceLimits',
      inForce.priceLimits
        .map(limit => `${limit.machineClass} ${limit.maxPriceUsdPerHour}`)
        .join(', '),
    ],
    ['staleConfigurationGraceSeconds', String(inForce.staleConfigurationGraceMs / 1_000)],
  ]);
  for (const workspace of inForce.workspaces) {
    texts.set(`workspaces.${workspace.name}.size`, getSizeText(workspace));
  }
  for (const {
    name,
    priority,
    maxPromptTokens,
    firstTokenTargetMs,
    interTokenTargetMs,
  } of inForce.requestClasses) {
    texts.set(
      `requestClasses.${name}`,
      [priority, maxPromptTokens, firstTokenTargetMs, interTokenTargetMs].join(' '),
    );
  }
  for (const service of inForce.services) addServiceTexts(texts, service);
  return texts;
}

function getSizeText({shareWeight, maxOpenRequests}: Workspace): string {
  const size = WORKSPACE_SIZES.find(
    known => known.shareWeight === shareWeight && known.maxOpenRequests === maxOpenRequests,
  );
  return size?.name ?? `${shareWeight} ${maxOpenRequests}`;
}

function addServiceTexts(
  texts: Map<string, string>,
  service: Configuration['services'][number],
): void {
  const id = `services.${service.name}`;
  const getRoutes = (isIdempotent: boolean) =>
    service.routes
      .filter(route => route.isIdempotent === isIdempotent)
      .flatMap(({methods, pathPrefix}) => methods.map(method => `${method} ${pathPrefix}`))
      .join(', ') || 'none';
  texts.set(`${id}.kind`, service.kind);
  texts.set(`${id}.routes.nonIdempotent`, getRoutes(false));
  texts.set(`${id}.routes.idempotent`, getRoutes(true));
  texts.set(
    `${id}.versions`,
    service.versions.map(({name, sharePercent}) => `${name} ${sharePercent}`).join(', '),
  );
  texts.set(`${id}.replicas`, String(service.targetReplicas));
  texts.set(`${id}.requestsPerReplica`, String(service.maxConcurrentRequests));
  texts.set(`${id}.requestsPerColdReplica`, String(service.coldConcurrentRequests));
  texts.set(`${id}.requestTimeoutSeconds`, String(service.requestTimeoutMs / 1_000));
  texts.set(`${id}.honoursFencingTokens`, service.honoursFencingTokens ? 'yes' : 'no');
  texts.set(`${id}.workspaces`, service.workspaces?.join(', ') ?? 'all');
}
