/** `buckthornctl questionnaire`: generates a configuration from answers, shows the changes and publishes it. */
import {writeFile} from 'node:fs/promises';
import {ServingError} from '../errors/index.js';
import {
  compareConfigurations,
  formatChange,
  generateConfiguration,
  Interview,
  readAnswersFile,
  type Answers,
  type GeneratedConfiguration,
  type GeneratedKey,
} from '../questionnaire/index.js';
import type {RunnableCommand, SettingDefinition} from '../settings/index.js';
import {createWorkspaceKey} from './publishAnswersFile.js';
import {publishAndWait} from './ConfigurationCommands.js';
import {formatConfiguration} from './ConfigurationTables.js';
import type {ConfigurationInForce} from './ConfigurationStream.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withConfigurationStream, type OperatorContext} from './OperatorContext.js';
import {
  DAEMONS_SETTINGS,
  LOG_SETTINGS,
  PUBLISH_SETTINGS,
  toOptionalSetting,
} from './OperatorSettings.js';

const ANSWERS_SETTING: SettingDefinition<string> = {
  flag: 'answers',
  variable: 'BUCKTHORN_ANSWERS',
  description: 'Answers file in YAML or JSON; without it, the questions are asked on the terminal',
  parse: text => text,
  defaultText: '',
};

const SAVE_SETTING: SettingDefinition<string> = {
  flag: 'save',
  variable: 'BUCKTHORN_SAVE',
  description: 'File to which the answers typed on the terminal are written',
  parse: text => text,
  defaultText: '',
};

const NOTHING_IN_FORCE: ConfigurationInForce = {revision: 0, configuration: undefined};
const SETTINGS = {
  ...LOG_SETTINGS,
  ...DAEMONS_SETTINGS,
  ...PUBLISH_SETTINGS,
  logUrl: toOptionalSetting(LOG_SETTINGS.logUrl),
  listUrl: toOptionalSetting(DAEMONS_SETTINGS.listUrl),
  deploymentKey: toOptionalSetting(DAEMONS_SETTINGS.deploymentKey),
  answers: ANSWERS_SETTING,
  save: SAVE_SETTING,
};

/** Builds the `questionnaire` command. Without `--publish` it only shows the changes, and works without a log. */
export function createQuestionnaireCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'questionnaire',
    description:
      'Asks about the deployment or reads an answers file, checks the answers and shows what they change in the ' +
      'configuration in force; --publish publishes the result and waits until it is in force on all entries',
    settings: SETTINGS,
    flags: {
      publish:
        'Publishes the configuration (needs the log, the instance list and the deployment key)',
      yes: 'Publishes without asking for confirmation',
      json: 'Prints the generated configuration as JSON',
    },
    commandArguments: {},
    run: async settings => {
      if (settings.publish) requireSettings(settings);
      const inForce = await readInForce(settings, context);
      const answers = await getAnswers(settings, inForce, context);
      const generated = generateConfiguration(answers, {
        inForce: inForce.configuration,
        createKey: createWorkspaceKey,
      });
      if (settings.json) {
        context.writeLine(JSON.stringify(generated.configuration, undefined, 2));
      }
      const hasChanges = showDifference(inForce, generated, context);
      if (!settings.publish || !hasChanges) return;
      if (!settings.yes) await confirm(inForce.revision, context);
      await publish(generated, inForce.revision, settings, context);
    },
  });
}

/** Parsed values of `SETTINGS`. */
type QuestionnaireValues = {
  readonly [Name in keyof typeof SETTINGS]: ReturnType<(typeof SETTINGS)[Name]['parse']>;
};

function requireSettings({logUrl, listUrl, deploymentKey, waitMs}: QuestionnaireValues): void {
  const missing = [
    logUrl === '' && LOG_SETTINGS.logUrl,
    waitMs > 0 && listUrl === '' && DAEMONS_SETTINGS.listUrl,
    waitMs > 0 && deploymentKey === '' && DAEMONS_SETTINGS.deploymentKey,
  ].find(definition => definition !== false);
  if (!missing) return;
  throw new ServingError(`--${missing.flag} (${missing.variable}) is missing, --publish needs it`, {
    kind: 'invalid-settings',
  });
}

async function readInForce(
  settings: QuestionnaireValues,
  context: OperatorContext,
): Promise<ConfigurationInForce> {
  if (settings.logUrl === '') return NOTHING_IN_FORCE;
  return withConfigurationStream(settings, context, async stream => stream.getInForce());
}

async function getAnswers(
  {answers, save}: QuestionnaireValues,
  {configuration}: ConfigurationInForce,
  {ask, getNowMs, writeProgress}: OperatorContext,
): Promise<Answers> {
  if (answers !== '') return readAnswersFile(answers, getNowMs());
  const interview = new Interview({
    ask,
    writeLine: writeProgress,
    inForce: configuration,
    nowMs: getNowMs(),
  });
  const typedAnswers = await interview.run();
  if (save !== '') {
    await writeFile(save, interview.getAnswersText());
    writeProgress(`answers written to ${save}`);
  }
  return typedAnswers;
}

/** Prints what the generated configuration changes, and returns whether it changes anything. */
function showDifference(
  {revision, configuration}: ConfigurationInForce,
  generated: GeneratedConfiguration,
  {writeProgress}: OperatorContext,
): boolean {
  if (!configuration) {
    writeProgress('no configuration is in force yet; the answers result in:');
    formatConfiguration(0, generated.configuration).forEach(writeProgress);
    return true;
  }
  if (configuration.deployment !== generated.configuration.deployment) {
    throw new ServingError(
      `deployment: "${generated.configuration.deployment}" is not "${configuration.deployment}", which is in force`,
      {kind: 'invalid-settings'},
    );
  }
  const changes = compareConfigurations(configuration, generated.configuration);
  if (changes.length === 0) {
    writeProgress(
      `the answers match the configuration in force (revision ${revision}); nothing to publish`,
    );
    return false;
  }
  writeProgress(`changes to the configuration in force (revision ${revision}):`);
  changes.map(formatChange).forEach(line => writeProgress(`  ${line}`));
  return true;
}

async function confirm(revision: number, {ask}: OperatorContext): Promise<void> {
  const answer = await ask(`Replace revision ${revision}? yes or no: `);
  if (answer?.trim().toLowerCase() === 'yes') return;
  throw new ServingError('not published; answer "yes" or use --yes', {kind: 'conflict'});
}

/**
 * Publishes a generated configuration.
 * @param replacesRevision - Revision that the shown changes refer to; if another operator has published since, the
 *     configuration is rejected.
 */
async function publish(
  {configuration, generatedKeys}: GeneratedConfiguration,
  replacesRevision: number,
  settings: QuestionnaireValues,
  context: OperatorContext,
): Promise<void> {
  const onAccepted = () => formatGeneratedKeys(generatedKeys).forEach(context.writeLine);
  await withConfigurationStream(settings, context, stream =>
    publishAndWait(stream, {configuration, replacesRevision, onAccepted}, settings, context),
  );
}

function formatGeneratedKeys(keys: readonly GeneratedKey[]): readonly string[] {
  if (keys.length === 0) return [];
  return [
    'New bearer keys; they are not stored, so hand them to the workspaces now:',
    ...keys.map(({workspace, key}) => `  ${workspace}  ${key}`),
  ];
}
