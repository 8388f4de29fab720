export {
  LOG_LEVELS,
  createDefineSetting,
  parseHttpUrl,
  parseIpAddress,
  createListParser,
  parseLogLevel,
  parseOptionalIpAddress,
  parsePort,
  parseSetting,
  parseNonEmptyString,
  createIntegerParser,
  type DefineSetting,
  type LogLevel,
  type SettingDefinition,
  type SettingDefinitions,
} from './SettingDefinition.js';
export {
  createSettingsCommand,
  runCommandLine,
  type RunnableCommand,
  type SettingsCommandOptions,
} from './SettingsCommand.js';
