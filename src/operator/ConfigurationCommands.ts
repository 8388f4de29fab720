/** `buckthornctl config`: publish, show and status of the configuration. */
import {readFile} from 'node:fs/promises';
import {subcommands} from 'cmd-ts';
import {z} from 'zod';
import {configurationSchema, type Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import type {RunnableCommand} from '../settings/index.js';
import {throwUnlessAccepted} from './AnswersPublisher.js';
import type {ConfigurationStream} from './ConfigurationStream.js';
import {countInForce, waitUntilInForce, type InForceCount} from './InForceWait.js';
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
import {formatTable} from './Tables.js';

/** Builds the `config` commands. */
export function createConfigurationCommands(context: OperatorContext): RunnableCommand {
  return subcommands({
    name: 'config',
    description:
      'The configuration: publish a file, show what is in force, see where it is in force',
    cmds: {
      publish: createPublishCommand(context),
      show: createShowCommand(context),
      status: createStatusCommand(context),
    },
  }) as unknown as RunnableCommand;
}

/** What `publishAndWait` publishes, and what it tells on the way. */
export interface PublishOrder {
  readonly configuration: Configuration;
  /** The revision that the operator has seen in force. */
  readonly replacesRevision: number;
  /** Called once the configuration is accepted, before the wait. */
  readonly onAccepted?: () => void;
}

/**
 * Publishes a configuration, says where it was accepted, and waits until it is in force on all entries.
 * @param stream - The configuration stream.
 * @param order - What is to be in force.
 * @param settings - Who publishes, how long to wait, and how to find the entries.
 * @param context - The process.
 * @throws ServingError of kind `conflict` where another operator was first, or where some entries lag at the end.
 */
export async function publishAndWait(
  stream: ConfigurationStream,
  {configuration, replacesRevision, onAccepted}: PublishOrder,
  settings: DaemonsSettings & PublishSettings,
  context: OperatorContext,
): Promise<void> {
  const result = await stream.publish(configuration, replacesRevision, settings.operator);
  throwUnlessAccepted(result, replacesRevision);
  context.writeLine(`accepted at offset ${result.offset} as revision ${result.revision}`);
  onAccepted?.();
  if (settings.waitMs > 0) await waitAndReport(result.revision, settings, context);
}

/** Returns a count as text. */
export function formatCount({entriesInForce, entries}: InForceCount): string {
  return `in force on ${entriesInForce} of ${entries} entries`;
}

async function waitAndReport(
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
      onCount: next => writeLine(formatCount(next)),
    }),
  );
  if (count.entries > 0 && count.missing.length === 0) return;
  const missing = count.missing.map(
    ({instance, configurationRevision, problem}) =>
      `${instance.instanceId} (${problem ?? `at revision ${configurationRevision}`})`,
  );
  throw new ServingError(
    `revision ${revision} is accepted and stays so, but after ${settings.waitMs} ms it is ${formatCount(count)}` +
      (missing.length > 0
        ? `; missing: ${missing.join(', ')}`
        : '; the instance list names no entry'),
    {kind: 'conflict'},
  );
}

function createPublishCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'publish',
    description: 'Publishes a configuration from a JSON file over the one in force',
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
    description: 'Shows which entries have the newest configuration in force',
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
        context.writeLine(`revision ${revision} ${formatCount(count)}`);
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
  let value: unknown;
  try {
    value = JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    throw new ServingError(`"${path}" can't be read as JSON`, {kind: 'invalid-settings', cause});
  }
  const parsed = configurationSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new ServingError(`"${path}" is no configuration:\n${z.prettifyError(parsed.error)}`, {
    kind: 'invalid-settings',
  });
}
