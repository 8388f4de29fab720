export {
  LOG_LEVELS,
  createDefineSetting,
  parseHttpUrl,
  parseIpNumber,
  parseList,
  parseLogLevel,
  parseOptionalIpNumber,
  parsePort,
  parseSetting,
  parseText,
  parseWholeNumber,
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
