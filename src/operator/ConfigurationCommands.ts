/** `buckthornctl config`: checks and publishes a configuration, shows the one in force and which entries use it. */
import {subcommands} from 'cmd-ts';
import {z} from 'zod';
import {configurationSchema, type Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import type {RunnableCommand} from '../settings/index.js';
import {createCheckCommand} from './ConfigurationCheckCommand.js';
import {throwUnlessAccepted} from './publishAnswersFile.js';
import type {ConfigurationStream} from './ConfigurationStream.js';
import {countInForce, waitUntilInForce, type InForceCount} from './waitUntilInForce.js';
import {formatConfiguration} from './ConfigurationTables.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {
  withConfigurationStream,
  withDaemonsClient,
  type OperatorContext,
} from './OperatorContext.js';
import {
  DAEMONS_SETTINGS,
  JSON_FLAG,
  LOG_SETTINGS,
  PUBLISH_SETTINGS,
  type DaemonsSettings,
  type PublishSettings,
} from './OperatorSettings.js';
import {formatTable} from './formatTable.js';
import {readJsonFile} from './readJsonFile.js';

/** Builds the `config` commands: `check`, `publish`, `show` and `status`. */
export function createConfigurationCommands(context: OperatorContext): RunnableCommand {
  return subcommands({
    name: 'config',
    description:
      'Checks or publishes a configuration file, shows the configuration in force and which entries use it',
    cmds: {
      check: createCheckCommand(context),
      publish: createPublishCommand(context),
      show: createShowCommand(context),
      status: createStatusCommand(context),
    },
  }) as unknown as RunnableCommand;
}

/** A configuration to publish. */
export interface Publication {
  readonly configuration: Configuration;
  /** Revision that the operator expects to be in force; if another one is, the configuration is rejected. */
  readonly replacesRevision: number;
  /** Called when the configuration has been accepted, before the wait for the entries. */
  readonly onAccepted?: () => void;
}

/**
 * Publishes a configuration, prints its offset and revision, and waits until it is in force on all entries. A `waitMs`
 * of 0 skips the wait.
 * @param stream - Open configuration stream.
 * @throws ServingError of kind `conflict` if another operator published first, or if some entries still have an older
 *     revision when the wait ends; the configuration stays accepted in the second case.
 */
export async function publishAndWait(
  stream: ConfigurationStream,
  {configuration, replacesRevision, onAccepted}: Publication,
  settings: DaemonsSettings & PublishSettings,
  context: OperatorContext,
): Promise<void> {
  const result = await stream.publish(configuration, replacesRevision, settings.operator);
  throwUnlessAccepted(result, replacesRevision);
  context.writeLine(`accepted at offset ${result.offset} as revision ${result.revision}`);
  onAccepted?.();
  if (settings.waitMs > 0) await waitUntilInForceOrThrow(result.revision, settings, context);
}

/** Formats a count as in "in force on 2 of 3 entries". */
export function formatInForceCount({entriesInForce, entries}: InForceCount): string {
  return `in force on ${entriesInForce} of ${entries} entries`;
}

async function waitUntilInForceOrThrow(
  revision: number,
  settings: DaemonsSettings & PublishSettings,
  {getNowMs, writeLine}: OperatorContext,
): Promise<void> {
  const count = await withDaemonsClient(settings, client =>
    waitUntilInForce({
      revision,
      getEntryStatuses: () => client.getEntryStatuses(),
      getNowMs,
      timeoutMs: settings.waitMs,
      onCount: newCount => writeLine(formatInForceCount(newCount)),
    }),
  );
  if (count.entries > 0 && count.missingEntries.length === 0) return;
  const missingTexts = count.missingEntries.map(
    ({instance, configurationRevision, problem}) =>
      `${instance.instanceId} (${problem ?? `at revision ${configurationRevision}`})`,
  );
  throw new ServingError(
    `revision ${revision} is accepted and remains so, but after ${settings.waitMs} ms it is ${formatInForceCount(count)}` +
      (missingTexts.length > 0
        ? `; missing: ${missingTexts.join(', ')}`
        : '; the instance list contains no entry'),
    {kind: 'conflict'},
  );
}

function createPublishCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'publish',
    description: 'Publishes a configuration from a JSON file in place of the one in force',
    settings: {...LOG_SETTINGS, ...DAEMONS_SETTINGS, ...PUBLISH_SETTINGS},
    flags: {},
    commandArguments: {file: 'A configuration in JSON, as `config show --json` prints it'},
    run: async settings => {
      const configuration = await readConfigurationFile(settings.commandArguments.file);
      await withConfigurationStream(settings, context, stream => {
        const replacesRevision = stream.getInForce().revision;
        return publishAndWait(stream, {configuration, replacesRevision}, settings, context);
      });
    },
  });
}

function createShowCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'show',
    description: 'Shows the configuration in force',
    settings: LOG_SETTINGS,
    flags: JSON_FLAG,
    commandArguments: {},
    run: settings =>
      withConfigurationStream(settings, context, async stream => {
        const {revision, configuration} = stream.getInForce();
        if (!configuration) {
          throw new ServingError('no configuration has been published yet', {kind: 'not-found'});
        }
        if (settings.json) context.writeLine(JSON.stringify(configuration, undefined, 2));
        else formatConfiguration(revision, configuration).forEach(context.writeLine);
      }),
  });
}

function createStatusCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'status',
    description: 'Shows which entries use the newest configuration',
    settings: {...LOG_SETTINGS, ...DAEMONS_SETTINGS},
    flags: JSON_FLAG,
    commandArguments: {},
    run: settings =>
      withConfigurationStream(settings, context, async stream => {
        const {revision} = stream.getInForce();
        const statuses = await withDaemonsClient(settings, client => client.getEntryStatuses());
        const count = countInForce(revision, statuses);
        if (settings.json) {
          context.writeLine(JSON.stringify({revision, entries: statuses}, undefined, 2));
          return;
        }
        context.writeLine(`revision ${revision} ${formatInForceCount(count)}`);
        const rows = statuses.map(({instance, configurationRevision, problem}) => [
          instance.instanceId,
          instance.failureDomain,
          instance.state,
          configurationRevision ?? '-',
          problem ?? '',
        ]);
        const headings = ['ENTRY', 'FAILURE DOMAIN', 'STATE', 'REVISION', 'PROBLEM'];
        formatTable(headings, rows).forEach(context.writeLine);
      }),
  });
}

async function readConfigurationFile(path: string): Promise<Configuration> {
  const parsed = configurationSchema.safeParse(await readJsonFile(path));
  if (parsed.success) return parsed.data;
  throw new ServingError(
    `"${path}" is not a valid configuration:\n${z.prettifyError(parsed.error)}`,
    {
      kind: 'invalid-settings',
    },
  );
}
