export {
  parseHttpUrl,
  parseIpNumber,
  parseList,
  parsePort,
  parseSetting,
  parseText,
  parseWholeNumber,
  type SettingDefinition,
  type SettingDefinitions,
} from './SettingDefinition.js';
export {
  createSettingsCommand,
  runCommandLine,
  type RunnableCommand,
  type SettingsCommandOptions,
} from './SettingsCommand.js';
