/** Questions of the interactive questionnaire. Some are asked for each item of an earlier answer, such as a service. */
import type {Configuration, Workspace} from '../configuration/index.js';
import {WORKSPACE_SIZES} from './WorkspaceSizes.js';

/** Typed answers by question id. */
export type AnswerTexts = ReadonlyMap<string, string>;

/** A question as shown on the terminal. */
export interface Question {
  /** Path such as `services.booking.replicas`, also used in `AnswerIssue.question`. */
  readonly id: string;
  /** Text shown before the prompt. */
  readonly explanation: string;
  /** Answer if an empty line is typed; undefined if an answer must be typed. */
  readonly defaultText?: string;
}

/** Default answers about well-known request classes, in the order that the question asks for. */
const DEFAULT_CLASSES: ReadonlyMap<string, string> = new Map([
  ['chat', '0 4000 1300 52'],
  ['summary', '1 8000 4000 100'],
  ['review', '2 64000 15000 150'],
]);

/** Splits a text at commas, trims the items and drops empty ones. */
export function splitList(text: string): readonly string[] {
  return text
    .split(',')
    .map(item => item.trim())
    .filter(item => item.length > 0);
}

/** Splits a text at whitespace. */
export function splitWords(text: string): readonly string[] {
  return text.split(/\s+/).filter(word => word.length > 0);
}

/**
 * Returns the questions in the order in which they are asked. The default of a question is its earlier answer, else the
 * value in force, else a fixed text.
 * @param texts - Answers so far; new answers may add questions, so call this again after each answer.
 * @param inForce - Configuration in force; undefined if no configuration was published yet.
 */
export function getQuestions(
  texts: AnswerTexts,
  inForce: Configuration | undefined,
): readonly Question[] {
  const defaults = inForce ? getDefaultTexts(inForce) : new Map<string, string>();
  const createQuestion = (id: string, explanation: string, defaultText?: string): Question => ({
    id,
    explanation,
    defaultText: texts.get(id) ?? defaults.get(id) ?? defaultText,
  });
  const getNames = (id: string) => splitList(texts.get(id) ?? '');
  return [
    createQuestion(
      'deployment',
      'Name of this deployment, in lower-case letters, digits and dashes.',
    ),
    createQuestion(
      'failureDomains',
      'Your failure domains, each with its region, as in "oslo-a ostlandet, oslo-b ostlandet". All instances of a failure domain may fail at once.',
    ),
    createQuestion(
      'workspaces',
      'Your workspaces, separated by commas. A workspace is a customer with its own keys, limits and share of the capacity.',
    ),
    ...getNames('workspaces').map(name =>
      createQuestion(
        `workspaces.${name}.size`,
        `Is workspace ${name} small or large? A large one gets four times the share of a small one when capacity is short. Or give a share weight and a maximum of open requests, as in "2 128".`,
        'small',
      ),
    ),
    createQuestion(
      'requestClasses',
      'Your request classes, separated by commas, most urgent first.',
      'chat, summary, review',
    ),
    ...getNames('requestClasses').map((name, index) =>
      createQuestion(
        `requestClasses.${name}`,
        `Request class ${name}: priority (lower is served first), maximum prompt length in tokens, target time to the first token in ms, target time between tokens in ms.`,
        DEFAULT_CLASSES.get(name) ?? `${index} 8000 4000 100`,
      ),
    ),
    createQuestion(
      'services',
      'Your services, separated by commas: language models and plain HTTP services.',
    ),
    ...getNames('services').flatMap(name => getServiceQuestions(name, texts, createQuestion)),
    createQuestion(
      'priceLimits',
      'The maximum price per hour in USD for each machine class, as in "gpu-small 1.2, cpu-small 0.12".',
    ),
    createQuestion(
      'staleConfigurationGraceSeconds',
      'For how many seconds may an entry continue to accept requests when it reaches neither the log nor a peer that does?',
      '10',
    ),
  ];
}

function getServiceQuestions(
  name: string,
  texts: AnswerTexts,
  createQuestion: (id: string, explanation: string, defaultText?: string) => Question,
): readonly Question[] {
  const kind = texts.get(`services.${name}.kind`);
  const routes =
    kind === 'plain'
      ? [
          createQuestion(
            `services.${name}.routes.nonIdempotent`,
            `Which requests to ${name} must run at most once, because a retry would book or bill twice? As in "POST /places, PUT /places"; "none" for none.`,
          ),
          createQuestion(
            `services.${name}.routes.idempotent`,
            `Which requests to ${name} are safe to retry?`,
            'GET /, HEAD /',
          ),
        ]
      : [];
  return [
    createQuestion(`services.${name}.kind`, `Is ${name} a "model" or a "plain" service?`, 'model'),
    ...routes,
    createQuestion(
      `services.${name}.versions`,
      `Versions of ${name} and their shares of new requests in percent, as in "v1 100". Version moves change the shares later.`,
      'v1 100',
    ),
    createQuestion(
      `services.${name}.replicas`,
      `How many backend servers of ${name} should run?`,
      '2',
    ),
    createQuestion(
      `services.${name}.requestsPerReplica`,
      'How many concurrent requests does a warm backend server process?',
      '16',
    ),
    createQuestion(
      `services.${name}.requestsPerColdReplica`,
      'How many concurrent requests does a backend server process after a cold start, until it is warm?',
      '2',
    ),
    createQuestion(
      `services.${name}.requestTimeoutSeconds`,
      'After how many seconds does a request time out?',
      kind === 'plain' ? '10' : '300',
    ),
    createQuestion(
      `services.${name}.honoursFencingTokens`,
      `Do the backend servers of ${name} reject orders with an old fencing token? yes or no. With no, a new lease holder waits until orders of the previous one can no longer take effect.`,
      'no',
    ),
    createQuestion(
      `services.${name}.workspaces`,
      `Which workspaces may use ${name}? "all", or names separated by commas.`,
      'all',
    ),
  ];
}

/** Returns the answers from which the configuration in force would be generated again. */
function getDefaultTexts(inForce: Configuration): Map<string, string> {
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
    candidate =>
      candidate.shareWeight === shareWeight && candidate.maxOpenRequests === maxOpenRequests,
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
