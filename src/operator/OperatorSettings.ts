/** Settings that several commands of buckthornctl share. */
import {userInfo} from 'node:os';
import {
  parseHttpUrl,
  parseNonEmptyString,
  createIntegerParser,
  type SettingDefinition,
  type SettingDefinitions,
} from '../settings/index.js';

/** Settings of commands that read or write the log. */
export interface LogSettings {
  /** Base URL of the platform's log service. */
  readonly logUrl: string;
  readonly logTimeoutMs: number;
}

/** Settings of commands that query the instance list or the entries. */
export interface DaemonsSettings {
  /** Base URL of the platform's instance list. */
  readonly listUrl: string;
  readonly deploymentKey: string;
  readonly daemonTimeoutMs: number;
}

/** Settings of commands that publish a configuration. */
export interface PublishSettings {
  /** Name of the publishing operator. */
  readonly operator: string;
  /** How long to wait until the configuration is in force on all entries; 0 for no wait. */
  readonly waitMs: number;
}

const MAX_TIMEOUT_MS = 600_000;
const MAX_WAIT_MS = 86_400_000;

/** Definitions of `LogSettings`. The timeout applies to each HTTP request, to reading a stream and to each append. */
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
    description: 'Time limit of each operation on the log, in milliseconds',
    parse: createIntegerParser(100, MAX_TIMEOUT_MS),
    defaultText: '10000',
  },
};

/** Definitions of `DaemonsSettings`. */
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
    description: "The deployment's key, with which the daemons are configured too",
    parse: parseNonEmptyString,
    isSecret: true,
  },
  daemonTimeoutMs: {
    flag: 'daemon-timeout-ms',
    variable: 'BUCKTHORN_DAEMON_TIMEOUT_MS',
    description: 'Time limit of each request to a daemon, in milliseconds',
    parse: createIntegerParser(100, MAX_TIMEOUT_MS),
    defaultText: '2000',
  },
};

/** Flag of commands that can print JSON instead of tables. */
export const JSON_FLAG = {json: 'Prints JSON'} as const;

/** Name of the operator, recorded with each order; the user name of the process by default. */
export const OPERATOR_SETTING: SettingDefinition<string> = {
  flag: 'operator',
  variable: 'BUCKTHORN_OPERATOR',
  description:
    'Name of the operator who gives the order; shown to other operators whose orders conflict with it',
  parse: parseNonEmptyString,
  defaultText: userInfo().username,
};

/** Definitions of `PublishSettings`. */
export const PUBLISH_SETTINGS: SettingDefinitions<PublishSettings> = {
  operator: OPERATOR_SETTING,
  waitMs: {
    flag: 'wait-ms',
    variable: 'BUCKTHORN_WAIT_MS',
    description:
      'How long to wait until the configuration is in force on all entries, in milliseconds; 0 for no wait',
    parse: createIntegerParser(0, MAX_WAIT_MS),
    defaultText: '30000',
  },
};

/** Returns a copy of a setting that may be left out; its value is then the empty string. */
export function toOptionalSetting(
  definition: SettingDefinition<string>,
): SettingDefinition<string> {
  const {parse} = definition;
  return {...definition, defaultText: '', parse: text => (text === '' ? '' : parse(text))};
}
