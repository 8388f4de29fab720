/** Settings of buckthornctl's commands. */
import {userInfo} from 'node:os';
import {
  parseHttpUrl,
  parseText,
  parseWholeNumber,
  type SettingDefinition,
  type SettingDefinitions,
} from '../settings/index.js';

/** Settings of commands that read or write the log. */
export interface LogSettings {
  readonly logUrl: string;
  readonly logTimeoutMs: number;
}

/** Settings of commands that ask the daemons. */
export interface DaemonsSettings {
  readonly listUrl: string;
  readonly deploymentKey: string;
  readonly daemonTimeoutMs: number;
}

/** Settings of commands that publish. */
export interface PublishSettings {
  readonly operator: string;
  readonly waitMs: number;
}

const MAX_TIMEOUT_MS = 600_000;
const MAX_WAIT_MS = 86_400_000;

/** Where the log is. */
export const LOG_SETTINGS: SettingDefinitions<LogSettings> = {
  logUrl: {
    flag: 'log-url',
    variable: 'BUCKTHORN_LOG_URL',
    description: "URL of the platform's log service",
    parse: parseHttpUrl,
  },
  logTimeoutMs: {
    flag: 'log-timeout-ms',
    variable: 'BUCKTHORN_LOG_TIMEOUT_MS',
    description: 'Longest wait for the log',
    parse: parseWholeNumber(100, MAX_TIMEOUT_MS),
    defaultText: '10000',
  },
};

/** How daemons are found and asked. */
export const DAEMONS_SETTINGS: SettingDefinitions<DaemonsSettings> = {
  listUrl: {
    flag: 'list-url',
    variable: 'BUCKTHORN_LIST_URL',
    description: "URL of the platform's instance list",
    parse: parseHttpUrl,
  },
  deploymentKey: {
    flag: 'deployment-key',
    variable: 'BUCKTHORN_DEPLOYMENT_KEY',
    description: "The deployment's key, as its daemons have it",
    parse: parseText,
    isSecret: true,
  },
  daemonTimeoutMs: {
    flag: 'daemon-timeout-ms',
    variable: 'BUCKTHORN_DAEMON_TIMEOUT_MS',
    description: "Longest wait for a daemon's answer",
    parse: parseWholeNumber(100, MAX_TIMEOUT_MS),
    defaultText: '2000',
  },
};

/** Prints JSON in place of tables. */
export const JSON_FLAG = {json: 'Prints JSON'} as const;

/** Who gives the order. */
export const OPERATOR_SETTING: SettingDefinition<string> = {
  flag: 'operator',
  variable: 'BUCKTHORN_OPERATOR',
  description: 'Who gives the order; shown to an operator who loses a race',
  parse: parseText,
  defaultText: userInfo().username,
};

/** Who publishes and how long to wait until it is in force. */
export const PUBLISH_SETTINGS: SettingDefinitions<PublishSettings> = {
  operator: OPERATOR_SETTING,
  waitMs: {
    flag: 'wait-ms',
    variable: 'BUCKTHORN_WAIT_MS',
    description: 'Longest wait until it is in force on all entries; 0 for no wait',
    parse: parseWholeNumber(0, MAX_WAIT_MS),
    defaultText: '30000',
  },
};

/** Returns a setting that may be absent; its value is then empty. */
export function toOptionalSetting(
  definition: SettingDefinition<string>,
): SettingDefinition<string> {
  const {parse} = definition;
  return {...definition, defaultText: '', parse: text => (text === '' ? '' : parse(text))};
}
