/** Settings of `buckthorn-load`. */
import {ServingError} from '../errors/index.js';
import {
  parseHttpUrl,
  parseList,
  parseText,
  parseWholeNumber,
  type SettingDefinition,
  type SettingDefinitions,
} from '../settings/index.js';
import {POLICY_NAMES, type PolicyName} from './RoutingPolicy.js';

/** Values of the settings. */
export interface LoadSettings {
  readonly mixPath: string;
  readonly entryUrls: readonly string[];
  readonly engineUrls: readonly string[];
  readonly policies: readonly PolicyName[];
  readonly seed: number;
  readonly timeoutMs: number;
  readonly maxOpenRequests: number;
  readonly firstTokenTargetMs: number;
  /** 0 where no cost is to be shown. */
  readonly priceCentsPerHour: number;
  readonly reportPath: string | undefined;
}

const MAX_SEED = 0x7fff_ffff;
const MAX_TIMEOUT_MS = 600_000;
const MAX_OPEN_REQUESTS = 10_000;
const MAX_PRICE_CENTS = 100_000_000;

/** Definitions of the settings. */
export const loadSettings: SettingDefinitions<LoadSettings> = {
  mixPath: define('mix', 'File with the mix of requests, in YAML', parseText),
  entryUrls: define('entries', 'URLs of entries, for the policy "system"', parseUrls, ''),
  engineUrls: define('engines', 'URLs of engines, for the other policies', parseUrls, ''),
  policies: define(
    'policies',
    `Policies to compare, one after another: ${POLICY_NAMES.join(', ')}`,
    parseList(parsePolicy),
    'system',
  ),
  seed: define('seed', 'Seed of the arrivals', parseWholeNumber(0, MAX_SEED), '1'),
  timeoutMs: define(
    'timeout-ms',
    'Longest time of a request',
    parseWholeNumber(1, MAX_TIMEOUT_MS),
    '60000',
  ),
  maxOpenRequests: define(
    'max-open-requests',
    'Open requests over which an arrival is not sent',
    parseWholeNumber(1, MAX_OPEN_REQUESTS),
    '1000',
  ),
  firstTokenTargetMs: define(
    'first-token-target-ms',
    'Time to the first token within which an answer counts as good',
    parseWholeNumber(1, MAX_TIMEOUT_MS),
    '1300',
  ),
  priceCentsPerHour: define(
    'price-cents-per-hour',
    'Price of all instances together in US cents; 0 shows no cost',
    parseWholeNumber(0, MAX_PRICE_CENTS),
    '0',
  ),
  reportPath: define('report', 'File for a report in HTML', parseOptionalText, ''),
};

/**
 * Checks settings against each other.
 * @throws ServingError of kind `invalid-settings`.
 */
export function checkLoadSettings({policies, entryUrls, engineUrls}: LoadSettings): void {
  for (const policy of policies) {
    const urls = policy === 'system' ? entryUrls : engineUrls;
    const flag = policy === 'system' ? 'entries' : 'engines';
    if (urls.length > 0) continue;
    throw new ServingError(
      `--${flag} (${getVariable(flag)}) is empty, but --policies has "${policy}"`,
      {
        kind: 'invalid-settings',
      },
    );
  }
}

function parseUrls(text: string): readonly string[] {
  return parseList(parseHttpUrl)(text);
}

function parseOptionalText(text: string): string | undefined {
  return text === '' ? undefined : text;
}

function parsePolicy(text: string): PolicyName {
  const found = POLICY_NAMES.find(name => name === text);
  if (!found) throw new Error(`names a policy that is none of ${POLICY_NAMES.join(', ')}`);
  return found;
}

function define<Value>(
  flag: string,
  description: string,
  parse: (text: string) => Value,
  defaultText?: string,
): SettingDefinition<Value> {
  return {flag, variable: getVariable(flag), description, parse, defaultText};
}

function getVariable(flag: string): string {
  return `BUCKTHORN_LOAD_${flag.toUpperCase().replaceAll('-', '_')}`;
}
