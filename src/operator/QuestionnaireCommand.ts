/** `buckthornctl questionnaire`: generates a configuration from answers and publishes it. */
import {readAnswersFile, generateConfiguration, type GeneratedKey} from '../questionnaire/index.js';
import {parseText, type RunnableCommand, type SettingDefinition} from '../settings/index.js';
import {createWorkspaceKey} from './AnswersPublisher.js';
import {publishAndWait} from './ConfigurationCommands.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withConfigurationStream, type OperatorContext} from './OperatorContext.js';
import {DAEMONS_SETTINGS, LOG_SETTINGS, PUBLISH_SETTINGS} from './OperatorSettings.js';

const ANSWERS_SETTING: SettingDefinition<string> = {
  flag: 'answers',
  variable: 'BUCKTHORN_ANSWERS',
  description: 'Answers file, YAML or JSON',
  parse: parseText,
};

/** Builds the `questionnaire` command. */
export function createQuestionnaireCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'questionnaire',
    description: 'Generates a configuration from answers, checks and publishes it',
    settings: {
      ...LOG_SETTINGS,
      ...DAEMONS_SETTINGS,
      ...PUBLISH_SETTINGS,
      answers: ANSWERS_SETTING,
    },
    flags: {publish: 'Publishes the configuration; without it, it is only checked and shown'},
    commandArguments: {},
    run: async settings => {
      const answers = await readAnswersFile(settings.answers, context.getNowMs());
      await withConfigurationStream(settings, context, async stream => {
        const {configuration, generatedKeys} = generateConfiguration(answers, {
          inForce: stream.getInForce().configuration,
          createKey: createWorkspaceKey,
        });
        if (!settings.publish) {
          context.writeLine(JSON.stringify(configuration, undefined, 2));
          return;
        }
        const showKeys = () => formatGeneratedKeys(generatedKeys).forEach(context.writeLine);
        await publishAndWait(stream, {configuration, onAccepted: showKeys}, settings, context);
      });
    },
  });
}

function formatGeneratedKeys(keys: readonly GeneratedKey[]): readonly string[] {
  if (keys.length === 0) return [];
  return [
    'New bearer keys, shown only now; keep them where your workspaces find them:',
    ...keys.map(({workspace, key}) => `  ${workspace}  ${key}`),
  ];
}
