/** Turns setting definitions into a cmd-ts command, and runs a binary's command line. */
import {stripVTControlCharacters} from 'node:util';
import {command, option, optional, runSafely, string, type subcommands} from 'cmd-ts';
import {ServingError, toServingError} from '../errors/index.js';
import {
  parseSetting,
  type SettingDefinition,
  type SettingDefinitions,
} from './SettingDefinition.js';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

/** What a command is called and what it does with its settings. */
export interface SettingsCommandOptions<Values> {
  readonly name: string;
  readonly description: string;
  readonly settings: SettingDefinitions<Values>;
  /** Throws a ServingError of kind `invalid-settings` where settings contradict each other. */
  readonly check?: (values: Values) => void;
  readonly run: (values: Values) => Promise<void>;
}

interface UsageMessage {
  readonly exitCode: number;
  readonly message: string;
  readonly into: 'stdout' | 'stderr';
}

/** Something that `runCommandLine` can run. */
export type RunnableCommand = ReturnType<typeof command> | ReturnType<typeof subcommands>;

/** Builds a cmd-ts command whose options are the settings. */
export function createSettingsCommand<Values extends object>(
  options: SettingsCommandOptions<Values>,
): RunnableCommand {
  const entries = Object.entries(options.settings) as Array<[string, SettingDefinition<unknown>]>;
  const args = Object.fromEntries(
    entries.map(([name, definition]) => [name, createOption(definition)]),
  );
  return command({
    name: options.name,
    description: options.description,
    args,
    handler: async texts => {
      const values = Object.fromEntries(
        entries.map(([name, definition]) => [name, parseSetting(definition, texts[name])]),
      ) as Values;
      options.check?.(values);
      await options.run(values);
    },
  }) as unknown as RunnableCommand;
}

/**
 * Runs a command line; on an error prints one line and exits with 2 for bad settings, else 1.
 * @param runnable - The command or commands.
 * @param args - Arguments after the binary's name.
 */
export async function runCommandLine(
  runnable: RunnableCommand,
  args: readonly string[],
): Promise<void> {
  try {
    const result = await runSafely(runnable as ReturnType<typeof command>, [...args]);
    if (result._tag === 'error') printUsage(result.error.config);
  } catch (error) {
    const servingError = toServingError(error);
    process.stderr.write(`${servingError.message}\n`);
    const isSettings = error instanceof ServingError && error.kind === 'invalid-settings';
    process.exitCode = isSettings ? EXIT_BAD_SETTINGS : EXIT_FAILED;
  }
}

/** Prints help, or what is wrong with the command line. */
function printUsage({exitCode, message, into}: UsageMessage): void {
  const isHelp = exitCode === 0;
  process[into].write(`${isHelp ? message : joinUsageLines(message)}\n`);
  process.exitCode = isHelp ? 0 : EXIT_BAD_SETTINGS;
}

/** Returns cmd-ts's report as one line with the arguments that its carets point at, and no others: some are secret. */
function joinUsageLines(message: string): string {
  const lines = stripVTControlCharacters(message).split('\n');
  const problems = lines.flatMap((line, index) => {
    const column = line.indexOf('^');
    if (column < 0) return [];
    const start = lines[index - 1].lastIndexOf(' ', column) + 1;
    const argument = lines[index - 1].slice(start).split(' ')[0];
    return [`${argument}: ${line.replace(/^[\s^~]+/, '')}`];
  });
  return `${problems.join(', ') || lines.join(' ').trim()} (see --help)`;
}

function createOption(definition: SettingDefinition<unknown>) {
  const fallback =
    definition.defaultText === undefined ? '' : ` [default: ${definition.defaultText || 'none'}]`;
  return option({
    type: optional(string),
    long: definition.flag,
    env: definition.variable,
    description: definition.description + fallback,
  });
}
