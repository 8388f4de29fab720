/** `buckthornctl questionnaire`: asks or reads the answers, shows what they change, and publishes. */
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
import {createWorkspaceKey} from './AnswersPublisher.js';
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
  description: 'Answers file, YAML or JSON; asks on the terminal where absent',
  parse: text => text,
  defaultText: '',
};

const SAVE_SETTING: SettingDefinition<string> = {
  flag: 'save',
  variable: 'BUCKTHORN_SAVE',
  description: 'File that the answers given on the terminal are written to',
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

/** Builds the `questionnaire` command. */
export function createQuestionnaireCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'questionnaire',
    description:
      'Asks about the deployment or takes an answers file, checks the answers, shows the difference to what is ' +
      'in force, and with --publish publishes it and waits until it is in force everywhere',
    settings: SETTINGS,
    flags: {
      publish: 'Publishes the configuration (needs the log, the list and the deployment key)',
      yes: 'Publishes without asking once more',
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
  const given = await interview.run();
  if (save !== '') {
    await writeFile(save, interview.getAnswersText());
    writeProgress(`answers written to ${save}`);
  }
  return given;
}

/** Returns whether anything changes. */
function showDifference(
  {revision, configuration}: ConfigurationInForce,
  generated: GeneratedConfiguration,
  {writeProgress}: OperatorContext,
): boolean {
  if (!configuration) {
    writeProgress('nothing is in force yet; the answers give:');
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
    writeProgress(`the answers give what is in force as revision ${revision}; nothing to publish`);
    return false;
  }
  writeProgress(`difference to what is in force (revision ${revision}):`);
  changes.map(formatChange).forEach(line => writeProgress(`  ${line}`));
  return true;
}

async function confirm(revision: number, {ask}: OperatorContext): Promise<void> {
  const answer = await ask(`Publish over revision ${revision}? yes or no: `);
  if (answer?.trim().toLowerCase() === 'yes') return;
  throw new ServingError('not published; answer "yes", or give --yes', {kind: 'conflict'});
}

/** Publishes over the revision that the difference was shown against, so that a change in between is refused. */
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
    'New bearer keys, shown only now; keep them where your workspaces find them:',
    ...keys.map(({workspace, key}) => `  ${workspace}  ${key}`),
  ];
}
