/** Creates cmd-ts commands from setting definitions, and runs the command line of a binary. */
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

/** Name, settings and action of a command. */
export interface SettingsCommandOptions<Values> {
  readonly name: string;
  readonly description: string;
  readonly settings: SettingDefinitions<Values>;
  /** Throws a ServingError of kind `invalid-settings` if settings contradict each other. */
  readonly check?: (values: Values) => void;
  readonly run: (values: Values) => Promise<void>;
}

/** Output of the cmd-ts parser: help, or errors in the command line. */
interface UsageMessage {
  readonly exitCode: number;
  readonly message: string;
  readonly into: 'stdout' | 'stderr';
}

/** A cmd-ts command, or a group of subcommands. */
export type RunnableCommand = ReturnType<typeof command> | ReturnType<typeof subcommands>;

/** Creates a cmd-ts command with one option per setting. */
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
 * Runs a command line. On an error, prints one line to stderr and sets the exit code: 2 for invalid settings, else 1.
 * @param runnable - The command, or group of subcommands, to run.
 * @param args - Command-line arguments without the name of the binary.
 */
export async function runCommandLine(
  runnable: RunnableCommand,
  args: readonly string[],
): Promise<void> {
  try {
    const result = await runSafely(runnable as ReturnType<typeof command>, [...args]);
    if (result._tag === 'error') printParserMessage(result.error.config);
  } catch (error) {
    const servingError = toServingError(error);
    process.stderr.write(`${servingError.message}\n`);
    const isSettings = error instanceof ServingError && error.kind === 'invalid-settings';
    process.exitCode = isSettings ? EXIT_BAD_SETTINGS : EXIT_FAILED;
  }
}

/** Prints the help text, or the errors in the command line, and sets the exit code. */
function printParserMessage({exitCode, message, into}: UsageMessage): void {
  const isHelp = exitCode === 0;
  process[into].write(`${isHelp ? message : formatUsageErrors(message)}\n`);
  process.exitCode = isHelp ? 0 : EXIT_BAD_SETTINGS;
}

/** Reduces a cmd-ts error report to one line with only the arguments that its carets mark: others may be secret. */
function formatUsageErrors(message: string): string {
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
  const defaultSuffix =
    definition.defaultText === undefined ? '' : ` [default: ${definition.defaultText || 'none'}]`;
  return option({
    type: optional(string),
    long: definition.flag,
    env: definition.variable,
    description: definition.description + defaultSuffix,
  });
}
