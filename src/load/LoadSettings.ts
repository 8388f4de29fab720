/** Command-line and environment settings of the load test tool. */
import {
  createDefineSetting,
  parseHttpUrl,
  createListParser,
  parseNonEmptyString,
  createIntegerParser,
  type SettingDefinitions,
} from '../settings/index.js';
import type {RequestKind, LoadWorkspace} from './LoadPlan.js';

/** Settings of a load test. */
export interface LoadSettings {
  readonly entryUrls: readonly string[];
  readonly workspaces: readonly LoadWorkspace[];
  /** Name of the model service to request. */
  readonly model: string;
  /** Mix of request kinds. */
  readonly kinds: readonly RequestKind[];
  readonly seed: number;
  readonly durationMs: number;
  readonly startRatePerSecond: number;
  readonly endRatePerSecond: number;
  readonly conversations: number;
  readonly maxOpenRequests: number;
  /** Longest time of one request, including its response. */
  readonly timeoutMs: number;
  /** Longest time to the first token that doesn't count as late. */
  readonly firstTokenTargetMs: number;
  /** HTML file to write; empty for none. */
  readonly reportPath: string;
}

const define = createDefineSetting('BUCKTHORN_LOAD');
const MAX_DURATION_MS = 600_000;
const MAX_RATE_PER_SECOND = 5_000;
const MAX_OPEN_REQUESTS = 10_000;
const MAX_CONVERSATIONS = 100_000;
const MAX_TOKENS = 1_000_000;
const MAX_SEED = 2 ** 31 - 1;

/** Definitions of the settings, with flags and environment variables. */
export const LOAD_SETTINGS: SettingDefinitions<LoadSettings> = {
  entryUrls: define(
    'entry-urls',
    'URLs of entries on this machine, separated by commas',
    createListParser(parseLoopbackUrl),
  ),
  workspaces: {
    ...define(
      'workspaces',
      'Workspaces as name=key=weight, separated by commas',
      createListParser(parseWorkspace),
    ),
    isSecret: true,
  },
  model: define('model', 'Name of the model service to request', parseNonEmptyString),
  kinds: define(
    'mix',
    'Request kinds as class:weight:history:turn:answer, the last three in tokens, separated by commas',
    createListParser(parseKind),
    'chat:8:200:60:60,summary:1:1200:100:80,review:1:6000:200:200',
  ),
  seed: define('seed', 'Seed of arrivals and prompts', createIntegerParser(0, MAX_SEED), '1'),
  durationMs: define(
    'duration-ms',
    'Time during which requests are sent',
    createIntegerParser(1, MAX_DURATION_MS),
    '30000',
  ),
  startRatePerSecond: define('start-rate', 'Requests per second at the start', parseRate, '5'),
  endRatePerSecond: define('end-rate', 'Requests per second at the end', parseRate, '5'),
  conversations: define(
    'conversations',
    'Concurrent conversations for each workspace and request class',
    createIntegerParser(1, MAX_CONVERSATIONS),
    '8',
  ),
  maxOpenRequests: define(
    'max-open-requests',
    'Limit of concurrent requests',
    createIntegerParser(1, MAX_OPEN_REQUESTS),
    '500',
  ),
  timeoutMs: define(
    'timeout-ms',
    'Longest time of one request, including its response',
    createIntegerParser(1, MAX_DURATION_MS),
    '60000',
  ),
  firstTokenTargetMs: define(
    'first-token-target-ms',
    'Time after which a first token counts as late',
    createIntegerParser(1, MAX_DURATION_MS),
    '1300',
  ),
  reportPath: define('report', 'HTML file to write', text => text, ''),
};

/** Accepts loopback addresses only, so that a load test can't be sent to other machines. */
function parseLoopbackUrl(text: string): string {
  const url = parseHttpUrl(text);
  const {hostname} = new URL(url);
  if (hostname !== '[::1]' && !hostname.startsWith('127.')) {
    throw new Error('is not on the loopback interface');
  }
  return url;
}

function parseWorkspace(text: string): LoadWorkspace {
  const [name, key, weight = '1'] = text.split('=');
  if (!name || !key || !(Number(weight) > 0)) throw new Error('is not name=key=weight');
  return {name, key, weight: Number(weight)};
}

function parseKind(text: string): RequestKind {
  const [requestClass, weight, ...counts] = text.split(':');
  const [historyTokens, turnTokens, answerTokens] = counts.map(createIntegerParser(1, MAX_TOKENS));
  if (!requestClass || !(Number(weight) > 0) || counts.length !== 3) {
    throw new Error('is not class:weight:history:turn:answer');
  }
  return {requestClass, weight: Number(weight), historyTokens, turnTokens, answerTokens};
}

function parseRate(text: string): number {
  const rate = Number(text);
  if (!(rate > 0 && rate <= MAX_RATE_PER_SECOND)) {
    throw new Error(`is not a rate above 0 and up to ${MAX_RATE_PER_SECOND}`);
  }
  return rate;
}
