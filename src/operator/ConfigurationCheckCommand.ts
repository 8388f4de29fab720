/** `buckthornctl config check`: checks a configuration file and compares it with the configuration in force. */
import {
  checkConfiguration,
  createError,
  formatFinding,
  type Configuration,
  type ConfigurationFinding,
} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {
  compareConfigurations,
  formatChange,
  type ConfigurationChange,
} from '../questionnaire/index.js';
import type {RunnableCommand} from '../settings/index.js';
import type {ConfigurationInForce} from './ConfigurationStream.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withConfigurationStream, type OperatorContext} from './OperatorContext.js';
import {JSON_FLAG, LOG_SETTINGS, toOptionalSetting, type LogSettings} from './OperatorSettings.js';
import {readJsonFile} from './readJsonFile.js';

/** Differences from the configuration in force, or why there are none to show. */
export type ConfigurationComparison =
  | {
      readonly isCompared: true;
      readonly revision: number;
      readonly changes: readonly ConfigurationChange[];
    }
  | {readonly isCompared: false; readonly reason: string};

/** Result of the command, printed as it is with `--json`. */
export interface ConfigurationReport {
  readonly file: string;
  readonly errors: number;
  readonly warnings: number;
  readonly findings: readonly ConfigurationFinding[];
  readonly comparison: ConfigurationComparison;
}

const SETTINGS = {...LOG_SETTINGS, logUrl: toOptionalSetting(LOG_SETTINGS.logUrl)};
/** Errors of reading the log after which the findings are still reported, without a comparison. */
const UNREAD_LOG_KINDS: readonly string[] = ['log-unavailable', 'configuration-unknown'];
const INVALID_FILE_REASON = 'the file does not fit the schema';

/** Builds the `check` command, which works without a log too and never writes to it. */
export function createCheckCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'check',
    description:
      'Checks a configuration file before it is published and shows how it differs from the configuration in force; ' +
      'exits with 1 if there are errors',
    settings: SETTINGS,
    flags: JSON_FLAG,
    commandArguments: {file: 'A configuration in JSON, as `config show --json` prints it'},
    run: async settings => {
      const {file} = settings.commandArguments;
      const report = await createReport(file, settings, context);
      const lines = settings.json ? [JSON.stringify(report, undefined, 2)] : formatReport(report);
      lines.forEach(context.writeLine);
      if (report.errors === 0) return;
      throw new ServingError(`"${file}" must not be published: ${formatCounts(report)}`, {
        kind: 'conflict',
      });
    },
  });
}

/**
 * Formats a report as lines: errors, warnings, then changes.
 * @param report - Result of checking a file.
 */
export function formatReport(report: ConfigurationReport): readonly string[] {
  const {file, findings, comparison} = report;
  const errors = findings.filter(({severity}) => severity === 'error').map(formatFinding);
  const warnings = findings.filter(({severity}) => severity === 'warning').map(formatFinding);
  return [
    `${file}: ${formatCounts(report)}`,
    ...formatGroup('errors:', errors),
    ...formatGroup('warnings:', warnings),
    ...formatComparison(comparison),
  ];
}

async function createReport(
  file: string,
  settings: LogSettings,
  context: OperatorContext,
): Promise<ConfigurationReport> {
  const value = await readJsonFile(file);
  const {configuration, findings} = checkConfiguration(value, context.getNowMs());
  const inForce = configuration
    ? await readInForce(settings, context)
    : {unreadReason: INVALID_FILE_REASON};
  const allFindings = [...findings, ...checkDeployment(configuration, inForce)];
  const errors = allFindings.filter(({severity}) => severity === 'error').length;
  return {
    file,
    errors,
    warnings: allFindings.length - errors,
    findings: allFindings,
    comparison: compare(configuration, inForce),
  };
}

/** The configuration in force, or why it wasn't read. */
type InForceResult = ConfigurationInForce | {readonly unreadReason: string};

async function readInForce(
  settings: LogSettings,
  context: OperatorContext,
): Promise<InForceResult> {
  const {flag, variable} = LOG_SETTINGS.logUrl;
  if (settings.logUrl === '') return {unreadReason: `--${flag} (${variable}) is not set`};
  try {
    return await withConfigurationStream(settings, context, async stream => stream.getInForce());
  } catch (error) {
    const isUnread = error instanceof ServingError && UNREAD_LOG_KINDS.includes(error.kind);
    if (!isUnread) throw error;
    return {unreadReason: error.message};
  }
}

function checkDeployment(
  configuration: Configuration | undefined,
  inForce: InForceResult,
): readonly ConfigurationFinding[] {
  if (!configuration || 'unreadReason' in inForce || !inForce.configuration) return [];
  const {deployment} = inForce.configuration;
  if (configuration.deployment === deployment) return [];
  return [
    createError(
      'other-deployment',
      'deployment',
      `"${configuration.deployment}" is not "${deployment}", which is in force`,
    ),
  ];
}

function compare(
  configuration: Configuration | undefined,
  inForce: InForceResult,
): ConfigurationComparison {
  if ('unreadReason' in inForce) return {isCompared: false, reason: inForce.unreadReason};
  if (!configuration) return {isCompared: false, reason: INVALID_FILE_REASON};
  if (!inForce.configuration) {
    return {isCompared: false, reason: 'no configuration has been published yet'};
  }
  const changes = compareConfigurations(inForce.configuration, configuration);
  return {isCompared: true, revision: inForce.revision, changes};
}

function formatGroup(heading: string, lines: readonly string[]): readonly string[] {
  return lines.length === 0 ? [] : [heading, ...lines.map(line => `  ${line}`)];
}

function formatComparison(comparison: ConfigurationComparison): readonly string[] {
  if (!comparison.isCompared) {
    return [`not compared with the configuration in force: ${comparison.reason}`];
  }
  const {revision, changes} = comparison;
  if (changes.length === 0) return [`matches the configuration in force (revision ${revision})`];
  return formatGroup(
    `changes to the configuration in force (revision ${revision}):`,
    changes.map(formatChange),
  );
}

function formatCounts({
  errors,
  warnings,
}: Pick<ConfigurationReport, 'errors' | 'warnings'>): string {
  return `${formatCount(errors, 'error')}, ${formatCount(warnings, 'warning')}`;
}

function formatCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}
